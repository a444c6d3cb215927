package api

// This file has what a Handler is made of, its lifetime, and the routing of requests.

import (
	"context"
	"strings"
	"time"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Config is what a Handler works with. All fields are required. The functions are called by
// the goroutines that serve requests and by the one of Handler.Run, at the same time and with no
// lock held.
type Config struct {
	Store         *kvstore.Client
	StoreRPS      float64 // requests a second that the key-value store allows the whole cluster
	Teams         []config.Team
	TasksPerChunk int // of the records of new jobs

	// MachineTypes returns the catalog of the cloud, or nil while it is unknown.
	MachineTypes func() []cloud.Type

	// GangsSupported reports whether all controllers run a version that can schedule gangs. Until
	// then gangs are not accepted: a controller of an earlier version may lead now or next.
	GangsSupported func() bool

	// OnJobChanged is called after a job's record was written here. The request waits for it.
	OnJobChanged func(id string)

	// OnJobCancelled is called after a job's cancellation was recorded, or found recorded, by a
	// request here. The request waits for it.
	OnJobCancelled func(id string)

	// OnCancellationsRead is called after each read that brought the replica up to date, with the
	// jobs that it found newly cancelled and the time at which the read was sent.
	OnCancellationsRead func(cancelled []string, asOf time.Time)

	// ReplicateCancellation tries to have a majority of the controllers hold a job's cancellation
	// in memory (package cancellation), and reports whether one does. It returns before ctx ends
	// or soon after.
	ReplicateCancellation func(ctx context.Context, id string) bool
}

// Handler answers users' requests about jobs. It is safe for concurrent use. Requests that
// need the replica are answered only while Run runs.
type Handler struct {
	cfg         Config
	replica     *replica
	finalStates *finalStateCache
}

// New returns a handler that answers once Run is called.
func New(cfg Config) *Handler {
	return &Handler{
		cfg:         cfg,
		replica:     newReplica(cfg.Store, cfg.StoreRPS, cfg.OnCancellationsRead),
		finalStates: newFinalStateCache(),
	}
}

// Run keeps the replica of the records up to date while requests wait for it, until ctx ends.
func (h *Handler) Run(ctx context.Context) { h.replica.run(ctx) }

// Refresh brings the replica to a state no older than the call. It fails if the key-value store
// cannot be read before ctx ends. The node calls it to learn of cancellations even if no user asks.
func (h *Handler) Refresh(ctx context.Context) error { return h.replica.confirmFresh(ctx) }

// Locations returns, in no order, where tasks of an unfinished job may run according to the
// replica as of its last read.
func (h *Handler) Locations(id string) []jobstore.Location { return h.replica.locations(id) }

// Paths under which jobs are served.
const (
	jobsPath     = "/v1/jobs"
	cancelSuffix = "/abort" // of a job's path
)

// requestTimeout bounds the work for one request. What is undecided by then is answered 503, so
// that the user can retry, perhaps at another node, instead of waiting for this one.
const requestTimeout = 1500 * time.Millisecond

// Serve answers a request whose path is jobsPath or begins with it and a slash. The request's
// body is not kept.
func (h *Handler) Serve(ctx context.Context, req *wire.Request) wire.Response {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	subpath := strings.TrimPrefix(req.Path, jobsPath)
	if subpath == "" {
		return h.serveJobs(ctx, req)
	}
	return h.serveJob(ctx, req.Method, strings.TrimPrefix(subpath, "/"))
}

// serveJobs answers a request for the collection of jobs.
func (h *Handler) serveJobs(ctx context.Context, req *wire.Request) wire.Response {
	if req.Method != wire.MethodPost {
		return methodNotAllowed()
	}
	return h.submit(ctx, req.Body)
}

// serveJob answers a request for one job: its ID, or its ID and cancelSuffix.
func (h *Handler) serveJob(ctx context.Context, method, subpath string) wire.Response {
	id, isCancel := strings.CutSuffix(subpath, cancelSuffix)
	switch {
	case !job.ValidID(id):
		return noSuchJob()
	case isCancel && method == wire.MethodPost:
		return h.cancel(ctx, id)
	case !isCancel && method == wire.MethodGet:
		return h.poll(ctx, id)
	}
	return methodNotAllowed()
}
