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

// recovery tracks the progress of a new leader: it reads the records, then waits for heartbeats to show
// what is on the machines (reconciliation), and places tasks from then on.
type recovery struct {
	*environment
	registry *agent.Registry

	loaded      atomic.Bool // the records have been read; safe for concurrent use
	reconciled  bool        // reconciliation is over; it never starts again
	cloudListed bool        // the cloud's list of machines has been read
}

// minReportedShare is the share of expected machines that must have sent a heartbeat for reconciliation
// to end early.
const minReportedShare = 0.9

// ready reports whether reconciliation is over, so that tasks may be placed.
//
// Exception 1 to the design (docs/placement.md): reconciliation ends early. The design has every new
// leader wait 10 s. Here the wait ends as soon as nearly every machine named by the records or the
// cloud's list has sent a heartbeat. Otherwise each election would cost services the full 10 s. Not
// every machine is required: of hundreds some are always failing, hanging or cut off, and these get no
// tasks anyway.
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

// mayReplaceMissing reports whether machines without heartbeats may be treated as lost, and replacements
// rented: reconciliation is over, and it has timed out or every expected machine has sent a heartbeat.
func (r *recovery) mayReplaceMissing(now time.Time) bool {
	return r.ready(now) && (r.timedOut(now) || r.reportedShare() == 1)
}

// timedOut reports whether the new leader has waited for heartbeats for the operator's ReconcileTimeout.
func (r *recovery) timedOut(now time.Time) bool {
	return now.Sub(r.startedAt) >= r.Operator.ReconcileTimeout
}

// reportedShare returns the share, from 0 to 1, of expected machines that have sent this leader a
// heartbeat. Machines without one are expected unless the cloud lists them as starting or failed.
// Without expected machines the share is 1.
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

const (
	catalogPollInterval = 50 * time.Millisecond  // time between checks for the cloud's catalog
	loadRetryInterval   = 200 * time.Millisecond // delay after a failed read of a page
	recordsPageSize     = 1000                   // maximum number of keys read per request
)

// load waits for the cloud's catalog, reads all unfinished jobs, and returns the revision after which
// changes are to be watched. What it reads is not invalidated by delayed writes of earlier leaders:
// these fail on their compares. The error is that of ctx.
func (l *Leader) load(ctx context.Context) (revision uint64, err error) {
	for l.Node.MachineTypes() == nil {
		if !clock.Sleep(ctx, catalogPollInterval) {
			return 0, ctx.Err()
		}
	}
	l.topology.addTypes(slices.Clone(l.Node.MachineTypes()))
	l.forecast.restore(ctx)
	l.health.initZones()
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
	l.jobs.store.WatchReached(revision)
	slog.Info("records read", "term", l.term.Number(), "jobs", l.jobs.store.Len(), "machines", l.machines.registry.Size())
	return revision, nil
}

// loadRecords reads all records and chunks page by page. It returns the revision of the first page: the
// watch returns the changes after it. A record or chunk that cannot be loaded is logged and skipped.
func (l *Leader) loadRecords(ctx context.Context) (revision uint64, err error) {
	lastKey := ""
	loader := recordLoader{leader: l}
	for {
		page, err := l.readPage(ctx, lastKey)
		if err != nil {
			return 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		for _, item := range page.Items {
			if err := loader.loadItem(item); err != nil {
				slog.Error("record skipped", "key", item.Key, "err", err)
			}
			lastKey = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			return revision, nil
		}
	}
}

// readPage reads the page of records that follows lastKey, or the first if it is "". It retries until it
// succeeds or ctx ends; the error is that of ctx.
func (l *Leader) readPage(ctx context.Context, lastKey string) (kvstore.Page, error) {
	for {
		page, err := l.Store.List(ctx, jobstore.JobPrefix, lastKey, recordsPageSize, kvstore.PriorityLease)
		if err == nil {
			return page, nil
		}
		slog.Debug("page of job records not read", "err", err)
		if !clock.Sleep(ctx, loadRetryInterval) {
			return kvstore.Page{}, ctx.Err()
		}
	}
}

// errUnexpectedKey is returned for a key below jobstore.JobPrefix that jobstore.SplitKey cannot parse.
var errUnexpectedKey = errors.New("leader: key is neither that of a job record nor that of a chunk")

// errRecordUnreadable is returned for a chunk whose job's record cannot be decoded.
var errRecordUnreadable = errors.New("leader: the record of the chunk's job is unreadable")

// recordLoader loads records and chunks in the order of their keys, so that the record of a job comes before
// its chunks.
type recordLoader struct {
	leader       *Leader
	unreadableID string // job whose record could not be decoded last
}

// loadItem loads one record or chunk. A chunk without a record of its job is queued for deletion.
//
// Guards against the loss of a job's progress: the chunks of a record that cannot be decoded are kept.
func (r *recordLoader) loadItem(item kvstore.Item) error {
	jobID, chunk, ok := jobstore.SplitKey(item.Key)
	switch {
	case !ok:
		return errUnexpectedKey
	case chunk < 0:
		return r.loadRecord(jobID, item)
	case jobID == r.unreadableID:
		return errRecordUnreadable
	case r.leader.jobs.store.Job(jobID) == nil:
		r.leader.writer.addGarbage(kvstore.Mutation{Delete: item.Key})
		return nil
	}
	return r.leader.jobs.store.LoadChunk(jobID, chunk, item.Value, item.Revision)
}

func (r *recordLoader) loadRecord(jobID string, item kvstore.Item) error {
	j, _, err := r.leader.jobs.store.ApplyRecord(jobID, item.Value, item.Revision)
	if err != nil {
		r.unreadableID = jobID
		return fmt.Errorf("leader: load job record: %w", err)
	}
	r.leader.admitJob(j)
	return nil
}

// admitJob adds a job to the leader's tables and to the forecast, and requests a scheduling pass. It
// does nothing for a job that has been added before.
func (l *Leader) admitJob(j *jobstore.Job) {
	state, isNew := l.jobs.admit(j)
	if !isNew {
		return
	}
	l.scheduler.trigger.request()
	l.forecast.jobArrived(j, state)
}
