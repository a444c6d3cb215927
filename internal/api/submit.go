package api

// This file handles the submission of a job.

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

// submit answers the submission of a job with 201 if this request is certain to have written the job's
// record, and with 200 if the job otherwise exists, unfinished or ended. Users repeat submissions whose
// outcome is unknown to them, so the submission of an existing job is never refused, even if its body
// is otherwise invalid.
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
	record := jobstore.Record{Spec: spec, SubmittedMS: time.Now().UnixMilli(), ChunkSize: h.cfg.TasksPerChunk}
	if !record.Fits(h.cfg.ValueBytes) {
		return h.okIfExists(ctx, id, &validationError{wire.StatusBadRequest, "the description is too long"})
	}
	err = h.createRecord(ctx, &record)
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

// createRecord writes the record of a new job. The error is a *kvstore.ConflictError if the job exists,
// unfinished or ended.
func (h *Handler) createRecord(ctx context.Context, record *jobstore.Record) error {
	id := record.Spec.ID
	absent := []kvstore.Compare{{Key: jobstore.JobKey(id)}, {Key: jobstore.EndKey(id)}}
	put := []kvstore.Mutation{{Put: jobstore.JobKey(id), Value: wire.Marshal(record)}}
	_, err := h.cfg.Store.Txn(ctx, absent, put, kvstore.PriorityUser)
	return err
}

// okIfExists answers a submission that failed with cause, or whose outcome is unknown because of it. The
// response is 200 if the job exists, the refusal if the job does not exist and cause is a
// *validationError, and 503 otherwise.
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

// needsReadBack reports whether the job's record has to be read after a transaction that ended with
// err: the transaction either conflicted with another change or may have been applied.
func needsReadBack(err error) bool {
	var conflict *kvstore.ConflictError
	return errors.As(err, &conflict) || errors.Is(err, kvstore.ErrUnknown)
}
