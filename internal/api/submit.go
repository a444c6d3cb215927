package api

// This file has the submission of a job, from the request to the answer.

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// submit accepts a job: 201 if it was recorded by this request, 200 if it is known already. Users
// repeat submissions whose outcome they do not know, so a known job is never refused, whatever
// this copy of the submission says.
func (h *Handler) submit(ctx context.Context, body []byte) wire.Response {
	id, err := job.DecodeID(body)
	if err != nil {
		return refuse(wire.StatusBadRequest, err.Error())
	}
	if status, cached := h.finalStates.get(id); cached {
		return respondOK(jobSummary{id, status})
	}
	spec, err := h.validate(body)
	if err != nil {
		return h.okIfExists(ctx, id, err)
	}
	err = h.createRecord(ctx, spec)
	if err == nil {
		h.cfg.OnJobChanged(id)
		return respondCreated(jobSummary{id, StatusPending})
	}
	if needsReadBack(err) {
		return h.okIfExists(ctx, id, err)
	}
	slog.Debug("submission not written", "job", id, "err", err)
	return unavailable()
}

// createRecord writes the record of a new job, unless the job is known.
func (h *Handler) createRecord(ctx context.Context, spec *job.Spec) error {
	record := jobstore.Record{
		Spec:        spec,
		SubmittedMS: time.Now().UnixMilli(),
		ChunkSize:   h.cfg.TasksPerChunk,
	}
	absent := []kvstore.Compare{{Key: jobstore.JobKey(spec.ID)}, {Key: jobstore.EndKey(spec.ID)}}
	put := []kvstore.Mutation{{Put: jobstore.JobKey(spec.ID), Value: wire.Marshal(record)}}
	_, err := h.cfg.Store.Txn(ctx, absent, put, kvstore.PriorityUser)
	return err
}

// okIfExists answers a submission that could not be accepted because of cause: 200 if the job is
// known, otherwise what follows from the cause.
func (h *Handler) okIfExists(ctx context.Context, id string, cause error) wire.Response {
	state, err := h.lookup(ctx, id)
	if err == nil {
		return respondOK(jobSummary{id, state.Status})
	}
	var invalid *validationError
	if errors.Is(err, kvstore.ErrNotFound) && errors.As(cause, &invalid) {
		return refuse(invalid.status, invalid.reason)
	}
	return unavailable()
}

// needsReadBack reports whether the record has to be read to know what stands after a transaction
// that ended with err: it met a change by another node, or it may have been applied itself.
func needsReadBack(err error) bool {
	var conflict *kvstore.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, kvstore.ErrUnknown)
}
