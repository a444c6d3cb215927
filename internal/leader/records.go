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
	recordsWatchTimeout = 10 * time.Second
	recordsWatchRetry   = 300 * time.Millisecond

	// recordsWatchPause is between two watches. Changes come in company, this leader's own among
	// them, and each new watch is a request.
	recordsWatchPause = 50 * time.Millisecond
)

// watchRecords follows the jobs that users submit and cancel on any controller.
func (l *Leader) watchRecords(ctx context.Context, revision uint64) {
	for ctx.Err() == nil {
		changes, reached, err := l.Store.Watch(ctx, jobstore.JobPrefix, revision, recordsWatchTimeout)
		if errors.Is(err, kvstore.ErrCompacted) {
			l.stop(fmt.Errorf("leader: watch of records: %w", err)) // the next term reads everything again
			return
		}
		if err != nil {
			slog.Debug("watch failed", "err", err)
			clock.Sleep(ctx, recordsWatchRetry)
			continue
		}
		revision = max(revision, reached)
		l.loop.submit(recordsChanged{changes})
		clock.Sleep(ctx, recordsWatchPause)
	}
}

// recordsChanged is what the watch has seen.
type recordsChanged struct{ changes []kvstore.Event }

func (e recordsChanged) apply(l *Leader) {
	for i := range e.changes {
		l.applyChange(&e.changes[i])
	}
}

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
		l.applyRecord(change.Value, change.Revision)
	}
}

func (l *Leader) recordDeleted(jobID string) {
	if j := l.jobs.store.RecordDeleted(jobID); j != nil {
		l.attempts.jobEnded(j)
	}
}

// applyRecord takes a job's record as it was read or watched.
func (l *Leader) applyRecord(value []byte, revision uint64) {
	changed, isNews, err := l.jobs.store.ApplyRecord(value, revision)
	if err != nil {
		slog.Error("job record unreadable", "err", err)
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

// JobsChanged reads jobs that another controller says have changed. The watch sees them too, but
// its connection may hang without an error. It is safe for concurrent use.
func (l *Leader) JobsChanged(jobIDs []string) { l.loop.trySubmit(jobsChanged{jobIDs}) }

type jobsChanged struct{ jobIDs []string }

func (e jobsChanged) apply(l *Leader) {
	l.loop.start(func() { l.readRecords(e.jobIDs) })
}

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

// recordRead is a job's record that was read outside the watch.
type recordRead struct{ item kvstore.Item }

func (e recordRead) apply(l *Leader) { l.applyRecord(e.item.Value, e.item.Revision) }
