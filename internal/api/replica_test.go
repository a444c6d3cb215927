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

// While everything is read anew the copy that was confirmed before stands: a job that
// it holds is not missed by whoever still looks at it.
func TestCopyStandsUntilReadAnew(t *testing.T) {
	const id = "wk-000001"
	store := kvstore.New(func(context.Context, string) (net.Conn, error) { return nil, errors.New("down") }, "", 100, 100)
	r := newReplica(store, 100, func([]string, time.Time) {})
	record := wire.Marshal(jobstore.Record{Spec: &job.Spec{ID: id}, ChunkSize: 1})
	apply(r.jobs, &kvstore.Event{Put: jobstore.JobKey(id), Value: record, Revision: 7})
	if err := r.load(context.Background()); err == nil {
		t.Fatal("read from a service that is down")
	}
	if st, found, err := r.status(id); err != nil || !found || st.Status != StatusPending {
		t.Errorf("%+v, found %v, %v", st, found, err)
	}
	apply(r.jobs, &kvstore.Event{Delete: jobstore.JobKey(id), Revision: 9})
	if _, found, _ := r.status(id); found {
		t.Error("found after its end")
	}
}
