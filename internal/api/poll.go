package api

// This file handles polls, and looks up the state of a job for all kinds of requests.

import (
	"context"
	"errors"
	"fmt"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// poll answers a request for a job's state.
func (h *Handler) poll(ctx context.Context, id string) wire.Response {
	if state, cached := h.finalStates.state(id); cached {
		return respondOK(state)
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

// lookup returns a job's state, no older than the call, if it may be reported to users. The error wraps
// kvstore.ErrNotFound if there is no such job; with any other error the state cannot be reported now.
//
// Guards against missing a job that ends during the lookup: The replica of the unfinished jobs is read
// first and the final state second. Read in the other order, neither would contain the job.
func (h *Handler) lookup(ctx context.Context, id string) (jobState, error) {
	if err := h.replica.confirmFresh(ctx); err != nil {
		return jobState{}, err
	}
	state, err := h.replica.state(id)
	switch {
	case errors.Is(err, errNoUnfinishedJob):
		return h.readFinalState(ctx, id)
	case err != nil:
		return jobState{}, err
	case state.Status == StatusCancelled:
		h.cfg.OnJobCancelled(id) // the node may have dropped it since
		return state, h.confirmReplicated(ctx, id)
	}
	return state, nil
}

// readFinalState reads and caches the state of a job that has ended. The error wraps
// kvstore.ErrNotFound if no end of the job is recorded.
func (h *Handler) readFinalState(ctx context.Context, id string) (jobState, error) {
	item, err := h.cfg.Store.Get(ctx, jobstore.EndKey(id), kvstore.PriorityUser)
	if err != nil {
		return jobState{}, fmt.Errorf("api: reading the final state of job %s: %w", id, err)
	}
	var final jobstore.FinalState
	if err := wire.Unmarshal(item.Value, &final); err != nil {
		return jobState{}, fmt.Errorf("api: decoding the final state of job %s: %w", id, err)
	}
	state := jobState{ID: id, Status: JobStatus(final.Status)}
	if state.Status == StatusDone {
		state.Done = final.Tasks
	}
	h.finalStates.putState(state)
	return state, nil
}
