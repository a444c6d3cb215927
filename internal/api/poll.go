package api

import (
	"context"
	"errors"
	"fmt"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// poll answers the question for a job's state.
func (h *Handler) poll(ctx context.Context, id string) wire.Response {
	if status, cached := h.finalStates.get(id); cached {
		return respondOK(jobSummary{id, status})
	}
	state, err := h.lookup(ctx, id)
	switch {
	case err == nil:
		return respondOK(state)
	case errors.Is(err, kvstore.ErrNotFound):
		return noSuchJob()
	}
	return unavailable()
}

// lookup returns a job's state, no older than the call, as it may be told to the user:
// kvstore.ErrNotFound if there is no such job, any other error if it cannot be told now. The
// replica of the unfinished jobs comes first: a job that ends in between is found by the read of
// its final state, while the other order would miss it.
func (h *Handler) lookup(ctx context.Context, id string) (jobState, error) {
	if err := h.replica.confirmFresh(ctx); err != nil {
		return jobState{}, err
	}
	state, err := h.replica.state(id)
	switch {
	case errors.Is(err, errNotUnfinished):
		return h.readFinalState(ctx, id)
	case err != nil:
		return jobState{}, err
	case state.Status == StatusCancelled:
		return state, h.confirmReplicated(ctx, id)
	}
	return state, nil
}

// readFinalState reads the state of a job that has ended.
func (h *Handler) readFinalState(ctx context.Context, id string) (jobState, error) {
	item, err := h.cfg.Store.Get(ctx, jobstore.EndKey(id), kvstore.PriorityUser)
	if err != nil {
		return jobState{}, fmt.Errorf("api: final state: %w", err)
	}
	var final jobstore.FinalState
	if err := wire.Unmarshal(item.Value, &final); err != nil {
		return jobState{}, fmt.Errorf("api: final state: %w", err)
	}
	status := JobStatus(final.Status)
	h.finalStates.put(id, status)
	state := jobState{ID: id, Status: status}
	if status == StatusDone {
		state.Done = final.Tasks
	}
	return state, nil
}

// errNotReplicated says that too few controllers hold a cancellation that is recorded.
var errNotReplicated = errors.New("api: cancellation not held by a majority")

// confirmReplicated returns nil if a user may be told that an unfinished job is cancelled. The
// answer starts the time in which the job's tasks must be gone, so a majority of the controllers
// must hold the cancellation in memory. Once the job's end is recorded no task is left, and this
// is not needed.
//
// Without it the only controller that knows of a cancellation could crash in an outage of the
// key-value store that outlasts that time, while the others extend the leases of the job's
// workers (docs/leadership.md, "Who knows of cancellations").
func (h *Handler) confirmReplicated(ctx context.Context, id string) error {
	if !h.cfg.ReplicateCancellation(ctx, id) {
		return errNotReplicated
	}
	h.finalStates.put(id, StatusCancelled)
	return nil
}
