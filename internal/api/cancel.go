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
	answer := func(s string) wire.Response {
		return wire.Response{Status: 200, Body: wire.Marshal(brief{id, s})}
	}
	if s, ok := h.cached(id); ok {
		return answer(s)
	}
	for range 3 {
		it, err := h.cfg.Store.Get(ctx, jobstore.JobKey(id), kvstore.PriorityUser)
		if errors.Is(err, kvstore.ErrNotFound) {
			st, err := h.lookup(ctx, id)
			switch {
			case errors.Is(err, kvstore.ErrNotFound):
				return fail(404, "no such job")
			case err != nil || st.Status == pending || st.Status == running:
				return later()
			}
			return answer(st.Status)
		}
		if err != nil {
			return later()
		}
		rec, err := jobstore.DecodeRecord(it.Value)
		if err != nil {
			slog.Error("job record unreadable", "job", id, "err", err)
			return later()
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
			if h.Refresh(ctx) != nil || h.mayTell(ctx, id) != nil {
				return later()
			}
			return answer(jobstore.StatusCancelled)
		case errors.As(err, &conflict), errors.Is(err, kvstore.ErrUnknown):
			continue // read back what stands
		}
		return later()
	}
	return later()
}
