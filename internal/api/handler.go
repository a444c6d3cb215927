// Package api is the users' side of a controller: it takes submissions and
// cancellations on any node, with or without a leader, and answers polls. What
// it tells is durable in the state service before it is told.
package api

import (
	"context"
	"errors"
	"log/slog"
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

// maxFinal bounds the cache of final states; any entry can be read again.
const maxFinal = 20_000

// Statuses told to users beside the final ones.
const (
	pending = "pending"
	running = "running"
)

type status struct {
	ID      string `cbor:"uid"`
	Status  string `cbor:"status"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

type brief struct {
	ID     string `cbor:"uid"`
	Status string `cbor:"status"`
}

func fail(code int, text string) wire.Response {
	slog.Debug("request refused", "status", code, "why", text)
	return wire.Response{Status: code, Body: wire.Marshal(wire.Problem{Error: text})}
}

// later is the answer to whatever cannot be decided now: at once, with the time
// to come back.
func later() wire.Response { return wire.Response{Status: 503, RetryAfter: 1} }

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

func (in *Handler) submit(ctx context.Context, body []byte) wire.Response {
	id, err := job.DecodeID(body)
	if err != nil {
		return fail(400, err.Error())
	}
	if s, ok := in.cached(id); ok {
		return wire.Response{Status: 200, Body: wire.Marshal(brief{id, s})}
	}
	spec, refusal := in.check(body)
	if refusal.Status != 0 {
		// A job that is known is never refused, whatever this copy says.
		st, err := in.lookup(ctx, id)
		if err == nil {
			return wire.Response{Status: 200, Body: wire.Marshal(brief{id, st.Status})}
		}
		if !errors.Is(err, kvstore.ErrNotFound) {
			return later()
		}
		return refusal
	}
	if spec.Shape == job.Gang && in.GangsSupported != nil && !in.GangsSupported() {
		// A controller of an earlier version may lead yet, or next.
		if st, err := in.lookup(ctx, id); err == nil {
			return wire.Response{Status: 200, Body: wire.Marshal(brief{id, st.Status})}
		}
		return later()
	}
	rec := jobstore.Record{Spec: spec, SubmittedMS: time.Now().UnixMilli(), ChunkSize: in.ChunkSize}
	_, err = in.Store.Txn(ctx,
		[]kvstore.Compare{{Key: jobstore.JobKey(id)}, {Key: jobstore.EndKey(id)}},
		[]kvstore.Mutation{{Put: jobstore.JobKey(id), Value: wire.Marshal(rec)}}, kvstore.PriorityUser)
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		in.OnChanged(id)
		return wire.Response{Status: 201, Body: wire.Marshal(brief{id, pending})}
	case errors.As(err, &conflict), errors.Is(err, kvstore.ErrUnknown):
		// Known already, or perhaps written just now: what stands decides.
		if st, err := in.lookup(ctx, id); err == nil {
			return wire.Response{Status: 200, Body: wire.Marshal(brief{id, st.Status})}
		}
	default:
		slog.Debug("submission not written", "job", id, "err", err)
	}
	return later()
}

// check returns the checked submission or the answer that refuses it.
func (in *Handler) check(body []byte) (*job.Spec, wire.Response) {
	spec, err := job.Decode(body)
	if err != nil {
		return nil, fail(400, err.Error())
	}
	var team *config.Team
	for i := range in.Teams {
		if in.Teams[i].Name == spec.Team {
			team = &in.Teams[i]
		}
	}
	if team == nil {
		return nil, fail(422, "unknown team")
	}
	tasks := 1.0
	if spec.Shape != job.Array {
		tasks = float64(spec.Tasks)
	}
	if spec.CPUs*tasks > team.MaxCPUs+1e-6 || spec.GPUs*tasks > team.MaxGPUs+1e-6 {
		return nil, fail(422, "more than the team's limit")
	}
	types := in.Types()
	if types == nil {
		return nil, later()
	}
	var allowed []string
	for i := range types {
		if Allows(spec, &types[i]) {
			allowed = append(allowed, types[i].Name)
		}
	}
	if len(allowed) == 0 {
		return nil, fail(422, "fits no allowed machine type")
	}
	if spec.Types != nil {
		spec.Types = allowed
	}
	return spec, wire.Response{}
}

// Allows tells whether a task of the job can run on a machine type at all.
func Allows(s *job.Spec, t *cloud.Type) bool {
	if s.CPUs > t.CPUs || s.GPUs > t.GPUs || s.RAM > t.RAM {
		return false
	}
	in := func(list []string, name string) bool {
		for _, n := range list {
			if n == name {
				return true
			}
		}
		return false
	}
	return (s.Types == nil || in(s.Types, t.Name)) && (s.Zone == "" || in(t.Zones, s.Zone))
}

func (in *Handler) poll(ctx context.Context, id string) wire.Response {
	if s, ok := in.cached(id); ok {
		return wire.Response{Status: 200, Body: wire.Marshal(brief{id, s})}
	}
	st, err := in.lookup(ctx, id)
	switch {
	case err == nil:
		return wire.Response{Status: 200, Body: wire.Marshal(st)}
	case errors.Is(err, kvstore.ErrNotFound):
		return fail(404, "no such job")
	}
	return later()
}

// lookup returns a job's state from the copy of the records, brought up to date
// after the call, or from its final state. The copy comes first: a job that ends
// in between is found by the read.
func (in *Handler) lookup(ctx context.Context, id string) (status, error) {
	if err := in.replica.confirm(ctx); err != nil {
		return status{}, err
	}
	st, found, err := in.replica.status(id)
	if err != nil || found {
		if st.Status == jobstore.StatusCancelled {
			err = in.mayTell(ctx, id)
		}
		return st, err
	}
	it, err := in.Store.Get(ctx, jobstore.EndKey(id), kvstore.PriorityUser)
	if err != nil {
		return st, err
	}
	var end jobstore.FinalState
	if err := wire.Unmarshal(it.Value, &end); err != nil {
		return st, err
	}
	in.CacheFinal(id, end.Status)
	st = status{ID: id, Status: end.Status}
	if end.Status == jobstore.StatusDone {
		st.Done = end.Tasks
	}
	return st, nil
}

var errUntold = errors.New("api: too few controllers hold the cancellation")

// mayTell tells whether a user may be told that an unfinished job is cancelled: that
// starts the time in which its tasks must be gone, so most controllers must hold it in
// memory. Once the job's end is recorded nothing of it is left, and anybody may.
//
// It guards against the end of the only controller that knows of a cancellation, in an
// outage of the state service that outlasts that time, while workers go to another.
func (in *Handler) mayTell(ctx context.Context, id string) error {
	if !in.ReplicateCancellation(ctx, id) {
		return errUntold
	}
	in.CacheFinal(id, jobstore.StatusCancelled)
	return nil
}

func (in *Handler) abort(ctx context.Context, id string) wire.Response {
	answer := func(s string) wire.Response {
		return wire.Response{Status: 200, Body: wire.Marshal(brief{id, s})}
	}
	if s, ok := in.cached(id); ok {
		return answer(s)
	}
	for range 3 {
		it, err := in.Store.Get(ctx, jobstore.JobKey(id), kvstore.PriorityUser)
		if errors.Is(err, kvstore.ErrNotFound) {
			st, err := in.lookup(ctx, id)
			switch {
			case errors.Is(err, kvstore.ErrNotFound):
				return fail(404, "no such job")
			case err != nil || st.Status == pending || st.Status == running:
				return later()
			}
			return answer(st.Status)
		}
		if err != nil {
			return later()
		}
		rec, err := jobstore.DecodeRecord(it.Value)
		if err != nil {
			slog.Error("job record unreadable", "job", id, "err", err)
			return later()
		}
		if rec.CancelledMS == 0 {
			rec.CancelledMS = time.Now().UnixMilli()
			if rec.Arrival == 0 {
				rec.Arrival = it.Revision
			}
			_, err = in.Store.Txn(ctx, []kvstore.Compare{{Key: it.Key, Revision: it.Revision}},
				[]kvstore.Mutation{{Put: it.Key, Value: wire.Marshal(rec)}}, kvstore.PriorityUser)
		}
		var conflict *kvstore.ConflictError
		switch {
		case err == nil:
			in.OnCancelled(id)
			in.OnChanged(id) // the leader needs the revision of the record too
			// No task of it is recorded as started from now on; where those are that were
			// is read before it is told, for whoever has to end them.
			if in.Refresh(ctx) != nil || in.mayTell(ctx, id) != nil {
				return later()
			}
			return answer(jobstore.StatusCancelled)
		case errors.As(err, &conflict), errors.Is(err, kvstore.ErrUnknown):
			continue // read back what stands
		}
		return later()
	}
	return later()
}

func (in *Handler) cached(id string) (string, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	s, ok := in.final[id]
	return s, ok
}

// CacheFinal notes a durable final state, so that later polls need no read.
func (in *Handler) CacheFinal(id, state string) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.final == nil {
		in.final = map[string]string{}
	}
	if len(in.final) >= maxFinal {
		for k := range in.final {
			delete(in.final, k)
			break
		}
	}
	in.final[id] = state
}
