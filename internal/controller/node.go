// Package controller puts the slices together: one node with its servers and
// its candidacy, and, while it leads, the loop that owns jobs and machines.
package controller

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/api"
	"tulipshelf/internal/cancellation"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/leadership"
	"tulipshelf/internal/peer"
	"tulipshelf/internal/relay"
	"tulipshelf/internal/wire"
)

// Node is one controller.
type Node struct {
	dial       wire.DialFunc
	listen     func(context.Context, *wire.Server) error
	settings   *config.Settings
	operator   config.Operator
	store      *kvstore.Client
	cloud      *cloud.Client
	candidate  *leadership.Candidate
	intake     *api.Handler
	types      atomic.Pointer[[]cloud.Type]
	peers      *peer.Group
	proxy      *relay.Proxy
	changed    chan string // jobs to tell the leader of
	leader     atomic.Pointer[leader]
	extended   *sightings // machines whose leases this node has prolonged while it was isolated
	redirected *sightings // machines that have reported here though this node does not lead
	cancelled  *cancellation.Register
	guard      guard

	valueBytes atomic.Int64 // that a value may take, as far as the state service has shown
	slowed     atomic.Bool  // whether the lower rates to come are kept
	gangs      atomic.Bool  // whether all controllers run gangs
}

const reportPath = "/v1/report"

// nodeShare is the part of the region's request rates that one node may use.
// The parts overlap, since the leader needs most and any node may lead; where
// two need much at once the service's own 429 decides.
const (
	nodeShare  = 0.6
	writeShare = 0.8 // nearly all changes are the leader's
	cloudShare = 0.8 // all but the catalog is read by the leader
)

// Network is how a node reaches others and is reached. The zero value is TCP;
// tests put stand-ins there.
type Network struct {
	Dial   wire.DialFunc
	Listen func(context.Context, *wire.Server) error
}

// New returns a node that has not been started.
func New(s *config.Settings, o config.Operator, net Network) *Node {
	if net.Listen == nil {
		net.Listen = func(ctx context.Context, s *wire.Server) error { return s.Run(ctx) }
	}
	now := s.Store
	safe := *s
	safe.Store = now.Safe()
	s = &safe
	n := &Node{
		dial:     net.Dial,
		listen:   net.Listen,
		settings: s,
		operator: o,
		changed:  make(chan string, 64),
		store:    kvstore.New(net.Dial, s.StoreAddr, s.Store.RPS*nodeShare, s.Store.WriteRPS*writeShare),
		cloud:    cloud.New(net.Dial, s.CloudAddr, s.Cloud.RPS*cloudShare),
	}
	report := s.Workers.HeartbeatInterval * 3 / 2
	n.extended = newSightings(report, s.Resources.MemBytes)
	n.redirected = newSightings(report+redirectRound, s.Resources.MemBytes)
	n.valueBytes.Store(int64(now.ValueBytes))
	if now.Next != nil {
		n.store.OnRefused = n.onRefused
	}
	n.cancelled = cancellation.New(len(s.Peers)+1, s.Workers.CancelDeadline)
	n.proxy = &relay.Proxy{Node: s.Node, Store: n.store, Dial: net.Dial, ValueBytes: s.Store.ValueBytes, TxnOps: s.Store.TxnOps}
	n.candidate = &leadership.Candidate{Node: s.Node, TTL: o.LeaderLease, Store: n.store,
		PreferOther: func() bool {
			return n.peers.MostRedirected(handOverWithin) > handOverTimes*max(n.redirectedCount(), 1)
		}}
	n.intake = &api.Handler{
		Store:     n.store,
		Teams:     s.Teams,
		ChunkSize: jobstore.TasksPerChunk(s.Store.ValueBytes),
		Types: func() []cloud.Type {
			if t := n.types.Load(); t != nil {
				return *t
			}
			return nil
		},
		OnCancelled:           func(id string) { n.onCancelled(n.cancelled.Add(id)) },
		ReplicateCancellation: func(ctx context.Context, id string) bool { return n.peers.ReplicateCancellation(ctx, id) },
		GangsSupported:        n.gangs.Load,
		OnCancellationsRead:   func(ids []string, asOf time.Time) { n.onCancelled(n.cancelled.MergeRead(ids, asOf)) },
		OnChanged: func(id string) {
			select {
			case n.changed <- id:
			default: // the watch finds it
			}
		},
	}
	n.intake.Init(s.Store.RPS)
	n.peers = &peer.Group{Dial: net.Dial, Node: s.Node, Leadership: n.candidate.Leader, OnLeadership: n.candidate.ObserveTerm, OnChanged: n.onChanged,
		Redirected: n.redirectedCount, Register: n.cancelled, OnCancelled: n.onCancelled,
		ConfirmedGone: n.guard.known, OnConfirmedGone: n.guard.learn, StoreReachable: func() bool { return n.store.ServedWithin(readyServed) }}
	for _, p := range s.Peers {
		n.peers.Members = append(n.peers.Members, peer.Member{Node: p.Node, Addr: p.Addr})
	}
	return n
}

