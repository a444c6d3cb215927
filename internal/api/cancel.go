package api

// This file has the cancellation of a job, from the request to the answer.

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// maxCancelAttempts bounds how often a cancellation is tried while the leader, or another node,
// changes the job's record at the same time. The user is asked to retry after that.
const maxCancelAttempts = 3

// errNotReplicated says that too few controllers hold a cancellation that is recorded.
var errNotReplicated = errors.New("api: cancellation not held by a majority")

// cancel cancels an unfinished job: it records the cancellation, has it replicated, and only then
// tells the user. The answer for a job that has ended is its final state.
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

// recordCancellation marks a job as cancelled in its record, given as it was read. It writes
// nothing if the job is marked already.
func (h *Handler) recordCancellation(ctx context.Context, id string, item *kvstore.Item) error {
	record, err := jobstore.DecodeRecord(item.Value)
	if err != nil {
		slog.Error("job record unreadable", "job", id, "err", err)
		return err
	}
	if record.CancelledMS != 0 {
		return nil
	}
	record.CancelledMS = time.Now().UnixMilli()
	if record.Arrival == 0 {
		record.Arrival = item.Revision // this write changes the revision, which orders jobs by arrival
	}
	unchanged := []kvstore.Compare{{Key: item.Key, Revision: item.Revision}}
	put := []kvstore.Mutation{{Put: item.Key, Value: wire.Marshal(record)}}
	_, err = h.cfg.Store.Txn(ctx, unchanged, put, kvstore.PriorityUser)
	return err
}

// confirmCancellation answers the user after the cancellation was recorded. From now on no start of
// a task of the job can be recorded. The replica is read first, so that Locations returns those that
// were: from the answer on somebody has to see to it that they end.
func (h *Handler) confirmCancellation(ctx context.Context, id string) wire.Response {
	h.cfg.OnJobCancelled(id)
	h.cfg.OnJobChanged(id) // the leader needs the record's new revision, too
	if err := h.Refresh(ctx); err != nil {
		return unavailable()
	}
	if err := h.confirmReplicated(ctx, id); err != nil {
		return unavailable()
	}
	return respondOK(jobSummary{id, StatusCancelled})
}

// cancelFinished answers the cancellation of a job that has no record of an unfinished job.
func (h *Handler) cancelFinished(ctx context.Context, id string) wire.Response {
	state, err := h.lookup(ctx, id)
	switch {
	case errors.Is(err, kvstore.ErrNotFound):
		return noSuchJob()
	case err != nil:
		return unavailable()
	case state.Status.unfinished():
		return unavailable() // submitted since
	}
	return respondOK(jobSummary{id, state.Status})
}

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
