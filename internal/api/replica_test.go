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

// While everything is read anew the state that was confirmed before stands: a job in it is not
// missed by a request that still looks at it.
func TestReplicaKeptUntilReloaded(t *testing.T) {
	const id = "wk-000001"
	dial := func(context.Context, string) (net.Conn, error) { return nil, errors.New("down") }
	r := newReplica(kvstore.New(dial, "", 100, 100), 100, func([]string, time.Time) {})
	record := wire.Marshal(jobstore.Record{Spec: &job.Spec{ID: id}, ChunkSize: 1})
	applyEvent(r.jobs, &kvstore.Event{Put: jobstore.JobKey(id), Value: record, Revision: 7})
	if err := r.load(context.Background()); err == nil {
		t.Fatal("loaded from a store that is down")
	}
	if state, err := r.state(id); err != nil || state.Status != StatusPending {
		t.Errorf("%+v, %v", state, err)
	}
	applyEvent(r.jobs, &kvstore.Event{Delete: jobstore.JobKey(id), Revision: 9})
	if _, err := r.state(id); !errors.Is(err, errNoUnfinishedJob) {
		t.Errorf("%v after the job's end", err)
	}
}

// A view takes the newest of what it is shown, in whatever order a load and the changes show it.
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
		t.Errorf("%+v", state)
	}
	applyEvent(jobs, &kvstore.Event{Put: jobstore.JobKey(id), Value: record(1), Revision: 9})
	applyEvent(jobs, &kvstore.Event{Put: jobstore.JobKey(id), Value: record(0), Revision: 5})
	if state := jobs[id].state(id); state.Status != StatusCancelled {
		t.Errorf("%+v after a cancellation", state)
	}
	applyEvent(jobs, &kvstore.Event{Delete: jobstore.JobKey(id), Revision: 10})
	applyEvent(jobs, &kvstore.Event{Delete: chunkKey, Revision: 10})
	if len(jobs) != 0 {
		t.Error("a view is left of a job whose records are deleted")
	}
}

// A record that this program cannot decode is no reason to say that there is no such job.
func TestUnreadableRecordIsNotMissing(t *testing.T) {
	const id = "wk-000001"
	r := newReplica(nil, 100, nil)
	applyEvent(r.jobs, &kvstore.Event{Put: jobstore.JobKey(id), Value: []byte{0xff}, Revision: 5})
	if _, err := r.state(id); !errors.Is(err, errRecordUnreadable) {
		t.Errorf("%v", err)
	}
}

// Chunks of an earlier layout of a job no longer count, but tasks in them may still run.
func TestViewOfRechunkedJob(t *testing.T) {
	const id = "wk-000001"
	record := wire.Marshal(jobstore.Record{Spec: &job.Spec{ID: id}, ChunkSize: 1, FirstChunk: 2})
	chunk := wire.Marshal(map[string]any{"done": "0-3", "live": [][]any{{9, 1, "m-1", 1}}})
	jobs := map[string]*jobView{}
	applyEvent(jobs, &kvstore.Event{Put: jobstore.JobKey(id), Value: record, Revision: 5})
	applyEvent(jobs, &kvstore.Event{Put: "job/wk-000001/000001", Value: chunk, Revision: 6})
	if state := jobs[id].state(id); state != (jobState{ID: id, Status: StatusPending}) {
		t.Errorf("%+v with a chunk of the earlier layout", state)
	}
	applyEvent(jobs, &kvstore.Event{Put: "job/wk-000001/000002", Value: chunk, Revision: 7})
	if state := jobs[id].state(id); state != (jobState{ID: id, Status: StatusRunning, Done: 4, Running: 1}) {
		t.Errorf("%+v", state)
	}
	if locations := jobs[id].locations(); len(locations) != 2 {
		t.Errorf("locations %+v", locations)
	}
}
