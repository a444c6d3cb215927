package leader

import (
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
)

// recordWriter makes the leader's decisions durable: one transaction at a time, conditioned on the
// leader's term. It also advances the term and deletes what ended jobs have left.
type recordWriter struct {
	*environment
	jobs     *jobTable
	machines *machineTable

	busy    bool // a transaction or an advance of the term is in flight, or a retry waits
	garbage []kvstore.Mutation

	advancedAt       time.Time
	advanceCheckedAt time.Time // when it was last checked whether the term is to be advanced
}

func newRecordWriter(env *environment, jobs *jobTable, machines *machineTable) *recordWriter {
	return &recordWriter{environment: env, jobs: jobs, machines: machines}
}

// addGarbage takes deletions of what ended jobs have left. They are carried out when nothing else
// is to be written.
func (w *recordWriter) addGarbage(deletions ...kvstore.Mutation) {
	w.garbage = append(w.garbage, deletions...)
}

// writeNext puts the next transaction in flight.
func (w *recordWriter) writeNext(now time.Time) {
	if w.busy || !w.term.Valid() {
		return
	}
	if w.needsNewTerm(now) {
		w.advanceTerm(now)
		return
	}
	fence := w.term.Fence()
	limits := jobstore.BatchLimits{
		Mutations:      min(w.Settings.Store.TxnOps, w.Store.WriteBudget(kvstore.PriorityScheduling)),
		SpareMutations: w.Store.WriteBudget(kvstore.PriorityBackground),
		ValueBytes:     w.Node.ValueBytes(),
	}
	batch := w.jobs.store.NextBatch(fence, limits, now)
	if batch == nil {
		w.deleteGarbage(fence)
		return
	}
	w.busy = true
	w.loop.start(func() {
		revision, err := w.Store.Txn(w.loop.ctx, batch.Compares, batch.Mutations, kvstore.PriorityScheduling)
		w.loop.submit(batchWritten{batch: batch, fence: fence, revision: revision, err: err})
	})
}

// batchWritten is the answer to a batch, or the lack of one.
type batchWritten struct {
	batch    *jobstore.Batch
	fence    kvstore.Compare
	revision uint64
	err      error
}

func (e batchWritten) apply(l *Leader) {
	l.writer.busy = false
	if e.err == nil {
		l.batchCommitted(e.batch, e.revision)
		return
	}
	l.jobs.store.BatchFailed(e.batch)
	var conflict *kvstore.ConflictError
	if !errors.As(e.err, &conflict) {
		slog.Debug("batch not written", "err", e.err)
		l.writer.retryLater()
		return
	}
	slog.Debug("batch met a conflict", "keys", conflict.Keys)
	for _, key := range conflict.Keys {
		if key == e.fence.Key && l.term.Fence() == e.fence {
			l.stop(errTermSuperseded)
			return
		}
	}
	l.writer.readConflicts(conflict.Keys, e.fence.Key)
}

// batchCommitted makes recorded starts ready to be sent and drops jobs whose end is recorded.
func (l *Leader) batchCommitted(batch *jobstore.Batch, revision uint64) {
	now := time.Now()
	starts, ended := l.jobs.store.BatchCommitted(batch, revision)
	for _, attempt := range starts {
		if attempt.Job.Cancelled {
			continue // it was never sent, and stopAttempts takes it back
		}
		l.machines.findOrAdd(attempt.Machine, now).MarkUrgent()
	}
	for _, j := range ended {
		l.attempts.jobEnded(j)
	}
}

// writeRetryInterval is the pause after a transaction that failed or had no answer.
const writeRetryInterval = 100 * time.Millisecond

func (w *recordWriter) retryLater() {
	w.busy = true
	w.loop.start(func() {
		clock.Sleep(w.loop.ctx, writeRetryInterval)
		w.loop.submit(writerIdle{})
	})
}

// writerIdle ends the time in which the writer puts nothing in flight.
type writerIdle struct{}

func (writerIdle) apply(l *Leader) { l.writer.busy = false }