// onRefused learns that the state service's limits are lower by now, as settings announce
// without saying when. One request too many shows less than a value that is too large: only
// rates follow from it.
func (n *Node) onRefused(tooLarge bool) {
	next := n.settings.Store.Next
	if !n.slowed.Swap(true) {
		slog.Info("the state service allows fewer changes", "write_rps", next.WriteRPS)
		n.store.SetRates(next.RPS*nodeShare, next.WriteRPS*writeShare)
	}
	if tooLarge && n.valueBytes.Swap(int64(n.settings.Store.ValueBytes)) != int64(n.settings.Store.ValueBytes) {
		slog.Info("the state service takes smaller values", "bytes", n.settings.Store.ValueBytes)
	}
}

// Run serves until ctx ends or a listener cannot be opened.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	errs := make(chan error, 2)
	run := func(f func(context.Context)) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx)
		}()
	}
	server := &wire.Server{
		Addr:        n.settings.Listen,
		MaxConns:    n.settings.Resources.MaxSockets * 4 / 5,
		IdleTimeout: 60 * time.Second,
		ReadTimeout: 10 * time.Second,
		Handler:     n.serve,
		Lasting:     func(req *wire.Request) bool { return req.Path == reportPath },
	}
	between := &wire.Server{
		Addr:        n.settings.PeerListen,
		MaxConns:    n.settings.Resources.MaxSockets / 16,
		IdleTimeout: 60 * time.Second,
		ReadTimeout: 5 * time.Second,
		Handler:     n.peers.Serve,
	}
	for _, s := range []*wire.Server{server, between} {
		run(func(ctx context.Context) {
			if err := n.listen(ctx, s); err != nil {
				errs <- err
			}
		})
	}
	run(n.peers.Run)
	run(n.proxy.Run)
	run(n.intake.Run)
	run(n.tellChanged)
	run(n.keepCatalog)
	run(n.refreshCancellations)
	run(n.guardCancellations)
	run(n.awaitGangs)
	run(func(ctx context.Context) { n.candidate.Run(ctx, n.runLeader) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-errs:
	}
	cancel()
	wg.Wait()
	return err
}

// tellChanged tells the leader of jobs changed here, faster than its watch.
func (n *Node) tellChanged(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-n.changed:
			n.peers.NotifyLeader(ctx, id)
		}
	}
}

// onChanged reads jobs that have changed, if this node leads.
func (n *Node) onChanged(ids []string) {
	if l := n.leader.Load(); l != nil {
		l.readJobs(ids)
	}
}

// onCancelled tells the leader, if this node leads, of jobs that are newly known to be
// cancelled.
func (n *Node) onCancelled(ids []string) {
	if l := n.leader.Load(); l != nil && len(ids) > 0 {
		l.tell(func() { l.onCancelled(ids, time.Now()) })
	}
}

// catalogKey holds the machine types as last read, so that a node that starts
// while the cloud does not serve can still take submissions.
const catalogKey = "catalog"

type catalogValue struct {
	Types []cloud.Type `cbor:"types"`
}

