package api

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

func (h *Handler) submit(ctx context.Context, body []byte) wire.Response {
	id, err := job.DecodeID(body)
	if err != nil {
		return refuse(statusBadRequest, err.Error())
	}
	if s, ok := h.finalStates.get(id); ok {
		return respondOK(jobSummary{id, s})
	}
	spec, refusal := h.check(body)
	if refusal.Status != 0 {
		// A job that is known is never refused, whatever this copy says.
		st, err := h.lookup(ctx, id)
		if err == nil {
			return respondOK(jobSummary{id, st.Status})
		}
		if !errors.Is(err, kvstore.ErrNotFound) {
			return unavailable()
		}
		return refusal
	}
	if spec.Shape == job.Gang && !h.cfg.GangsSupported() {
		// A controller of an earlier version may lead yet, or next.
		if st, err := h.lookup(ctx, id); err == nil {
			return respondOK(jobSummary{id, st.Status})
		}
		return unavailable()
	}
	rec := jobstore.Record{Spec: spec, SubmittedMS: time.Now().UnixMilli(), ChunkSize: h.cfg.TasksPerChunk}
	_, err = h.cfg.Store.Txn(ctx,
		[]kvstore.Compare{{Key: jobstore.JobKey(id)}, {Key: jobstore.EndKey(id)}},
		[]kvstore.Mutation{{Put: jobstore.JobKey(id), Value: wire.Marshal(rec)}}, kvstore.PriorityUser)
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		h.cfg.OnJobChanged(id)
		return respondCreated(jobSummary{id, StatusPending})
	case errors.As(err, &conflict), errors.Is(err, kvstore.ErrUnknown):
		// Known already, or perhaps written just now: what stands decides.
		if st, err := h.lookup(ctx, id); err == nil {
			return respondOK(jobSummary{id, st.Status})
		}
	default:
		slog.Debug("submission not written", "job", id, "err", err)
	}
	return unavailable()
}
