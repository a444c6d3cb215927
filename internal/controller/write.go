package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
)

// write puts the next batch in flight.
func (l *leader) write(now time.Time, depose context.CancelCauseFunc) {
	if l.writing || !l.term.Valid() {
		return
	}
	if l.needRaise(now) {
		l.raise(now)
		return
	}
	ops := min(l.node.settings.Store.TxnOps, l.node.store.WriteBudget(kvstore.PriorityScheduling))
	fence := l.term.Fence()
	batch := l.jobs.NextBatch(fence, ops, l.node.store.WriteBudget(kvstore.PriorityBackground), int(l.node.valueBytes.Load()), now)
	if batch == nil {
		l.clearOrphans(fence)
		return
	}
	l.writing = true
	l.spawn(func() {
		rev, err := l.node.store.Txn(l.ctx, batch.Compares, batch.Mutations, kvstore.PriorityScheduling)
		l.post(func() { l.written(batch, rev, err, fence, depose) })
	})
}

func (l *leader) written(batch *jobstore.Batch, rev uint64, err error, fence kvstore.Compare, depose context.CancelCauseFunc) {
	now := time.Now()
	l.writing = false
	if err == nil {
		starts, ended := l.jobs.BatchCommitted(batch, rev)
		for _, a := range starts {
			if a.Job.Cancelled {
				continue // stopAttempts halts it; it was never sent
			}
			l.machine(a.Machine, now).MarkUrgent()
		}
		for _, j := range ended {
			l.ended(j)
		}
		return
	}
	l.jobs.BatchFailed(batch)
	var conflict *kvstore.ConflictError
	if !errors.As(err, &conflict) {
		slog.Debug("batch not written", "err", err)
		l.writing = true // wait a little before the next try
		l.spawn(func() {
			clock.Sleep(l.ctx, 100*time.Millisecond)
			l.post(func() { l.writing = false })
		})
		return
	}
	slog.Debug("batch met a conflict", "keys", conflict.Keys)
	for _, key := range conflict.Keys {
		if key == fence.Key && l.term.Fence() == fence {
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
			it, err := l.node.store.Get(l.ctx, key, kvstore.PriorityUser)
			if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
				slog.Debug("conflict not read", "key", key, "err", err)
				continue // the next try meets it again
			}
			l.post(func() { l.resolve(key, it, err == nil) })
		}
		l.post(func() { l.writing = false })
	})
}

// resolve learns what stands under a key whose condition failed.
func (l *leader) resolve(key string, it kvstore.Item, exists bool) {
	id, chunk, ok := jobstore.SplitKey(key)
	switch {
	case !ok:
	case chunk >= 0:
		l.jobs.SetChunkRevision(id, chunk, it.Revision)
	case exists:
		l.onJob(it.Value, it.Revision)
	default:
		if j := l.jobs.RecordFoundDeleted(id); j != nil {
			l.ended(j)
		}
	}
}

// ended drops what the leader holds of a job whose end is recorded.
func (l *leader) ended(j *jobstore.Job) {
	l.replan = true
	delete(l.jobStates, j)
	j.EachAttempt(func(a *jobstore.Attempt) { l.machine(a.Machine, time.Now()).Release(a) })
	l.orphans = append(l.orphans, j.GarbageMutations(1<<20)...)
}

func (l *leader) clearOrphans(fence kvstore.Compare) {
	n := min(len(l.orphans), l.node.settings.Store.TxnOps, l.node.store.WriteBudget(kvstore.PriorityBackground))
	if n == 0 {
		return
	}
	ops := l.orphans[:n:n]
	l.orphans = l.orphans[n:]
	l.writing = true
	l.spawn(func() {
		_, err := l.node.store.Txn(l.ctx, []kvstore.Compare{fence}, ops, kvstore.PriorityBackground)
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
func (l *leader) needRaise(now time.Time) bool {
	if now.Sub(l.raised) < raiseGap || now.Sub(l.started) < raiseGap || now.Sub(l.raiseAsked) < time.Second {
		return false
	}
	l.raiseAsked = now
	need := false
	l.fleet.Each(func(m *agent.Machine) {
		// A machine that is heard through others forgets nothing whatever its token.
		if m.RelayedBy == "" && m.ExitedTasks() > maxExited {
			need = true
		}
		for _, h := range m.Assignments {
			if h.Stopping && h.MissedHeartbeats >= 2 && h.ID().Term() == l.term.Number() {
				need = true
			}
		}
	})
	return need
}

func (l *leader) raise(now time.Time) {
	l.raised = now
	l.writing = true
	l.spawn(func() {
		err := l.term.Advance(l.ctx)
		if err != nil {
			slog.Info("term not raised", "err", err)
		} else {
			slog.Info("term raised", "term", l.term.Number())
		}
		l.post(func() {
			l.writing = false
			l.jobs.RenumberUnrecorded(l.term.Number(), func(renumbered jobstore.Renumbered) {
				attempt := renumbered.Attempt
				l.machine(attempt.Machine, time.Now()).Renumber(attempt, renumbered.PreviousNumber)
			})
		})
	})
}