// readConflicts reads what stands under the keys whose compares failed.
func (w *recordWriter) readConflicts(keys []string, fenceKey string) {
	w.busy = true
	w.loop.start(func() {
		for _, key := range keys {
			if key == fenceKey {
				continue
			}
			item, err := w.Store.Get(w.loop.ctx, key, kvstore.PriorityUser)
			if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
				slog.Debug("conflict not read", "key", key, "err", err)
				continue // the next transaction meets it again
			}
			w.loop.submit(conflictRead{key: key, item: item, exists: err == nil})
		}
		w.loop.submit(writerIdle{})
	})
}

// conflictRead is what stands under a key whose compare failed.
type conflictRead struct {
	key    string
	item   kvstore.Item
	exists bool
}

func (e conflictRead) apply(l *Leader) {
	jobID, chunk, ok := jobstore.SplitKey(e.key)
	switch {
	case !ok:
	case chunk >= 0:
		l.jobs.store.SetChunkRevision(jobID, chunk, e.item.Revision)
	case e.exists:
		l.applyRecord(e.item.Value, e.item.Revision)
	default:
		if j := l.jobs.store.RecordFoundDeleted(jobID); j != nil {
			l.attempts.jobEnded(j)
		}
	}
}

// deleteGarbage deletes some of what ended jobs have left.
func (w *recordWriter) deleteGarbage(fence kvstore.Compare) {
	count := min(len(w.garbage), w.Settings.Store.TxnOps, w.Store.WriteBudget(kvstore.PriorityBackground))
	if count == 0 {
		return
	}
	deletions := w.garbage[:count:count]
	w.garbage = w.garbage[count:]
	w.busy = true
	w.loop.start(func() {
		_, err := w.Store.Txn(w.loop.ctx, []kvstore.Compare{fence}, deletions, kvstore.PriorityBackground)
		w.loop.submit(garbageDeleted{deletions, err})
	})
}

type garbageDeleted struct {
	deletions []kvstore.Mutation
	err       error
}

func (e garbageDeleted) apply(l *Leader) {
	l.writer.busy = false
	if e.err != nil {
		l.writer.addGarbage(e.deletions...)
	}
}

// Limits of advancing the term.
const (
	advanceInterval      = 10 * time.Second
	advanceCheckInterval = time.Second

	// maxExitedTasks is how many exited tasks an agent may keep reporting before the term is
	// advanced so that it may forget them.
	maxExitedTasks = 40

	// lostStartHeartbeats is how many heartbeats in a row do not show a start before it counts as lost.
	lostStartHeartbeats = 2
)

// needsNewTerm reports whether the term is to be advanced: as proof that starts which were never
// answered cannot take effect any more, or to let exited tasks be forgotten.
func (w *recordWriter) needsNewTerm(now time.Time) bool {
	tooSoon := now.Sub(w.advancedAt) < advanceInterval || now.Sub(w.startedAt) < advanceInterval
	if tooSoon || now.Sub(w.advanceCheckedAt) < advanceCheckInterval {
		return false
	}
	w.advanceCheckedAt = now
	needed := false
	w.machines.registry.Each(func(machine *agent.Machine) {
		needed = needed || w.machineNeedsNewTerm(machine)
	})
	return needed
}

func (w *recordWriter) machineNeedsNewTerm(machine *agent.Machine) bool {
	// A machine whose heartbeats are relayed forgets nothing, whatever its token.
	if machine.RelayedBy == "" && machine.ExitedTasks() > maxExitedTasks {
		return true
	}
	for _, assignment := range machine.Assignments {
		startLost := assignment.Stopping && assignment.MissedHeartbeats >= lostStartHeartbeats
		if startLost && assignment.ID().Term() == w.term.Number() {
			return true
		}
	}
	return false
}

func (w *recordWriter) advanceTerm(now time.Time) {
	w.advancedAt = now
	w.busy = true
	w.loop.start(func() {
		if err := w.term.Advance(w.loop.ctx); err != nil {
			slog.Info("term not advanced", "err", err)
		} else {
			slog.Info("term advanced", "term", w.term.Number())
		}
		w.loop.submit(termAdvanced{})
	})
}

// termAdvanced ends an advance of the term, whether it succeeded or not.
type termAdvanced struct{}

func (termAdvanced) apply(l *Leader) {
	l.writer.busy = false
	l.attempts.renumberUnsent(time.Now())
}
