package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/fleet"
	"tulipshelf/internal/ledger"
	"tulipshelf/internal/pause"
	"tulipshelf/internal/statestore"
)

// write puts the next batch in flight.
func (l *lead) write(now time.Time, depose context.CancelCauseFunc) {
	if l.writing || !l.reign.Valid() {
		return
	}
	if l.needRaise(now) {
		l.raise(now)
		return
	}
	ops := min(l.n.settings.State.TxnOps, l.n.store.Writable(statestore.Work))
	fence := l.reign.Fence()
	batch := l.book.NextBatch(fence, ops, l.n.store.Writable(statestore.Rest), int(l.n.valueBytes.Load()), now)
	if batch == nil {
		l.clearOrphans(fence)
		return
	}
	l.writing = true
	l.spawn(func() {
		rev, err := l.n.store.Txn(l.ctx, batch.Conds, batch.Ops, statestore.Work)
		l.post(func() { l.written(batch, rev, err, fence, depose) })
	})
}

func (l *lead) written(batch *ledger.Batch, rev uint64, err error, fence statestore.Cond, depose context.CancelCauseFunc) {
	now := time.Now()
	l.writing = false
	if err == nil {
		starts, ended := l.book.Committed(batch, rev)
		for _, a := range starts {
			if a.Job.Cancelled {
				continue // the sweep halts it; it was never sent
			}
			l.machine(a.Machine, now).Kick()
		}
		for _, j := range ended {
			l.ended(j)
		}
		return
	}
	l.book.Failed(batch)
	var conflict *statestore.ConflictError
	if !errors.As(err, &conflict) {
		slog.Debug("batch not written", "err", err)
		l.writing = true // wait a little before the next try
		l.spawn(func() {
			pause.For(l.ctx, 100*time.Millisecond)
			l.post(func() { l.writing = false })
		})
		return
	}
	slog.Debug("batch met a conflict", "keys", conflict.Keys)
	for _, key := range conflict.Keys {
		if key == fence.Key && l.reign.Fence() == fence {
			depose(errDeposed)
			return
		}
	}
	l.writing = true
	l.spawn(func() {
		for _, key := range conflict.Keys {
			if key == fence.Key {
				continue
			}
			it, err := l.n.store.Get(l.ctx, key, statestore.User)
			if err != nil && !errors.Is(err, statestore.ErrNotFound) {
				slog.Debug("conflict not read", "key", key, "err", err)
				continue // the next try meets it again
			}
			l.post(func() { l.resolve(key, it, err == nil) })
		}
		l.post(func() { l.writing = false })
	})
}

// resolve learns what stands under a key whose condition failed.
func (l *lead) resolve(key string, it statestore.Item, exists bool) {
	id, chunk, ok := ledger.SplitKey(key)
	switch {
	case !ok:
	case chunk >= 0:
		l.book.ChunkRev(id, chunk, it.Rev)
	case exists:
		l.onJob(it.Value, it.Rev)
	default:
		if j := l.book.Gone(id, false); j != nil {
			l.ended(j)
		}
	}
}

// ended drops what the leader holds of a job whose end is recorded.
func (l *lead) ended(j *ledger.Job) {
	l.replan = true
	delete(l.jobs, j)
	j.Attempts(func(a *ledger.Attempt) { l.machine(a.Machine, time.Now()).Release(a) })
	l.orphans = append(l.orphans, j.OrphanOps(1<<20)...)
}

func (l *lead) clearOrphans(fence statestore.Cond) {
	n := min(len(l.orphans), l.n.settings.State.TxnOps, l.n.store.Writable(statestore.Rest))
	if n == 0 {
		return
	}
	ops := l.orphans[:n:n]
	l.orphans = l.orphans[n:]
	l.writing = true
	l.spawn(func() {
		_, err := l.n.store.Txn(l.ctx, []statestore.Cond{fence}, ops, statestore.Rest)
		l.post(func() {
			l.writing = false
			if err != nil {
				l.orphans = append(l.orphans, ops...)
			}
		})
	})
}

// needRaise tells whether a new term is needed: to prove that starts which were
// never answered cannot act any more, or to let exited tasks be forgotten.
func (l *lead) needRaise(now time.Time) bool {
	if now.Sub(l.raised) < raiseGap || now.Sub(l.started) < raiseGap || now.Sub(l.raiseAsked) < time.Second {
		return false
	}
	l.raiseAsked = now
	need := false
	l.fleet.Each(func(m *fleet.Machine) {
		// A machine that is heard through others forgets nothing whatever its token.
		if m.Via == "" && m.Retained() > maxExited {
			need = true
		}
		for _, h := range m.Holds {
			if h.Stopping && h.Missing >= 2 && ledger.TryTerm(h.Try) == l.reign.Term() {
				need = true
			}
		}
	})
	return need
}

func (l *lead) raise(now time.Time) {
	l.raised = now
	l.writing = true
	l.spawn(func() {
		err := l.reign.Raise(l.ctx)
		if err != nil {
			slog.Info("term not raised", "err", err)
		} else {
			slog.Info("term raised", "term", l.reign.Term())
		}
		l.post(func() {
			l.writing = false
			l.book.Renumber(l.reign.Term(), func(a *ledger.Attempt, was uint64) {
				l.machine(a.Machine, time.Now()).Renumber(a, was)
			})
		})
	})
}
