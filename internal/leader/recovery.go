package leader

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
)

// recovery is how far a new leader has got: it reads the records, then waits until heartbeats have
// shown what is on the machines (reconciliation), and places tasks from then on.
type recovery struct {
	*environment
	registry *agent.Registry

	loaded      atomic.Bool // the records have been read; safe for concurrent use
	reconciled  bool
	cloudListed bool // the cloud's list of machines has been read
}

// minReportedShare is the part of the machines whose heartbeats are enough to place tasks.
const minReportedShare = 0.9

// ready reports whether reconciliation is over, so that tasks may be placed.
//
// Exception to the design (10 s for every new leader): it ends as soon as nearly every machine that
// the records or the cloud's list name has sent a heartbeat. Otherwise each election cost services
// all of that time; and of hundreds of machines some are always dying, hanging or cut off, and get
// no tasks anyway.
func (r *recovery) ready(now time.Time) bool {
	if r.reconciled {
		return true
	}
	if r.timedOut(now) || r.cloudListed && r.reportedShare() >= minReportedShare {
		r.reconciled = true
		slog.Info("reconciliation finished", "term", r.term.Number(), "after", now.Sub(r.startedAt).Round(time.Millisecond))
	}
	return r.reconciled
}

// mayReplaceMissing reports whether machines without a heartbeat may be taken for lost, and others
// rented in their place.
func (r *recovery) mayReplaceMissing(now time.Time) bool {
	return r.ready(now) && (r.timedOut(now) || r.reportedShare() == 1)
}

// timedOut reports whether the time is over for which a new leader waits for heartbeats.
func (r *recovery) timedOut(now time.Time) bool {
	return now.Sub(r.startedAt) >= r.Operator.ReconcileTimeout
}

// reportedShare returns the part of the machines that should have sent a heartbeat to this leader
// and have.
func (r *recovery) reportedShare() float64 {
	expected, reported := 0, 0
	r.registry.Each(func(machine *agent.Machine) {
		switch {
		case machine.Registered:
			reported++
			expected++
		case !machine.Booting && !machine.Failed:
			expected++
		}
	})
	if expected == 0 {
		return 1
	}
	return float64(reported) / float64(expected)
}

// Pauses between attempts to read what a new leader needs, and the size of a page of records.
const (
	catalogPollInterval = 50 * time.Millisecond
	loadRetryInterval   = 200 * time.Millisecond
	recordsPageSize     = 1000
)

// load reads every unfinished job and returns the revision from which changes are to be watched.
// Writes of earlier leaders that are applied later fail on their compares, so what is read stays
// true.
func (l *Leader) load(ctx context.Context) (revision uint64, err error) {
	for l.Node.MachineTypes() == nil {
		if !clock.Sleep(ctx, catalogPollInterval) {
			return 0, ctx.Err()
		}
	}
	l.topology.addTypes(slices.Clone(l.Node.MachineTypes()))
	l.forecast.restore(ctx)
	l.health.begin()
	revision, err = l.loadRecords(ctx)
	if err != nil {
		return 0, err
	}
	now := time.Now()
	l.jobs.store.Each(func(j *jobstore.Job) {
		j.EachAttempt(func(attempt *jobstore.Attempt) {
			l.machines.findOrAdd(attempt.Machine, now).Assign(attempt, now)
		})
	})
	l.jobs.store.FinishLoading()
	slog.Info("records read", "term", l.term.Number(), "jobs", l.jobs.store.Len(), "machines", l.machines.registry.Size())
	return revision, nil
}

// loadRecords reads all records by pages. It returns the revision of the first page: changes behind
// it are seen by the watch.
func (l *Leader) loadRecords(ctx context.Context) (revision uint64, err error) {
	lastKey := ""
	for {
		page, err := l.readPage(ctx, lastKey)
		if err != nil {
			return 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, item := range page.Items {
			if err := l.loadRecord(item); err != nil {
				slog.Error("record skipped", "key", item.Key, "err", err)
			}
			lastKey = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return revision, nil
		}
	}
}

// readPage reads the records behind a key, again and again until it succeeds or ctx ends.
func (l *Leader) readPage(ctx context.Context, lastKey string) (kvstore.Page, error) {
	for {
		page, err := l.Store.List(ctx, jobstore.JobPrefix, lastKey, recordsPageSize, kvstore.PriorityLease)
		if err == nil {
			return page, nil
		}
		slog.Debug("records not read", "err", err)
		if !clock.Sleep(ctx, loadRetryInterval) {
			return kvstore.Page{}, ctx.Err()
		}
	}
}

var errUnexpectedKey = errors.New("leader: unexpected key")

func (l *Leader) loadRecord(item kvstore.Item) error {
	jobID, chunk, ok := jobstore.SplitKey(item.Key)
	if !ok {
		return errUnexpectedKey
	}
	if chunk < 0 {
		j, _, err := l.jobs.store.ApplyRecord(item.Value, item.Revision)
		if err != nil {
			return fmt.Errorf("leader: %w", err)
		}
		l.admitJob(j)
		return nil
	}
	if l.jobs.store.Job(jobID) == nil {
		l.writer.addGarbage(kvstore.Mutation{Delete: item.Key})
		return nil
	}
	return l.jobs.store.LoadChunk(jobID, chunk, item.Value, item.Revision)
}

// admitJob takes a job into the leader's tables, unless it is there.
func (l *Leader) admitJob(j *jobstore.Job) {
	state, isNew := l.jobs.admit(j)
	if !isNew {
		return
	}
	l.scheduler.trigger.request()
	l.forecast.jobArrived(j, state)
}
