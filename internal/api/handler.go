package api

import (
	"context"
	"strings"
	"sync"
	"time"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Handler answers users.
type Handler struct {
	Store                 *kvstore.Client
	Teams                 []config.Team
	ChunkSize             int
	Types                 func() []cloud.Type                       // nil while the catalog is unknown
	OnChanged             func(id string)                           // a job was submitted or cancelled here
	OnCancelled           func(id string)                           // it was cancelled, durably
	GangsSupported        func() bool                               // whether all controllers run gangs; nil: they do
	ReplicateCancellation func(ctx context.Context, id string) bool // whether most controllers hold that it is
	OnCancellationsRead   func(cancelled []string, asOf time.Time)  // jobs newly found cancelled by a read sent then

	replica *replica

	mu    sync.Mutex
	final map[string]string // final states told or read, bounded
}

// Init readies the intake for a state service that allows rps requests a second.
func (in *Handler) Init(rps float64) { in.replica = newReplica(in.Store, rps, in.OnCancellationsRead) }

// Refresh reads what has changed in the records, after the call.
func (in *Handler) Refresh(ctx context.Context) error { return in.replica.confirm(ctx) }

// Locations returns where tasks of an unfinished job may be, by what was read last.
func (in *Handler) Locations(id string) []jobstore.Location { return in.replica.places(id) }

// Run keeps the copy of the records that polls are answered from, until ctx ends.
func (in *Handler) Run(ctx context.Context) { in.replica.run(ctx) }

// Serve answers a request for a path under /v1/jobs.
func (in *Handler) Serve(ctx context.Context, req *wire.Request) wire.Response {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	rest := strings.TrimPrefix(req.Path, "/v1/jobs")
	if rest == "" {
		if req.Method != "POST" {
			return wire.Response{Status: 405}
		}
		return in.submit(ctx, req.Body)
	}
	id, abort := strings.CutSuffix(strings.TrimPrefix(rest, "/"), "/abort")
	switch {
	case !job.ValidID(id):
		return fail(404, "no such job")
	case abort && req.Method == "POST":
		return in.abort(ctx, id)
	case !abort && req.Method == "GET":
		return in.poll(ctx, id)
	}
	return wire.Response{Status: 405}
}
