package api

import (
	"context"
	"errors"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

func (h *Handler) poll(ctx context.Context, id string) wire.Response {
	if s, ok := h.cached(id); ok {
		return wire.Response{Status: 200, Body: wire.Marshal(brief{id, s})}
	}
	st, err := h.lookup(ctx, id)
	switch {
	case err == nil:
		return wire.Response{Status: 200, Body: wire.Marshal(st)}
	case errors.Is(err, kvstore.ErrNotFound):
		return fail(404, "no such job")
	}
	return later()
}

// lookup returns a job's state from the copy of the records, brought up to date
// after the call, or from its final state. The copy comes first: a job that ends
// in between is found by the read.
func (h *Handler) lookup(ctx context.Context, id string) (status, error) {
	if err := h.replica.confirm(ctx); err != nil {
		return status{}, err
	}
	st, found, err := h.replica.status(id)
	if err != nil || found {
		if st.Status == jobstore.StatusCancelled {
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
	h.CacheFinal(id, end.Status)
	st = status{ID: id, Status: end.Status}
	if end.Status == jobstore.StatusDone {
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
	h.CacheFinal(id, jobstore.StatusCancelled)
	return nil
}
