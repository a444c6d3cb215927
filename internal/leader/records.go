package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
)

// Times of the watch on the records of jobs.
const (
	recordsWatchTimeout = 10 * time.Second       // maximum wait for a change in one watch request
	recordsWatchRetry   = 300 * time.Millisecond // delay after a failed watch request

	// recordsWatchPause is the delay between two watch requests. Changes arrive in bursts, those of this
	// leader included, and without the delay each change could cost a request.
	recordsWatchPause = 50 * time.Millisecond
)

// watchRecords watches the records of jobs, which users submit and cancel through any controller, from a
// revision until ctx ends. If the revision was compacted, it ends the leader: the next one reads all
// records again.
func (l *Leader) watchRecords(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		changes, reached, err := l.Store.Watch(ctx, jobstore.JobPrefix, revision, recordsWatchTimeout)
		if errors.Is(err, kvstore.ErrCompacted) {
			l.stop(fmt.Errorf("leader: watch job records after revision %d: %w", revision, err))
			return
		}
		if err != nil {
			slog.Debug("watch of job records failed", "err", err)
			clock.Sleep(ctx, recordsWatchRetry)
			continue
		}
		revision = max(revision, reached)
		l.loop.submit(recordsChanged{changes, revision})
		clock.Sleep(ctx, recordsWatchPause)
	}
}

// recordsChanged carries the changes that the watch has returned.
type recordsChanged struct {
	changes []kvstore.Event
	reached uint64 // revision that the changes reach
}

func (e recordsChanged) apply(l *Leader) {
	for i := range e.changes {
		l.applyChange(&e.changes[i])
	}
	l.jobs.store.WatchReached(e.reached)
}

// applyChange applies a change of a job's record. It ignores changes of chunks and of keys that are not
// a job's.
func (l *Leader) applyChange(change *kvstore.Event) {
	if change.Delete != "" {
		jobID, chunk, ok := jobstore.SplitKey(change.Delete)
		if ok && chunk < 0 {
			l.recordDeleted(jobID)
			return
		}
	}
	if change.Put == "" {
		return
	}
	if _, chunk, ok := jobstore.SplitKey(change.Put); ok && chunk < 0 {
		l.applyRecord(change.Put, change.Value, change.Revision)
	}
}

func (l *Leader) recordDeleted(jobID string) {
	if j := l.jobs.store.RecordDeleted(jobID); j != nil {
		l.attempts.jobEnded(j)
	}
}

// applyRecord applies a job's record that was read or watched: it admits a new job and stops the
// attempts of a cancelled one. It logs a record that cannot be decoded, and ignores it.
func (l *Leader) applyRecord(key string, value []byte, revision uint64) {
	jobID, _, _ := jobstore.SplitKey(key)
	changed, isNews, err := l.jobs.store.ApplyRecord(jobID, value, revision)
	if err != nil {
		slog.Error("job record unreadable", "key", key, "err", err)
		return
	}
	if !isNews {
		return
	}
	l.admitJob(changed)
	if changed.Cancelled {
		l.attempts.stopAttempts(changed, time.Now())
	}
}

// JobsChanged starts a read of the records of jobs that another controller reports as changed. The
// watch returns the same changes, but its connection may hang without an error. JobsChanged drops the
// report if the event queue is full. It is safe for concurrent use.
func (l *Leader) JobsChanged(jobIDs []string) { l.loop.trySubmit(jobsChanged{jobIDs}) }

// jobsChanged carries another controller's report of changed jobs.
type jobsChanged struct{ jobIDs []string }

func (e jobsChanged) apply(l *Leader) {
	l.loop.start(func() { l.readRecords(e.jobIDs) })
}

// readRecords reads the records of jobs and submits a recordRead for each. It ends at the first read
// that fails.
func (l *Leader) readRecords(jobIDs []string) {
	for _, id := range jobIDs {
		if !job.ValidID(id) {
			continue
		}
		item, err := l.Store.Get(l.loop.ctx, jobstore.JobKey(id), kvstore.PriorityBackground)
		if err != nil {
			return
		}
		l.loop.submit(recordRead{item})
	}
}

// recordRead carries a job's record that was read outside the watch.
type recordRead struct{ item kvstore.Item }

func (e recordRead) apply(l *Leader) { l.applyRecord(e.item.Key, e.item.Value, e.item.Revision) }
