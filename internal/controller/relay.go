package controller

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/relay"
	"tulipshelf/internal/wire"
)

// proxyState is what the leader holds of one proxy.
type proxyState struct {
	written [][]byte // by part, the last commands written for its workers
	from    int      // part to begin with, so that each has its turn
	writing bool
	next    time.Time
	heard   time.Time       // its last reports
	wanted  map[string]bool // machines whose reports are wanted whole
}

// How often it is looked whether commands for a proxy have changed, and the
// least time between two writes of them.
const (
	relayEvery   = 250 * time.Millisecond
	relayWritten = 500 * time.Millisecond
)

// followRelay takes reports that come through the state service.
func (l *leader) followRelay(ctx context.Context) {
	var rev uint64
	for ctx.Err() == nil {
		if rev == 0 {
			page, err := l.node.store.List(ctx, relay.UpPrefix, "", 1, kvstore.PriorityBackground)
			if err != nil {
				clock.Sleep(ctx, time.Second)
				continue
			}
			rev = page.Revision
		}
		events, at, err := l.node.store.Watch(ctx, relay.UpPrefix, rev, 20*time.Second)
		if errors.Is(err, kvstore.ErrCompacted) {
			rev = 0
		}
		if err != nil {
			clock.Sleep(ctx, time.Second)
			continue
		}
		rev = max(rev, at)
		l.post(func() {
			for i := range events {
				var m relay.HeartbeatBatch
				if err := wire.Unmarshal(events[i].Value, &m); err != nil {
					slog.Error("relayed reports unreadable", "err", err)
					continue
				}
				l.applyReportBatch(&m)
			}
		})
		clock.Sleep(ctx, 200*time.Millisecond)
	}
}

func (l *leader) applyReportBatch(batch *relay.HeartbeatBatch) {
	now := time.Now()
	s := l.relays[batch.Node]
	if s == nil {
		// As many parts as one write can carry.
		parts := min(l.node.settings.Store.TxnOps, max(1, relay.MaxWrite/l.node.settings.Store.ValueBytes))
		s = &proxyState{written: make([][]byte, parts), wanted: map[string]bool{}}
		l.relays[batch.Node] = s
	}
	s.heard = now
	take := func(r *agent.Heartbeat) {
		if r.FencingToken > l.term.Number() {
			return
		}
		if m := l.applyReport(r, now); m != nil && m.Incarnation == r.Incarnation && m.Sequence == r.Sequence {
			m.RelayedBy = batch.Node
			m.MarkResponsive() // what goes through the node reaches it
		}
	}
	for i := range batch.Full {
		r := batch.Full[i].Heartbeat()
		take(&r)
		delete(s.wanted, r.Machine)
	}
	for i := range batch.Deltas {
		c := &batch.Deltas[i]
		if l.fleet.WasReturned(c.Machine) {
			continue
		}
		m := l.fleet.Machine(c.Machine)
		if m == nil || m.Type < 0 || m.Zone < 0 || m.Incarnation != c.Incarnation || m.Sequence != c.BaseSequence {
			s.wanted[c.Machine] = true // what it is a change of is not known here
			continue
		}
		before := m.LatestHeartbeat()
		before.Type, before.Zone = l.types[m.Type].Name, l.zones[m.Zone]
		r := c.Apply(before)
		take(&r)
	}
}

// writeRelay writes the commands for machines that are heard through others,
// where they have changed.
func (l *leader) writeRelay(now time.Time) {
	if len(l.relays) == 0 || !l.term.Valid() {
		return
	}
	for node, s := range l.relays {
		if s.writing || now.Before(s.next) {
			continue
		}
		if now.Sub(s.heard) > l.node.operator.UnhealthyAfter {
			delete(l.relays, node) // the cut is over
			continue
		}
		s.next = now.Add(relayEvery)
		l.writeCommandBatches(node, s, l.commandBatches(node, s, now))
	}
}

// commandBatches returns the commands for the machines heard through a node, in parts.
func (l *leader) commandBatches(node string, s *proxyState, now time.Time) []relay.CommandBatch {
	term, limit := l.term.Number(), relay.UsableBytes(min(l.node.settings.Store.ValueBytes, relay.MaxWrite))-200
	parts := make([]relay.CommandBatch, len(s.written))
	left := make([]int, len(parts))
	for i := range parts {
		parts[i], left[i] = relay.CommandBatch{Term: term, Machines: map[string]relay.MachineCommands{}}, limit
	}
	put := func(part int, name string, o relay.MachineCommands) {
		if size := len(name) + len(wire.Marshal(o)) + 2; size <= left[part] {
			left[part] -= size
			parts[part].Machines[name] = o
		} // else its turn comes once others are served
	}
	some := false
	l.fleet.Each(func(m *agent.Machine) {
		if m.RelayedBy != node || now.Sub(m.LastHeartbeat) > l.node.operator.UnhealthyAfter {
			return
		}
		some = true
		// What may be forgotten can wait until the cut is over; with it the commands of
		// a large zone did not fit (apart of kapana-orders-grown).
		o := relay.MachineCommands{Incarnation: m.Incarnation, Commands: relay.CompactCommands(m.PendingCommands(term, maxOrders, func(string) bool { return false }, now)), ResendFull: s.wanted[m.Name]}
		if len(o.Commands) > 0 || o.ResendFull {
			put(m.Index%len(parts), m.Name, o)
		}
	})
	for name := range s.wanted {
		if m := l.fleet.Machine(name); m == nil || m.RelayedBy != node {
			some = true
			put(0, name, relay.MachineCommands{ResendFull: true})
		}
	}
	if !some {
		return nil
	}
	return parts
}

// writeCommandBatches writes the parts that have changed, as many as one write can carry.
func (l *leader) writeCommandBatches(node string, s *proxyState, parts []relay.CommandBatch) {
	var ops []kvstore.Mutation
	values := map[int][]byte{}
	size := 0
	for i := range parts {
		part := (s.from + i) % len(parts)
		value := wire.Marshal(parts[part])
		if bytes.Equal(value, s.written[part]) || len(parts[part].Machines) == 0 && s.written[part] == nil {
			continue
		}
		if size += len(value); size > relay.UsableBytes(relay.MaxWrite) && len(ops) > 0 {
			s.from = part
			break
		}
		values[part] = value
		ops = append(ops, kvstore.Mutation{Put: relay.DownKey(node, part), Value: value})
	}
	if len(ops) == 0 {
		return
	}
	s.writing, s.next = true, time.Now().Add(relayWritten)
	fence := l.term.Fence()
	l.spawn(func() {
		_, err := l.node.store.Txn(l.ctx, []kvstore.Compare{fence}, ops, kvstore.PriorityUser)
		l.post(func() {
			s.writing = false
			if err != nil {
				slog.Debug("commands not relayed", "through", node, "err", err)
				return
			}
			for part, value := range values {
				s.written[part] = value
			}
		})
	})
}