// keepCatalog reads the machine types until they are known, and then now and
// again for the prices.
func (n *Node) keepCatalog(ctx context.Context) {
	var kept []byte
	for ctx.Err() == nil {
		wait := time.Second
		types, err := n.cloud.Catalog(ctx)
		switch {
		case err != nil:
			slog.Debug("catalog not read", "err", err)
			if n.types.Load() == nil {
				n.recallCatalog(ctx)
			}
		case len(types) > 0:
			n.types.Store(&types)
			wait = time.Minute
			value := wire.Marshal(catalogValue{types})
			if n.leader.Load() == nil || bytes.Equal(value, kept) || len(value) > relay.UsableBytes(n.settings.Store.ValueBytes) {
				break
			}
			_, err := n.store.Txn(ctx, nil, []kvstore.Mutation{{Put: catalogKey, Value: value}}, kvstore.PriorityBackground)
			if err == nil {
				kept = value
			}
		}
		clock.Sleep(ctx, wait)
	}
}

// recallCatalog takes the machine types that a leader has kept.
func (n *Node) recallCatalog(ctx context.Context) {
	it, err := n.store.Get(ctx, catalogKey, kvstore.PriorityBackground)
	if err != nil {
		return
	}
	var v catalogValue
	if err := wire.Unmarshal(it.Value, &v); err != nil || len(v.Types) == 0 {
		slog.Error("kept catalog unreadable", "err", err)
		return
	}
	slog.Info("catalog taken from the state service", "types", len(v.Types))
	n.types.Store(&v.Types)
}

func (n *Node) runLeader(ctx context.Context, r *leadership.Term) {
	term, cancel := context.WithCancelCause(ctx)
	l := newLeader(term, n, r)
	n.leader.Store(l) // from here on reports come, also before it runs (TestHeartbeatsWaitForLeaderLoop)
	defer n.leader.CompareAndSwap(l, nil)
	if err := l.run(cancel); err != nil && ctx.Err() == nil {
		slog.Error("leadership ended by an error", "term", r.Number(), "err", err)
		r.Resign(context.WithoutCancel(ctx))
	}
}

func (n *Node) serve(ctx context.Context, req *wire.Request) wire.Response {
	switch {
	case req.Path == "/ready":
		if req.Method != "GET" {
			return wire.Response{Status: 405}
		}
		if !n.ready() {
			return wire.Response{Status: 503, RetryAfter: 1}
		}
		return wire.Response{Status: 200}
	case req.Path == reportPath:
		if req.Method != "POST" {
			return wire.Response{Status: 405}
		}
		return n.report(ctx, req.Body)
	case req.Path == "/v1/jobs" || strings.HasPrefix(req.Path, "/v1/jobs/"):
		return n.intake.Serve(ctx, req)
	}
	return wire.Response{Status: 404}
}

// Times of readiness: for how long the state service may not have served this node, and
// how recently another must have said that it is not served either.
const (
	readyServed = 4 * time.Second
	readyHeard  = 3 * time.Second
)

// ready tells whether users had better come to this node. In an outage of the state
// service they had: it tells them at once when to come back, and knows what is done or
// cancelled. A node that alone is refused sends them to the others.
//
// It guards against users who find no node for up to a minute after an outage: with each
// removal within two minutes the load balancer waits twice as long before it tries a node
// again (days of our own with several outages: up to 50,000 questions found no node).
func (n *Node) ready() bool {
	return n.types.Load() != nil && (n.store.ServedWithin(readyServed) || n.peers.StoreServesNobody(readyHeard))
}

// redirection is the body of an answer that sends a worker to another node.
type redirection struct {
	Leader string `cbor:"foreman,omitempty"` // empty: none is known
}

// redirect sends a worker to the leader, if another node is known to lead.
func (n *Node) redirect() wire.Response {
	leader, _ := n.candidate.Leader()
	if leader == "" || leader == n.settings.Node {
		return wire.Response{Status: 421, Body: wire.Marshal(redirection{})}
	}
	return wire.Response{Status: 421, Body: wire.Marshal(redirection{Leader: leader})}
}

// Times of answering for a leader: how recently the state service must have named the leader,
// and for how long the leader must not have been heard. A leader that has died
// loses its key sooner than that.
const (
	proxyConfirmed = 8 * time.Second
	proxyUnheard   = 5 * time.Second
)

