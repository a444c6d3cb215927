package leader

import (
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
)

// recordWriter makes the leader's decisions durable, one transaction at a time, each conditional on the
// leader's term. It also advances the term and deletes the remaining chunks of ended jobs.
type recordWriter struct {
	*environment
	jobs     *jobTable
	machines *machineTable

	requestPending bool               // a request of the writer is in flight, or a retry is pending
	garbage        []kvstore.Mutation // deletions of the remaining chunks of ended jobs

	advancedAt       time.Time // start of the last advance of the term; zero: none
	advanceCheckedAt time.Time // last check of whether the term needs to be advanced
}

func newRecordWriter(env *environment, jobs *jobTable, machines *machineTable) *recordWriter {
	return &recordWriter{environment: env, jobs: jobs, machines: machines}
}

// writeNext starts the next transaction, or an advance of the term if one is needed. It does nothing
// while the writer is busy or the term is not valid.
func (w *recordWriter) writeNext(now time.Time) {
	if w.requestPending || !w.term.Valid() {
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
	w.requestPending = true
	w.loop.start(func() {
		revision, err := w.Store.Txn(w.loop.ctx, batch.Compares, batch.Mutations, kvstore.PriorityScheduling)
		w.loop.submit(batchWritten{batch: batch, fence: fence, revision: revision, err: err})
	})
}

// batchWritten reports the outcome of a batch. After kvstore.ErrUnknown the batch may have been executed
// all the same.
type batchWritten struct {
	batch    *jobstore.Batch
	fence    kvstore.Compare
	revision uint64
	err      error
}

func (e batchWritten) apply(l *Leader) {
	l.writer.requestPending = false
	if e.err == nil {
		l.batchCommitted(e.batch, e.revision)
		return
	}
	for _, j := range e.markUnwritten(l.jobs.store) {
		l.attempts.jobEnded(j)
	}
	var conflict *kvstore.ConflictError
	if !errors.As(e.err, &conflict) {
		slog.Debug("batch not written", "err", e.err)
		l.writer.retryLater()
		return
	}
	slog.Debug("batch not written: compares failed", "keys", conflict.Keys)
	for _, key := range conflict.Keys {
		if key == e.fence.Key && l.term.Fence() == e.fence {
			l.writer.adoptTerm()
			return
		}
	}
	l.writer.readConflicts(conflict.Keys, e.fence.Key)
}

// markUnwritten marks the changes of the batch to be written again. It returns the jobs whose ends are
// recorded all the same.
func (e batchWritten) markUnwritten(store *jobstore.Store) (ended []*jobstore.Job) {
	if !errors.Is(e.err, kvstore.ErrRejected) {
		return store.BatchFailed(e.batch)
	}
	slog.Error("batch refused by the key-value store", "bytes", e.batch.Bytes, "mutations", len(e.batch.Mutations),
		"compares", len(e.batch.Compares), "err", e.err)
	return store.BatchRefused(e.batch, time.Now())
}

// batchCommitted marks the machines of recorded starts for a direct request, and removes jobs whose end
// is recorded.
func (l *Leader) batchCommitted(batch *jobstore.Batch, revision uint64) {
	now := time.Now()
	starts, ended := l.jobs.store.BatchCommitted(batch, revision)
	for _, attempt := range starts {
		if attempt.Job.Cancelled {
			continue // the start was never sent; stopAttempts withdraws it
		}
		l.machines.findOrAdd(attempt.Machine, now).MarkUrgent()
	}
	for _, j := range ended {
		l.attempts.jobEnded(j)
	}
}

// writeRetryInterval is the delay before the next write after a batch failed for a reason other than a
// failed compare, or its outcome is unknown.
const writeRetryInterval = 100 * time.Millisecond

// retryLater keeps the writer busy for writeRetryInterval.
func (w *recordWriter) retryLater() {
	w.requestPending = true
	w.loop.start(func() {
		clock.Sleep(w.loop.ctx, writeRetryInterval)
		w.loop.submit(writerIdle{})
	})
}

// writerIdle ends the writer's busy state after a delay or after the reads of conflicts.
type writerIdle struct{}

func (writerIdle) apply(l *Leader) { l.writer.requestPending = false }

// readConflicts reads the keys whose compares failed, except the fence, and submits a conflictRead for
// each. The writer is busy until the reads have ended.
func (w *recordWriter) readConflicts(keys []string, fenceKey string) {
	w.requestPending = true
	w.loop.start(func() {
		for _, key := range keys {
			if key == fenceKey {
				continue
			}
			item, err := w.Store.Get(w.loop.ctx, key, kvstore.PriorityUser)
			if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
				slog.Debug("key of a failed compare not read", "key", key, "err", err)
				continue // the next transaction fails on the same compare and reads the key again
			}
			w.loop.submit(conflictRead{key: key, item: item, exists: err == nil})
		}
		w.loop.submit(writerIdle{})
	})
}

// conflictRead is the current state of a key whose compare failed.
type conflictRead struct {
	key    string
	item   kvstore.Item
	exists bool // false: the key does not exist, and item is the zero value
}

func (e conflictRead) apply(l *Leader) {
	jobID, chunk, ok := jobstore.SplitKey(e.key)
	switch {
	case !ok:
	case chunk >= 0:
		l.jobs.store.SetChunkRevision(jobID, chunk, e.item.Revision)
	case e.exists:
		l.applyRecord(e.key, e.item.Value, e.item.Revision)
	default:
		if j := l.jobs.store.RecordFoundDeleted(jobID); j != nil {
			l.attempts.jobEnded(j)
		}
	}
}
