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
func TestReplicaStandsUntilReloaded(t *testing.T) {
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
	if _, err := r.state(id); !errors.Is(err, errNotUnfinished) {
		t.Errorf("%v after the job's end", err)
	}
}