// proxyReport answers a worker in the place of a leader that this node, and so
// probably the worker, cannot reach: with the leader's token, so that the worker's
// lease and its tasks outlive a cut between zones, and with the commands that
// come through the state service. Once the leader is heard again the worker is
// sent back to it.
func (n *Node) proxyReport(r *agent.Heartbeat) (wire.Response, bool) {
	leader, term, ok := n.candidate.Confirmed(proxyConfirmed)
	if !ok || !n.mayExtendLease() || leader == n.settings.Node || r.FencingToken > term || n.peers.ReachableWithin(leader, proxyUnheard) {
		return wire.Response{}, false
	}
	answer := n.proxy.AnswerHeartbeat(r, leader, term)
	answer.Commands = append(answer.Commands, n.halts(r)...)
	return wire.Response{Status: 200, Body: wire.Marshal(answer)}, true
}

// isolated tells whether this node can learn from nobody who leads: not from the
// state service, nor from the leader last known.
func (n *Node) isolated() bool {
	leader, _ := n.candidate.Leader()
	return !n.store.ServedWithin(isolatedAfter) && !n.peers.LeadingWithin(leader, proxyUnheard)
}

const isolatedAfter = 3 * time.Second

// extendsLease tells whether an isolated node answers a worker. It answers one under the token
// that the worker has itself, without commands, so that its lease and its tasks last until a
// leader can be reached again; and turns it away with its next report, so that one that can
// reach the leader does so. One that cannot is back in time.
//
// It guards against the loss of all that runs where controllers come back in an
// outage of the state service that outlasts the leases, or where a zone with a
// controller is cut off from everything (197 tasks in inc-008f, 213 on a drawn day of
// omaruru-fares-grown). No rule depends on a lease's end.
func (n *Node) extendsLease(r *agent.Heartbeat) bool {
	return r.FencingToken != 0 && n.isolated() && n.mayExtendLease() && n.extended.noteUnlessSeen(r.Machine, time.Now())
}

// redirectedCount returns how many machines have lately reported to this node though it does
// not lead: within the time that a worker takes to come back from a node that does not
// answer.
func (n *Node) redirectedCount() int { return n.redirected.count(time.Now()) }

// redirectRound is the worker's wait for a response, and the pause behind it.
const redirectRound = 5 * time.Second

// halts returns the commands that end tasks of cancelled jobs on a machine, as far as
// this node knows of the cancellations: for a worker that it answers without leading for
// certain. They are right whoever leads, and nobody may in an outage that outlasts the
// time in which such tasks must be gone.
func (n *Node) halts(r *agent.Heartbeat) (out []agent.Command) {
	now := 0.0
	for _, t := range r.Tasks {
		id, _, _ := job.ParseTaskName(t.Task)
		if t.Status != agent.StatusExited && len(out) < maxOrders && n.cancelled.Contains(id) {
			out = append(out, agent.Command{Verb: agent.VerbHalt, Task: t.Task, Attempt: t.Attempt, GracePeriodS: &now})
		}
	}
	return out
}

func (n *Node) report(ctx context.Context, body []byte) wire.Response {
	var r agent.Heartbeat
	if err := wire.Unmarshal(body, &r); err != nil || r.Machine == "" || r.Incarnation == 0 {
		return wire.Response{Status: 400, Body: wire.Marshal(wire.Problem{Error: fmt.Sprint("malformed report: ", err)})}
	}
	n.guard.observe(&r)
	l := n.leader.Load()
	if l == nil {
		n.redirected.note(r.Machine, time.Now())
		if resp, ok := n.proxyReport(&r); ok {
			return resp
		}
		if n.extendsLease(&r) {
			return wire.Response{Status: 200, Body: wire.Marshal(agent.HeartbeatResponse{FencingToken: r.FencingToken, Commands: n.halts(&r)})}
		}
		return n.redirect()
	}
	resp := wire.Response{Status: 503, RetryAfter: 1}
	if !l.call(ctx, func() { resp = l.onReport(&r) }) {
		return wire.Response{Status: 503, RetryAfter: 1}
	}
	if resp.Status == 421 {
		return n.redirect()
	}
	return resp
}
