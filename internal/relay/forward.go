// Forwarding of heartbeats: selection of those for the next transaction, in full or as deltas.

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
	// writeInterval is the minimum time between two writes of heartbeats. Heartbeats that arrive in
	// between share a transaction, as all controllers share the store's limit for the rate of writes.
	writeInterval = 500 * time.Millisecond

	// resendAfter is the time allowed for a full heartbeat to reach the leader. Until the heartbeat
	// arrives, the leader keeps requesting it (MachineCommands.ResendFull). These requests must not
	// cause another full heartbeat.
	resendAfter = 3 * time.Second
)

// forwardedHeartbeat is the last heartbeat of a machine that was forwarded, in full or as a delta.
type forwardedHeartbeat struct {
	heartbeat agent.Heartbeat
	at        time.Time // time at which it was forwarded
	fullAt    time.Time // time at which a heartbeat of the machine was last forwarded in full
}

// forwardHeartbeats writes heartbeats to the store while the proxy is active, until ctx ends.
func (p *Proxy) forwardHeartbeats(ctx context.Context) {
	for clock.Sleep(ctx, writeInterval) {
		if p.resetIfIdle() {
			continue
		}
		maxBatches := min(p.TxnOps, p.Store.WriteBudget(kvstore.PriorityUser))
		batches, forwarded := p.nextBatches(maxBatches, time.Now())
		if len(batches) == 0 {
			continue
		}
		err := p.writeBatches(ctx, batches)
		p.writeLimit.Observe(err)
		if err != nil {
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

// nextBatches packs as many of the pending heartbeats as maxBatches and one transaction carry. It returns the
// batches, which are the values for the up keys, and the packed heartbeats, which are to be marked as
// forwarded once the batches are written. Heartbeats that do not fit remain pending for a later
// transaction.
//
// Heartbeats without changes come first: they are small, and the leader abandons a machine from which
// it receives none. The others are ordered by the time at which a heartbeat of the same machine was last
// forwarded, earliest first.
func (p *Proxy) nextBatches(maxBatches int, now time.Time) ([]HeartbeatBatch, []forwardedHeartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unchanged, changed := p.selectPending(now)
	slices.SortFunc(changed, compareLastForwarded)
	packer := newBatchPacker(p.Node, p.ValueBytes, maxBatches, p.writeLimit.Bytes())
	for _, next := range slices.Concat(unchanged, changed) {
		packer.add(next, now)
	}
	return packer.batches, packer.forwarded
}

// outgoing is a heartbeat about to be forwarded.
type outgoing struct {
	heartbeat agent.Heartbeat
	previous  forwardedHeartbeat // heartbeat of the machine that was last forwarded; zero: none
	delta     *HeartbeatDelta    // delta to previous; nil: the heartbeat is forwarded in full
}

// compareLastForwarded orders heartbeats by the time at which a heartbeat of the same machine was last
// forwarded, earliest first, and then by the machines' names. Machines without one come first.
func compareLastForwarded(a, b outgoing) int {
	return cmp.Or(a.previous.at.Compare(b.previous.at), strings.Compare(a.heartbeat.Machine, b.heartbeat.Machine))
}

// selectPending returns the pending heartbeats, in two groups: deltas without changes, which only show
// that a machine is alive, and all others. The caller holds mu.
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

// deltaSuffices reports whether a heartbeat can be forwarded as a delta to the previous one. The caller
// holds mu.
//
// Guards against the machines of a large zone counting as silent: a full heartbeat lists all tasks
// that the agent may not yet forget, so if all were full, they would not fit into the transactions.
func (p *Proxy) deltaSuffices(previous *forwardedHeartbeat, heartbeat *agent.Heartbeat, now time.Time) bool {
	if previous.heartbeat.Incarnation != heartbeat.Incarnation {
		return false
	}
	if previous.heartbeat.TerminationNoticeS != nil || heartbeat.TerminationNoticeS != nil {
		return false // a delta has no field for the notice
	}
	fullInFlight := now.Sub(previous.fullAt) < resendAfter
	return fullInFlight || !p.commandsFor(heartbeat.Machine).ResendFull
}

// markForwarded records heartbeats that were written as the bases of later deltas. They are no longer
// pending, unless a newer heartbeat of the machine has arrived.
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

// batchPacker packs heartbeats into batches within the limits of one transaction. Sizes are in bytes of
// JSON, as the store counts them.
//
// Guards against a zone whose machines all count as silent: the store refuses a write with a value over its
// limit, and the next write would have the same value (docs/incidents/relayed-heartbeats-over-value-limit.md).
type batchPacker struct {
	node       string
	valueBytes int // limit on a batch
	maxBatches int

	transactionLeft int // left in the transaction
	batchLeft       int // left in the last batch
	batches         []HeartbeatBatch
	forwarded       []forwardedHeartbeat // heartbeats packed into the batches
}

func newBatchPacker(node string, valueBytes, maxBatches, transactionBytes int) *batchPacker {
	return &batchPacker{
		node:            node,
		valueBytes:      valueBytes,
		maxBatches:      maxBatches,
		transactionLeft: transactionBytes,
	}
}

// add packs a heartbeat if it fits, and skips it otherwise.
func (b *batchPacker) add(next outgoing, now time.Time) {
	if next.delta != nil {
		if batch := b.reserve(elementSize(*next.delta)); batch != nil {
			batch.Deltas = append(batch.Deltas, *next.delta)
			b.forwarded = append(b.forwarded, forwardedHeartbeat{heartbeat: next.heartbeat, at: now, fullAt: next.previous.fullAt})
		}
		return
	}
	full := newFullHeartbeat(&next.heartbeat)
	if batch := b.reserve(elementSize(full)); batch != nil {
		batch.Full = append(batch.Full, full)
		b.forwarded = append(b.forwarded, forwardedHeartbeat{heartbeat: next.heartbeat, at: now, fullAt: now})
	}
}

// elementSize returns the size of a heartbeat or delta in a batch.
func elementSize(element any) int { return wire.JSONSize(wire.Marshal(element)) + len(",") }

// reserve reserves size bytes and returns the batch that contains them: the last one, or a new one if
// they do not fit there. It returns nil if they fit in neither.
func (b *batchPacker) reserve(size int) *HeartbeatBatch {
	if size > b.batchLeft && !b.openBatch(size) {
		return nil
	}
	b.batchLeft -= size
	b.transactionLeft -= size
	return &b.batches[len(b.batches)-1]
}

// openBatch adds an empty batch. It returns false, and adds none, if the maximum number of batches is
// reached or size bytes would not fit in a new one.
func (b *batchPacker) openBatch(size int) bool {
	usable := min(b.transactionLeft, b.valueBytes) - BatchOverhead
	if len(b.batches) == b.maxBatches || size > usable {
		return false
	}
	b.batches = append(b.batches, HeartbeatBatch{Node: b.node})
	b.batchLeft = usable
	b.transactionLeft -= BatchOverhead
	return true
}
