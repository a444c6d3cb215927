// Forwarding of heartbeats: which go into the next transaction, in full or as deltas.

package relay

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strings"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

const (
	// writeInterval is the least time between two writes of heartbeats: what comes in between
	// shares a transaction, as the store's rate of writes is for the whole service.
	writeInterval = 500 * time.Millisecond

	// resendAfter is how long a full heartbeat may take to arrive: the leader goes on asking for it
	// meanwhile, and it is not sent again for that.
	resendAfter = 3 * time.Second
)

// forwardedHeartbeat is the last heartbeat of a machine that was forwarded, in full or as a delta.
type forwardedHeartbeat struct {
	heartbeat agent.Heartbeat
	at        time.Time
	fullAt    time.Time // when one of the machine was last forwarded in full
}

// forwardHeartbeats writes heartbeats to the store while agents come, until ctx ends.
func (p *Proxy) forwardHeartbeats(ctx context.Context) {
	for clock.Sleep(ctx, writeInterval) {
		if !p.active() {
			p.reset()
			continue
		}
		batches, forwarded := p.nextBatches(time.Now())
		if len(batches) == 0 {
			continue
		}
		if err := p.writeBatches(ctx, batches); err != nil {
			slog.Debug("heartbeats not relayed", "err", err)
			continue
		}
		p.markForwarded(forwarded)
	}
}

func (p *Proxy) writeBatches(ctx context.Context, batches []HeartbeatBatch) error {
	var mutations []kvstore.Mutation
	for part, batch := range batches {
		mutations = append(mutations, kvstore.Mutation{Put: upKey(p.Node, part), Value: wire.Marshal(batch)})
	}
	_, err := p.Store.Txn(ctx, nil, mutations, kvstore.PriorityUser)
	return err
}

// nextBatches returns as many of the pending heartbeats as one transaction carries, as values for
// the up keys, and what to mark as forwarded once they are written. What finds no room has
// its turn with the next transaction.
//
// Heartbeats without news go first: they are small, and a machine that is not heard is given up.
// The others go in the order in which their machines were last forwarded.
func (p *Proxy) nextBatches(now time.Time) ([]HeartbeatBatch, []forwardedHeartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unchanged, changed := p.selectPending(now)
	slices.SortFunc(changed, compareLastForwarded)
	packer := newBatchPacker(p.Node, p.ValueBytes, p.TxnOps)
	for _, next := range slices.Concat(unchanged, changed) {
		packer.add(next, now)
	}
	return packer.batches, packer.forwarded
}

// outgoing is a heartbeat about to be forwarded.
type outgoing struct {
	heartbeat agent.Heartbeat
	previous  forwardedHeartbeat // of the same machine; zero: none
	delta     *HeartbeatDelta    // nil: it goes in full
}

// compareLastForwarded orders heartbeats by who has waited longest.
func compareLastForwarded(a, b outgoing) int {
	return cmp.Or(a.previous.at.Compare(b.previous.at), strings.Compare(a.heartbeat.Machine, b.heartbeat.Machine))
}

// selectPending returns the pending heartbeats: those that say only that a machine is alive, and
// those with news. It is called with mu held.
func (p *Proxy) selectPending(now time.Time) (unchanged, changed []outgoing) {
	for machine, heartbeat := range p.pending {
		previous, known := p.forwarded[machine]
		next := outgoing{heartbeat: heartbeat, previous: previous}
		if known && p.deltaSuffices(&previous, &heartbeat, now) {
			delta := newDelta(&previous.heartbeat, &heartbeat)
			next.delta = &delta
			if !delta.hasChanges(&previous.heartbeat) {
				unchanged = append(unchanged, next)
				continue
			}
		}
		changed = append(changed, next)
	}
	return unchanged, changed
}

// deltaSuffices reports whether the leader can be sent a heartbeat as a delta to the one forwarded
// before. Full heartbeats list all tasks that the agent may not yet forget; if all were
// full, those of a large zone would not fit into the transactions, and its machines would count as
// silent. It is called with mu held.
func (p *Proxy) deltaSuffices(previous *forwardedHeartbeat, heartbeat *agent.Heartbeat, now time.Time) bool {
	if previous.heartbeat.Incarnation != heartbeat.Incarnation {
		return false
	}
	if previous.heartbeat.TerminationNoticeS != nil || heartbeat.TerminationNoticeS != nil {
		return false // a delta has no field for it
	}
	fullInFlight := now.Sub(previous.fullAt) < resendAfter
	return fullInFlight || !p.commandsFor(heartbeat.Machine).ResendFull
}

// markForwarded takes what was written as the base of the deltas to come.
func (p *Proxy) markForwarded(forwarded []forwardedHeartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forwarded == nil {
		return // reset was called meanwhile
	}
	for _, written := range forwarded {
		machine := written.heartbeat.Machine
		p.forwarded[machine] = written
		pending := p.pending[machine]
		if pending.Incarnation == written.heartbeat.Incarnation && pending.Sequence == written.heartbeat.Sequence {
			delete(p.pending, machine)
		}
	}
}

// batchPacker packs heartbeats into batches within the limits of one transaction.
type batchPacker struct {
	node       string
	valueBytes int // for heartbeats in a batch
	maxBatches int

	transactionLeft int // bytes
	batchLeft       int // bytes, in the last batch
	batches         []HeartbeatBatch
	forwarded       []forwardedHeartbeat // what the batches stand for
}

func newBatchPacker(node string, valueBytes, maxBatches int) *batchPacker {
	return &batchPacker{
		node:            node,
		valueBytes:      UsableBytes(valueBytes) - BatchOverhead,
		maxBatches:      maxBatches,
		transactionLeft: UsableBytes(MaxWrite),
	}
}

// add packs a heartbeat if there is room for it.
func (b *batchPacker) add(next outgoing, now time.Time) {
	if next.delta != nil {
		if batch := b.reserve(len(wire.Marshal(*next.delta))); batch != nil {
			batch.Deltas = append(batch.Deltas, *next.delta)
			b.forwarded = append(b.forwarded, forwardedHeartbeat{heartbeat: next.heartbeat, at: now, fullAt: next.previous.fullAt})
		}
		return
	}
	full := newFullHeartbeat(&next.heartbeat)
	if batch := b.reserve(len(wire.Marshal(full))); batch != nil {
		batch.Full = append(batch.Full, full)
		b.forwarded = append(b.forwarded, forwardedHeartbeat{heartbeat: next.heartbeat, at: now, fullAt: now})
	}
}

// reserve returns the batch that so many bytes go into: the last one, or a new one if they do not
// fit there, or nil if there is no room for them.
func (b *batchPacker) reserve(size int) *HeartbeatBatch {
	if size > b.batchLeft && !b.openBatch(size) {
		return nil
	}
	b.batchLeft -= size
	b.transactionLeft -= size
	return &b.batches[len(b.batches)-1]
}

// openBatch adds an empty batch if one is allowed and has room for so many bytes.
func (b *batchPacker) openBatch(size int) bool {
	usable := min(b.transactionLeft, b.valueBytes)
	if len(b.batches) == b.maxBatches || size > usable {
		return false
	}
	b.batches = append(b.batches, HeartbeatBatch{Node: b.node})
	b.batchLeft = usable
	return true
}
