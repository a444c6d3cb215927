package api

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
)

// replica is this node's copy of what users may be told of unfinished jobs. One
// read of the changes since the last one brings it up to date and so confirms, as
// freshly as a read of their own, every answer that waited when it was sent.
//
// It guards against polls that cost a request each: with a few hundred jobs, each
// asked about every 5 s, they took more than the state service's whole rate, and
// the same users were refused again and again.
type replica struct {
	store *kvstore.Client
	gap   time.Duration // least time between two reads
	wake  chan struct{}
	learn func(cancelled []string, asOf time.Time) // jobs newly found cancelled by a read sent then

	mu      sync.Mutex
	waiting *round
	rev     uint64 // state of the copy; 0: not read
	jobs    map[string]*view
}

// round is one read to come, and whoever waits for it.
type round struct {
	done chan struct{}
	err  error
}

// readShare is the part of the state service's rate that one node spends at most
// on keeping its copy fresh while users ask.
const readShare = 0.1

func newReplica(store *kvstore.Client, rps float64, learn func([]string, time.Time)) *replica {
	return &replica{store: store, learn: learn, gap: time.Duration(float64(time.Second) / (readShare * rps)),
		wake: make(chan struct{}, 1), jobs: map[string]*view{}}
}

// confirm brings the copy to a state no older than the call.
func (r *replica) confirm(ctx context.Context) error {
	r.mu.Lock()
	if r.waiting == nil {
		r.waiting = &round{done: make(chan struct{})}
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
	w := r.waiting
	r.mu.Unlock()
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run reads whenever somebody waits, until ctx ends.
func (r *replica) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		r.mu.Lock()
		w := r.waiting
		r.waiting = nil
		r.mu.Unlock()
		if w == nil {
			continue
		}
		began := time.Now()
		if w.err = r.refresh(ctx); w.err != nil {
			slog.Debug("copy of the records not refreshed", "err", w.err)
		}
		close(w.done)
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.gap - time.Since(began)):
		}
	}
}

// refresh reads the changes since the last time, or everything.
func (r *replica) refresh(ctx context.Context) error {
	if r.rev == 0 {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	sent := time.Now()
	rctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	events, rev, err := r.store.Changes(rctx, jobstore.JobPrefix, r.rev)
	if errors.Is(err, kvstore.ErrCompacted) {
		r.rev = 0
	}
	if err != nil {
		return fmt.Errorf("api: changes: %w", err)
	}
	r.mu.Lock()
	for i := range events {
		apply(r.jobs, &events[i])
	}
	r.rev = max(r.rev, rev)
	var cancelled []string
	for id, v := range r.jobs {
		if v.cancelled && !v.learnt {
			v.learnt = true
			cancelled = append(cancelled, id)
		}
	}
	r.mu.Unlock()
	r.learn(cancelled, sent)
	return nil
}

// load reads all records. Its pages are of different revisions; the changes since
// the first one put that right, as what is older than what was read is passed over.
// Until all is read the old copy stands: whoever it was confirmed for may still look
// at it, and must not find an accepted job missing.
func (r *replica) load(ctx context.Context) error {
	jobs := map[string]*view{}
	rev, after := uint64(0), ""
	for {
		page, err := r.store.List(ctx, jobstore.JobPrefix, after, 1000, kvstore.PriorityUser)
		if err != nil {
			return fmt.Errorf("api: records: %w", err)
		}
		if rev == 0 {
			rev = page.Revision
		}
		for _, it := range page.Items {
			apply(jobs, &kvstore.Event{Put: it.Key, Value: it.Value, Revision: it.Revision})
			after = it.Key
		}
		if !page.More || len(page.Items) == 0 {
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs, r.rev = jobs, rev
	return nil
}

var errBroken = errors.New("api: record unreadable")

// status returns what the copy says of an unfinished job.
func (r *replica) status(id string) (st jobState, found bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.jobs[id]
	switch {
	case v == nil || !v.known:
		return jobState{}, false, nil
	case v.broken:
		return jobState{}, true, errBroken
	case v.cancelled:
		return jobState{ID: id, Status: StatusCancelled}, true, nil
	}
	st = jobState{ID: id, Status: StatusPending}
	for n, c := range v.chunks {
		if n >= v.base {
			st.Done += c.done
			st.Running += len(c.live)
		}
	}
	if st.Running > 0 {
		st.Status = StatusRunning
	}
	return st, true, nil
}

// places returns where tasks of an unfinished job may be, by the copy.
func (r *replica) places(id string) (out []jobstore.Location) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.jobs[id]; v != nil {
		for _, c := range v.chunks {
			out = append(out, c.live...)
		}
	}
	return out
}
