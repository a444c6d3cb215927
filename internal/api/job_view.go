package api

// This file holds the replica's view of one job, and applies changes of the job's records to it.

import (
	"log/slog"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
)

// jobView is a replica's view of one unfinished job. After all records were read, changes may arrive
// that the reads already include. The record and each chunk therefore ignore changes that are not newer
// than their own revision. The replica's lock guards the view.
type jobView struct {
	// From the job's record.
	hasRecord  bool // false if only chunks have been read, or if the record was deleted
	unreadable bool // whether the record cannot be decoded; the job's state is then not reported
	cancelled  bool
	firstChunk int // number of the first valid chunk; lower ones precede a rechunk and are not counted
	revision   uint64

	reported bool              // whether replica.applyChanges has returned the cancellation
	chunks   map[int]chunkView // by number
}

// chunkView is the state of the tasks in one chunk, according to the chunk's record.
type chunkView struct {
	revision uint64
	done     int                 // number of tasks that are done
	live     []jobstore.Location // locations of the live attempts
}

// applyEvent applies one change of a key under jobstore.JobPrefix to jobs, the views by job ID. It
// ignores keys that are neither a job's nor a chunk's.
func applyEvent(jobs map[string]*jobView, event *kvstore.Event) {
	isDelete := event.Delete != ""
	id, chunk, ok := jobstore.SplitKey(event.Put + event.Delete) // one of the two is empty
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

// applyChunk applies a change of one chunk's record. If the record cannot be decoded, the state of the tasks
// stays as last read: an unreadable chunk is not an empty one, and its tasks may still run.
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
		done, live = v.chunks[chunk].done, v.chunks[chunk].live
	}
	v.chunks[chunk] = chunkView{revision: event.Revision, done: done, live: live}
}

// state returns the job's state as reported to users. The job's record must be readable.
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

// locations returns the locations of the live attempts of the job in all chunks, including those from
// before a rechunk, as their tasks may still run.
func (v *jobView) locations() []jobstore.Location {
	var locations []jobstore.Location
	for _, chunk := range v.chunks {
		locations = append(locations, chunk.live...)
	}
	return locations
}
