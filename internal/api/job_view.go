package api

// This file has what the replica knows of one job, and how changes of its records are applied.

import (
	"log/slog"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
)

// jobView is what a replica knows of one unfinished job. Its events may come late or twice, after
// a load; each part ignores those that are no newer than the revision it was read at. The lock of
// the replica guards it.
type jobView struct {
	// From the job's record.
	hasRecord  bool // false if only chunks have been seen, or if the record was deleted
	unreadable bool // the record cannot be decoded, so users are told nothing
	cancelled  bool
	firstChunk int // chunks below it are of an earlier layout of the job and no longer count
	revision   uint64

	reported bool              // the cancellation was passed on by the replica
	chunks   map[int]chunkView // by number
}

// chunkView is what one chunk's record says of its tasks.
type chunkView struct {
	revision uint64
	done     int
	live     []jobstore.Location
}

// applyEvent applies one change of a key under jobstore.JobPrefix to the views of all jobs.
func applyEvent(jobs map[string]*jobView, event *kvstore.Event) {
	isDelete := event.Delete != ""
	id, chunk, ok := jobstore.SplitKey(event.Put + event.Delete) // one of them is empty
	if !ok {
		return
	}
	view := jobs[id]
	if view == nil {
		if isDelete {
			return
		}
		view = &jobView{chunks: map[int]chunkView{}}
		jobs[id] = view
	}
	if chunk >= 0 {
		view.applyChunk(id, chunk, event)
	} else {
		view.applyRecord(event)
	}
	if !view.hasRecord && len(view.chunks) == 0 {
		delete(jobs, id)
	}
}

// applyRecord applies a change of the job's record.
func (v *jobView) applyRecord(event *kvstore.Event) {
	if event.Revision <= v.revision {
		return
	}
	v.revision = event.Revision
	if event.Delete != "" {
		v.hasRecord = false
		return
	}
	cancelled, firstChunk, err := jobstore.DecodeRecordSummary(event.Value)
	if err != nil {
		slog.Error("job record unreadable", "key", event.Put, "err", err)
	}
	v.hasRecord = true
	v.unreadable = err != nil
	v.cancelled = cancelled
	v.firstChunk = firstChunk
}

// applyChunk applies a change of one chunk's record.
func (v *jobView) applyChunk(id string, chunk int, event *kvstore.Event) {
	if event.Revision <= v.chunks[chunk].revision {
		return
	}
	if event.Delete != "" {
		delete(v.chunks, chunk)
		return
	}
	done, live, err := jobstore.DecodeChunk(id, event.Value)
	if err != nil {
		slog.Error("chunk unreadable", "key", event.Put, "err", err)
	}
	v.chunks[chunk] = chunkView{revision: event.Revision, done: done, live: live}
}

// state returns what users are told of the job, whose record must be readable.
func (v *jobView) state(id string) jobState {
	if v.cancelled {
		return jobState{ID: id, Status: StatusCancelled}
	}
	state := jobState{ID: id, Status: StatusPending}
	for number, chunk := range v.chunks {
		if number >= v.firstChunk {
			state.Done += chunk.done
			state.Running += len(chunk.live)
		}
	}
	if state.Running > 0 {
		state.Status = StatusRunning
	}
	return state
}

// locations returns where tasks of the job may run, by all chunks that are left.
func (v *jobView) locations() []jobstore.Location {
	var locations []jobstore.Location
	for _, chunk := range v.chunks {
		locations = append(locations, chunk.live...)
	}
	return locations
}
