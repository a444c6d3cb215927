package api

import (
	"context"
	"errors"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

func (h *Handler) poll(ctx context.Context, id string) wire.Response {
	if s, ok := h.finalStates.get(id); ok {
		return respondOK(jobSummary{id, s})
	}
	st, err := h.lookup(ctx, id)
	switch {
	case err == nil:
		return respondOK(st)
	case errors.Is(err, kvstore.ErrNotFound):
		return noSuchJob()
	}
	return unavailable()
}

// lookup returns a job's state from the copy of the records, brought up to date
// after the call, or from its final state. The copy comes first: a job that ends
// in between is found by the read.
func (h *Handler) lookup(ctx context.Context, id string) (jobState, error) {
	if err := h.replica.confirm(ctx); err != nil {
		return jobState{}, err
	}
	st, found, err := h.replica.status(id)
	if err != nil || found {
		if st.Status == StatusCancelled {
			err = h.mayTell(ctx, id)
		}
		return st, err
	}
	it, err := h.cfg.Store.Get(ctx, jobstore.EndKey(id), kvstore.PriorityUser)
	if err != nil {
		return st, err
	}
	var end jobstore.FinalState
	if err := wire.Unmarshal(it.Value, &end); err != nil {
		return st, err
	}
	h.finalStates.put(id, JobStatus(end.Status))
	st = jobState{ID: id, Status: JobStatus(end.Status)}
	if st.Status == StatusDone {
		st.Done = end.Tasks
	}
	return st, nil
}

var errUntold = errors.New("api: too few controllers hold the cancellation")

// mayTell tells whether a user may be told that an unfinished job is cancelled: that
// starts the time in which its tasks must be gone, so most controllers must hold it in
// memory. Once the job's end is recorded nothing of it is left, and anybody may.
//
// It guards against the end of the only controller that knows of a cancellation, in an
// outage of the state service that outlasts that time, while workers go to another.
func (h *Handler) mayTell(ctx context.Context, id string) error {
	if !h.cfg.ReplicateCancellation(ctx, id) {
		return errUntold
	}
	h.finalStates.put(id, StatusCancelled)
	return nil
}
