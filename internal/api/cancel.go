package api

// This file handles the cancellation of a job.

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// maxCancelAttempts is the number of attempts to record one cancellation. An attempt is repeated if the
// leader or another node changes the job's record at the same time, or if its outcome is unknown. The
// user is asked to retry after the last one.
const maxCancelAttempts = 3

// errNotReplicated means that a recorded cancellation is not confirmed to be held in memory by a
// majority of the controllers.
var errNotReplicated = errors.New("api: cancellation not held by a majority of the controllers")

// cancel cancels an unfinished job. It answers that the job is cancelled only after the cancellation is
// recorded and replicated. For a job that has ended it answers with the job's final status.
func (h *Handler) cancel(ctx context.Context, id string) wire.Response {
	if status, cached := h.finalStates.get(id); cached {
		return respondOK(jobSummary{id, status})
	}
	for range maxCancelAttempts {
		item, err := h.cfg.Store.Get(ctx, jobstore.JobKey(id), kvstore.PriorityUser)
		if errors.Is(err, kvstore.ErrNotFound) {
			return h.cancelFinished(ctx, id)
		}
		if err != nil {
			return unavailable()
		}
		err = h.recordCancellation(ctx, id, &item)
		if err == nil {
			return h.confirmCancellation(ctx, id)
		}
		if !needsReadBack(err) {
			return unavailable()
		}
	}
	return unavailable()
}

// recordCancellation marks a job as cancelled in its record. item is the record as last read. Nothing is
// written if the job is already marked. The error is that of decoding the record or that of the
// transaction: a *kvstore.ConflictError if the record has changed since it was read.
func (h *Handler) recordCancellation(ctx context.Context, id string, item *kvstore.Item) error {
	record, err := jobstore.DecodeRecord(id, item.Value)
	if err != nil {
		slog.Error("job record unreadable", "job", id, "err", err)
		return err
	}
	if record.CancelledMS != 0 {
		return nil
	}
	record.CancelledMS = time.Now().UnixMilli()
	if record.Arrival == 0 {
		// Jobs are ordered by the revision of their first record, which this write replaces.
		record.Arrival = item.Revision
	}
	unchanged := []kvstore.Compare{{Key: item.Key, Revision: item.Revision}}
	put := []kvstore.Mutation{{Put: item.Key, Value: wire.Marshal(record)}}
	_, err = h.cfg.Store.Txn(ctx, unchanged, put, kvstore.PriorityUser)
	return err
}

// confirmCancellation answers a cancellation request after the cancellation was recorded.
//
// Guards against missing a task that has to end: From the answer on, the controllers have to ensure that
// all tasks of the job end, which they find by Locations. The replica is therefore refreshed before the
// answer. It then contains every recorded start of a task of the job, as none can be recorded after the
// cancellation.
func (h *Handler) confirmCancellation(ctx context.Context, id string) wire.Response {
	h.cfg.OnJobCancelled(id)
	h.cfg.OnJobChanged(id) // the leader also needs the record's new revision
	if err := h.Refresh(ctx); err != nil {
		return unavailable()
	}
	if err := h.confirmReplicated(ctx, id); err != nil {
		return unavailable()
	}
	return respondOK(jobSummary{id, StatusCancelled})
}

// cancelFinished answers the cancellation of a job for which no record of an unfinished job was found.
func (h *Handler) cancelFinished(ctx context.Context, id string) wire.Response {
	state, err := h.lookup(ctx, id)
	switch {
	case errors.Is(err, kvstore.ErrNotFound):
		return noSuchJob()
	case err != nil:
		return unavailable()
	case state.Status.unfinished():
		return unavailable() // the job was submitted after its record was looked up
	}
	return respondOK(jobSummary{id, state.Status})
}

// confirmReplicated returns nil if users may be told that an unfinished job is cancelled, and caches
// that status; otherwise it returns errNotReplicated. The answer to the user starts the period within
// which the job's tasks must end, so a majority of the controllers must hold the cancellation in memory.
// Once the job's end is recorded, no task is left and replication is not needed.
//
// Guards against tasks that run longer than this period: The only controller that holds the
// cancellation crashes in an outage of the key-value store that lasts longer than the period, while
// the others extend the leases of the job's workers (docs/leadership.md, "Who knows of cancellations").
func (h *Handler) confirmReplicated(ctx context.Context, id string) error {
	if !h.cfg.ReplicateCancellation(ctx, id) {
		return errNotReplicated
	}
	h.finalStates.put(id, StatusCancelled)
	return nil
}
