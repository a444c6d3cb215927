package api

// This file refreshes the replica of the records: it schedules the reads that requests wait for, and
// reads either all records or their changes.

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
)

// replica is the node's copy of the state of unfinished jobs that is reported to users. One read of the
// changes since the last read brings it up to date. The read is linearizable: for all requests that
// waited when it was sent, the replica is then as fresh as a read of their own would be.
//
// Guards against refusing users' requests for lack of store capacity: Without a replica every poll
// costs a read. A few hundred jobs, each polled every few seconds, then use up the request rate that
// the key-value store allows, and their users are refused repeatedly.
type replica struct {
	store       *kvstore.Client
	minInterval time.Duration // minimum time between the starts of two refreshes
	wake        chan struct{} // wakes run when a read becomes pending; capacity 1
	onRead      func(cancelled []string, asOf time.Time)

	// revision is the revision up to which jobs is complete; 0: all records have to be read. Only the
	// goroutine of run uses it.
	revision uint64

	mu      sync.Mutex          // guards the fields below
	pending *pendingRead        // next read to be sent; nil: no request waits for one
	jobs    map[string]*jobView // by job ID
}

// pendingRead is a read shared by all requests that began to wait before it was sent.
type pendingRead struct {
	done chan struct{} // closed when the read has ended
	err  error         // result of the read; valid once done is closed
}

const (
	// readShare is the maximum rate at which one node refreshes its replica, as a share of the request
	// rate of the key-value store. The rest is left for writes and for the replicas of the other nodes.
	readShare = 0.1

	// changesTimeout limits one read of changes. Users' requests wait for the read, and they have to
	// be answered within requestTimeout.
	changesTimeout = time.Second

	// pageSize is the maximum number of keys returned by one range read. It is the key-value store's
	// own limit.
	pageSize = 1000
)

// newReplica returns an empty replica, for a store that allows storeRPS requests per second. The
// goroutine of run calls onRead after each successful refresh, with the jobs that applyChanges returned
// and the time at which the read of changes was sent.
func newReplica(store *kvstore.Client, storeRPS float64, onRead func(cancelled []string, asOf time.Time)) *replica {
	return &replica{
		store:       store,
		minInterval: time.Duration(float64(time.Second) / (readShare * storeRPS)),
		wake:        make(chan struct{}, 1),
		onRead:      onRead,
		jobs:        map[string]*jobView{},
	}
}

// confirmFresh waits until the replica is no older than the call. It returns the error of the read, or
// that of ctx if ctx ends first.
func (r *replica) confirmFresh(ctx context.Context) error {
	read := r.joinRead()
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinRead returns the next read to be sent, and wakes run if no other request waits for the read yet.
func (r *replica) joinRead() *pendingRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = &pendingRead{done: make(chan struct{})}
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	return r.pending
}

// takePending removes and returns the pending read, or returns nil if there is none. Later requests
// wait for the read after it.
func (r *replica) takePending() *pendingRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	read := r.pending
	r.pending = nil
	return read
}

// run refreshes the replica whenever a request waits, at most once per minInterval, until ctx ends.
func (r *replica) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		read := r.takePending()
		if read == nil {
			continue
		}
		began := time.Now()
		read.err = r.refresh(ctx)
		if read.err != nil {
			slog.Debug("replica of the job records not refreshed", "err", read.err)
		}
		close(read.done)
		if !clock.Sleep(ctx, r.minInterval-time.Since(began)) {
			return
		}
	}
}

// refresh brings the replica up to date and calls onRead. It reads the changes since revision, and
// before them all records if revision is 0. Only run calls it.
func (r *replica) refresh(ctx context.Context) error {
	if r.revision == 0 {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	sent := time.Now()
	cancelled, err := r.applyChanges(ctx)
	if errors.Is(err, kvstore.ErrCompacted) {
		r.revision = 0 // the next refresh reads all records
	}
	if err != nil {
		return fmt.Errorf("api: reading the changes of job records: %w", err)
	}
	r.onRead(cancelled, sent)
	return nil
}

// applyChanges reads and applies the changes since revision. It returns the IDs of the cancelled jobs
// that it has not returned since the last load.
func (r *replica) applyChanges(ctx context.Context) (cancelled []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	events, revision, err := r.store.Changes(ctx, jobstore.JobPrefix, r.revision)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range events {
		applyEvent(r.jobs, &events[i])
	}
	r.revision = max(r.revision, revision)
	for id, view := range r.jobs {
		if view.cancelled && !view.reported {
			view.reported = true
			cancelled = append(cancelled, id)
		}
	}
	return cancelled, nil
}

// load replaces all views by a new read of all records. The pages of the read have different revisions,
// so the views are not consistent with each other yet. They become consistent when refresh next applies
// the changes since the first page. Views ignore the changes that a later page already included.
//
// Guards against reporting an accepted job as missing: A request whose freshness was confirmed looks
// up a job while the records are being read. The previous views therefore stay until all are read.
func (r *replica) load(ctx context.Context) error {
	jobs := map[string]*jobView{}
	var firstRevision uint64
	lastKey := ""
	for {
		page, err := r.store.List(ctx, jobstore.JobPrefix, lastKey, pageSize, kvstore.PriorityUser)
		if err != nil {
			return fmt.Errorf("api: listing the job records after key %q: %w", lastKey, err)
		}
		if firstRevision == 0 {
			firstRevision = page.Revision
		}
		for _, item := range page.Items {
			applyEvent(jobs, &kvstore.Event{Put: item.Key, Value: item.Value, Revision: item.Revision})
			lastKey = item.Key
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = jobs
	r.revision = firstRevision
	return nil
}

// Errors of replica.state.
var (
	errNoUnfinishedJob  = errors.New("api: no unfinished job with this ID")
	errRecordUnreadable = errors.New("api: job record cannot be decoded")
)

// state returns the state of an unfinished job as reported to users. The error is errNoUnfinishedJob if
// the replica has no record of the job, and errRecordUnreadable if the record cannot be decoded.
func (r *replica) state(id string) (jobState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.jobs[id]
	switch {
	case view == nil || !view.hasRecord:
		return jobState{}, errNoUnfinishedJob
	case view.unreadable:
		return jobState{}, errRecordUnreadable
	}
	return view.state(id), nil
}

// locations returns the locations at which tasks of an unfinished job may run, or nil if there are none.
func (r *replica) locations(id string) []jobstore.Location {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.jobs[id]
	if view == nil {
		return nil
	}
	return view.locations()
}
