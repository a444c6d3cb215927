package api

// This file holds Handler, its configuration and its lifetime, and the routing of requests.

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

// Config holds the dependencies and settings of a Handler. All fields are required. The functions are
// called concurrently, by the goroutines that serve requests and by that of Handler.Run, with no lock
// held.
type Config struct {
	Store         *kvstore.Client
	StoreRPS      float64 // key-value store's rate limit for the whole cluster, in requests per second
	Teams         []config.Team
	TasksPerChunk int // chunk size of new jobs, in tasks
	ValueBytes    int // largest value that the key-value store accepts, in bytes of JSON

	// MachineTypes returns the cloud's catalog of machine types, or nil until it has been loaded.
	MachineTypes func() []cloud.Type

	// GangsSupported reports whether all controllers run a version that can schedule gangs. Until
	// then gangs are not accepted, as the present or the next leader may be of an earlier version.
	GangsSupported func() bool

	// OnJobChanged is called after a request to this handler created a job's record or cancelled a job. The
	// response is sent after it returns.
	OnJobChanged func(id string)

	// OnJobCancelled is called after a request to this handler recorded a job's cancellation or
	// found it recorded. The response is sent after it returns.
	OnJobCancelled func(id string)

	// OnCancellationsRead is called after each read that brought the replica up to date. It gets the
	// IDs of the cancelled jobs that it has not got before, or of all cancelled jobs if all records
	// were read anew, and the time at which the read was sent.
	OnCancellationsRead func(cancelled []string, asOf time.Time)

	// ReplicateCancellation tries to replicate a job's cancellation to a majority of the controllers
	// (package cancellation), and reports whether a majority holds it in memory. It returns shortly
	// after ctx ends at the latest.
	ReplicateCancellation func(ctx context.Context, id string) bool
}

// Handler answers users' requests about jobs. It is safe for concurrent use. While Run is not running,
// requests that need the replica are answered with 503.
type Handler struct {
	cfg         Config
	replica     *replica
	finalStates *finalStateCache
}

// New returns a Handler, whose Run method the caller must start.
func New(cfg Config) *Handler {
	return &Handler{
		cfg:         cfg,
		replica:     newReplica(cfg.Store, cfg.StoreRPS, cfg.OnCancellationsRead),
		finalStates: newFinalStateCache(),
	}
}

// Run refreshes the replica of the records whenever requests wait for it, until ctx ends.
func (h *Handler) Run(ctx context.Context) { h.replica.run(ctx) }

// Refresh brings the replica to a state no older than the call. It returns an error if the key-value
// store cannot be read before ctx ends. The node calls it periodically, so that
// Config.OnCancellationsRead is called even without requests of users.
func (h *Handler) Refresh(ctx context.Context) error { return h.replica.confirmFresh(ctx) }

// Locations returns the locations at which tasks of an unfinished job may run, as of the replica's
// last read and in no particular order. It returns nil if there are none.
func (h *Handler) Locations(id string) []jobstore.Location { return h.replica.locations(id) }

// Parts of the URL paths of the API.
const (
	jobsPath     = "/v1/jobs"
	cancelSuffix = "/abort" // suffix of a job's path
)

// requestTimeout limits the processing of one request. A request that is not decided within this time is
// answered with 503, so that the user can retry, possibly at another node, instead of waiting for this
// one.
const requestTimeout = 1500 * time.Millisecond

// Serve answers a request whose path is jobsPath or begins with jobsPath and a slash. It does not
// retain the request's body.
func (h *Handler) Serve(ctx context.Context, req *wire.Request) wire.Response {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	subpath := strings.TrimPrefix(req.Path, jobsPath)
	if subpath == "" {
		return h.serveJobs(ctx, req)
	}
	return h.serveJob(ctx, req.Method, strings.TrimPrefix(subpath, "/"))
}

// serveJobs answers a request for the collection of jobs, which supports only submissions.
func (h *Handler) serveJobs(ctx context.Context, req *wire.Request) wire.Response {
	if req.Method != wire.MethodPost {
		return methodNotAllowed()
	}
	return h.submit(ctx, req.Body)
}

// serveJob answers a request for one job. subpath is the job's ID, or the ID followed by cancelSuffix.
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
