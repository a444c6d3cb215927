package api

import (
	"log/slog"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
)

// view is what is known of one unfinished job.
type view struct {
	known     bool // its record has been seen, not only chunks
	cancelled bool
	learnt    bool // that was passed on
	broken    bool // its record cannot be read, so nothing is told of it
	base      int  // chunks below it are of a layout before, and no longer count
	rev       uint64
	chunks    map[int]tally
}

// tally is what is told of one chunk's tasks, and where the live ones are.
type tally struct {
	rev  uint64
	done int
	live []jobstore.Location
}

// apply takes one change into a copy.
func apply(jobs map[string]*view, e *kvstore.Event) {
	id, chunk, ok := jobstore.SplitKey(e.Put + e.Delete)
	if !ok {
		return
	}
	v := jobs[id]
	if v == nil {
		if e.Delete != "" {
			return
		}
		v = &view{chunks: map[int]tally{}}
		jobs[id] = v
	}
	switch {
	case chunk >= 0 && e.Revision <= v.chunks[chunk].rev, chunk < 0 && e.Revision <= v.rev:
	case chunk >= 0 && e.Delete != "":
		delete(v.chunks, chunk)
	case chunk >= 0:
		done, live, err := jobstore.DecodeChunk(id, e.Value)
		if err != nil {
			slog.Error("chunk unreadable", "key", e.Put, "err", err)
		}
		v.chunks[chunk] = tally{e.Revision, done, live}
	case e.Delete != "":
		v.known, v.rev = false, e.Revision
	default:
		cancelled, base, err := jobstore.DecodeRecordSummary(e.Value)
		if err != nil {
			slog.Error("job record unreadable", "key", e.Put, "err", err)
		}
		v.known, v.cancelled, v.broken, v.base, v.rev = true, cancelled, err != nil, base, e.Revision
	}
	if !v.known && len(v.chunks) == 0 {
		delete(jobs, id)
	}
}
