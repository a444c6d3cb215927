package api

// This file has how the replica of the records is kept fresh: when it reads, what, and who waits for it.

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

// replica is this node's replica of what users may be told of unfinished jobs. One read of the
// changes since the last one brings it up to date. The read is linearizable, so it confirms for all
// requests that waited when it was sent that the replica is as fresh as a read of their own.
//
// Without it every poll costs a read. A few hundred jobs, each polled every few seconds, then use up
// the rate that the key-value store allows, and their users are refused again and again.
type replica struct {
	store       *kvstore.Client
	minInterval time.Duration // between the beginnings of two reads
	wake        chan struct{} // has one element if a read is pending
	onRead      func(cancelled []string, asOf time.Time)

	revision uint64 // up to which jobs is complete; 0: read everything. Only run's goroutine uses it

	mu      sync.Mutex          // guards what follows
	pending *pendingRead        // nil: no request waits for the next read
	jobs    map[string]*jobView // by job ID
}

// pendingRead is a read that has not been sent yet. Requests share it.
type pendingRead struct {
	done chan struct{} // closed once the read has ended and err is set
	err  error
}

const (
	// readShare is the part of the key-value store's rate that one node uses at most for its replica.
	// The rest is for writes, and the other nodes have replicas, too.
	readShare = 0.1

	// changesTimeout bounds the read of changes. Users' requests wait for it, and they have to be
	// answered within requestTimeout.
	changesTimeout = time.Second

	// pageSize is how many keys one range read may return, the key-value store's own limit.
	pageSize = 1000
)

// newReplica returns an empty replica, for a store that allows storeRPS requests a second. onRead is
// called after each read with the jobs that it found newly cancelled and when it was sent.
func newReplica(store *kvstore.Client, storeRPS float64, onRead func(cancelled []string, asOf time.Time)) *replica {
	return &replica{
		store:       store,
		minInterval: time.Duration(float64(time.Second) / (readShare * storeRPS)),
		wake:        make(chan struct{}, 1),
		onRead:      onRead,
		jobs:        map[string]*jobView{},
	}
}

// confirmFresh waits until the replica is no older than the call.
func (r *replica) confirmFresh(ctx context.Context) error {
	read := r.joinRead()
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// joinRead returns the next read to be sent and asks run for it.
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

// takePending returns the read that requests wait for, or nil. Later requests wait for the next.
func (r *replica) takePending() *pendingRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	read := r.pending
	r.pending = nil
	return read
}

// run reads whenever a request waits, until ctx ends.
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

// refresh reads the changes since the last read, or everything if there was none. Only run calls it.
func (r *replica) refresh(ctx context.Context) error {
	if r.revision == 0 {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	sent := time.Now()
	cancelled, err := r.applyChanges(ctx)
	if errors.Is(err, kvstore.ErrCompacted) {
		r.revision = 0 // the next read begins anew
	}
	if err != nil {
		return fmt.Errorf("api: changes: %w", err)
	}
	r.onRead(cancelled, sent)
	return nil
}

// applyChanges reads and applies the changes since revision. It returns the jobs that are newly
// found cancelled, by these changes or by an earlier load.
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

// load reads all records, in pages of different revisions. The changes since the first page, which
// are read next, make them consistent: views ignore events that are older than what they hold.
//
// The old state stands until everything is read. A request for which it was confirmed may be about
// to look at it, and would miss an accepted job in a state that is half loaded.
func (r *replica) load(ctx context.Context) error {
	jobs := map[string]*jobView{}
	var firstRevision uint64
	lastKey := ""
	for {
		page, err := r.store.List(ctx, jobstore.JobPrefix, lastKey, pageSize, kvstore.PriorityUser)
		if err != nil {
			return fmt.Errorf("api: records: %w", err)
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

// Errors of state.
var (
	errNoUnfinishedJob  = errors.New("api: no unfinished job")
	errRecordUnreadable = errors.New("api: record unreadable")
)

// state returns the state of an unfinished job: errNotUnfinished if the replica has no such job,
// errRecordUnreadable if nothing is known of it.
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

// locations returns where tasks of an unfinished job may run.
func (r *replica) locations(id string) []jobstore.Location {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := r.jobs[id]
	if view == nil {
		return nil
	}
	return view.locations()
}
