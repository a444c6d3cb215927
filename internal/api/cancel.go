package api

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

func (h *Handler) abort(ctx context.Context, id string) wire.Response {
	answer := func(s JobStatus) wire.Response {
		return respondOK(jobSummary{id, s})
	}
	if s, ok := h.finalStates.get(id); ok {
		return answer(s)
	}
	for range 3 {
		it, err := h.cfg.Store.Get(ctx, jobstore.JobKey(id), kvstore.PriorityUser)
		if errors.Is(err, kvstore.ErrNotFound) {
			st, err := h.lookup(ctx, id)
			switch {
			case errors.Is(err, kvstore.ErrNotFound):
				return noSuchJob()
			case err != nil || st.Status.unfinished():
				return unavailable()
			}
			return answer(st.Status)
		}
		if err != nil {
			return unavailable()
		}
		rec, err := jobstore.DecodeRecord(it.Value)
		if err != nil {
			slog.Error("job record unreadable", "job", id, "err", err)
			return unavailable()
		}
		if rec.CancelledMS == 0 {
			rec.CancelledMS = time.Now().UnixMilli()
			if rec.Arrival == 0 {
				rec.Arrival = it.Revision
			}
			_, err = h.cfg.Store.Txn(ctx, []kvstore.Compare{{Key: it.Key, Revision: it.Revision}},
				[]kvstore.Mutation{{Put: it.Key, Value: wire.Marshal(rec)}}, kvstore.PriorityUser)
		}
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			h.cfg.OnJobCancelled(id)
			h.cfg.OnJobChanged(id) // the leader needs the revision of the record too
			// No task of it is recorded as started from now on; where those are that were
			// is read before it is told, for whoever has to end them.
			if h.Refresh(ctx) != nil || h.confirmReplicated(ctx, id) != nil {
				return unavailable()
			}
			return answer(StatusCancelled)
		case errors.As(err, &conflict), errors.Is(err, kvstore.ErrUnknown):
			continue // read back what stands
		}
		return unavailable()
	}
	return unavailable()
}
