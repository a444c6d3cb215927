package api

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Guards against reporting an accepted job as missing: A request whose freshness was confirmed looks up
// the job while all records are read anew. The previous state is kept until this read has succeeded.
func TestReplicaKeptUntilReloaded(t *testing.T) {
	const id = "wk-000001"
	dial := func(context.Context, string) (net.Conn, error) { return nil, errors.New("down") }
	r := newReplica(kvstore.New(dial, "", 100, 100), 100, func([]string, time.Time) {})
	record := wire.Marshal(jobstore.Record{Spec: &job.Spec{ID: id}, ChunkSize: 1})
	applyEvent(r.jobs, &kvstore.Event{Put: jobstore.JobKey(id), Value: record, Revision: 7})
	if err := r.load(context.Background()); err == nil {
		t.Fatal("load succeeded with a store that is down")
	}
	if state, err := r.state(id); err != nil || state.Status != StatusPending {
		t.Errorf("state %+v, error %v after a failed load; want a pending job", state, err)
	}
	applyEvent(r.jobs, &kvstore.Event{Delete: jobstore.JobKey(id), Revision: 9})
	if _, err := r.state(id); !errors.Is(err, errNoUnfinishedJob) {
		t.Errorf("error %v after the job's record was deleted, want %v", err, errNoUnfinishedJob)
	}
}

// Guards against a view that returns to an older state: A load and the changes read after it deliver
// versions of the same key in any order, and the view has to keep the newest.
func TestViewIgnoresOldEvents(t *testing.T) {
	const id = "wk-000001"
	const chunkKey = "job/wk-000001/000000"
	record := func(cancelledMS int64) []byte {
		return wire.Marshal(jobstore.Record{Spec: &job.Spec{ID: id}, ChunkSize: 1, CancelledMS: cancelledMS})
	}
	chunk := func(done string) []byte {
		return wire.Marshal(map[string]any{"done": done, "live": []any{}})
	}
	jobs := map[string]*jobView{}
	applyEvent(jobs, &kvstore.Event{Put: chunkKey, Value: chunk("0-3"), Revision: 8})
	applyEvent(jobs, &kvstore.Event{Put: jobstore.JobKey(id), Value: record(0), Revision: 5})
	applyEvent(jobs, &kvstore.Event{Put: chunkKey, Value: chunk("0"), Revision: 6})
	applyEvent(jobs, &kvstore.Event{Delete: chunkKey, Revision: 7})
	if state := jobs[id].state(id); state != (jobState{ID: id, Status: StatusPending, Done: 4}) {
		t.Errorf("state %+v after older changes of a chunk, want a pending job with 4 tasks done", state)
	}
	applyEvent(jobs, &kvstore.Event{Put: jobstore.JobKey(id), Value: record(1), Revision: 9})
	applyEvent(jobs, &kvstore.Event{Put: jobstore.JobKey(id), Value: record(0), Revision: 5})
	if state := jobs[id].state(id); state.Status != StatusCancelled {
		t.Errorf("state %+v after a cancellation and an older record, want a cancelled job", state)
	}
	applyEvent(jobs, &kvstore.Event{Delete: jobstore.JobKey(id), Revision: 10})
	applyEvent(jobs, &kvstore.Event{Delete: chunkKey, Revision: 10})
	if len(jobs) != 0 {
		t.Error("the view of a job remains after all of its records were deleted")
	}
}

// Guards against reporting a job as missing if its record cannot be decoded.
func TestUnreadableRecordIsNotMissing(t *testing.T) {
	const id = "wk-000001"
	r := newReplica(nil, 100, nil)
	applyEvent(r.jobs, &kvstore.Event{Put: jobstore.JobKey(id), Value: []byte{0xff}, Revision: 5})
	if _, err := r.state(id); !errors.Is(err, errRecordUnreadable) {
		t.Errorf("error %v, want %v", err, errRecordUnreadable)
	}
}

// Chunks from before a rechunk do not count in a job's state, but their locations are returned, as
// tasks in them may still run.
func TestViewOfRechunkedJob(t *testing.T) {
	const id = "wk-000001"
	record := wire.Marshal(jobstore.Record{Spec: &job.Spec{ID: id}, ChunkSize: 1, FirstChunk: 2})
	chunk := wire.Marshal(map[string]any{"done": "0-3", "live": [][]any{{9, 1, "m-1", 1}}})
	jobs := map[string]*jobView{}
	applyEvent(jobs, &kvstore.Event{Put: jobstore.JobKey(id), Value: record, Revision: 5})
	applyEvent(jobs, &kvstore.Event{Put: "job/wk-000001/000001", Value: chunk, Revision: 6})
	if state := jobs[id].state(id); state != (jobState{ID: id, Status: StatusPending}) {
		t.Errorf("state %+v with a chunk from before the rechunk, want a pending job without tasks done", state)
	}
	applyEvent(jobs, &kvstore.Event{Put: "job/wk-000001/000002", Value: chunk, Revision: 7})
	if state := jobs[id].state(id); state != (jobState{ID: id, Status: StatusRunning, Done: 4, Running: 1}) {
		t.Errorf("state %+v, want a running job with 4 tasks done and 1 running", state)
	}
	if locations := jobs[id].locations(); len(locations) != 2 {
		t.Errorf("locations %+v, want 2", locations)
	}
}
