// Package controller runs one controller of the cluster: its servers, its candidacy for the leadership,
// and the work that it does whether or not it leads. While it leads, package leader owns jobs and
// machines.
package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tulipshelf/internal/api"
	"tulipshelf/internal/cancellation"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/leader"
	"tulipshelf/internal/leadership"
	"tulipshelf/internal/peer"
	"tulipshelf/internal/relay"
	"tulipshelf/internal/wire"
)

// Node is one controller. New sets its fields. Those that change afterwards are safe for concurrent
// use.
type Node struct {
	dial      wire.DialFunc
	listen    func(context.Context, *wire.Server) error
	settings  *config.Settings
	operator  config.Operator
	store     *kvstore.Client
	cloud     *cloud.Client
	candidate *leadership.Candidate
	api       *api.Handler
	peers     *peer.Group
	proxy     *relay.Proxy
	cancelled *cancellation.Register

	leader      atomic.Pointer[leader.Leader] // nil while this controller does not lead
	types       atomic.Pointer[[]cloud.Type]  // the cloud's machine types; nil until they are known
	changedJobs chan string                   // IDs of jobs changed through this controller, for notifyLeader

	extended   *expiringSet // machines whose leases were recently extended by mayExtendWithoutLeader
	redirected *expiringSet // machines that recently sent heartbeats here while this controller did not lead
	gone       goneAttempts

	valueBytes     atomic.Int64 // largest value, in bytes, that the key-value store is assumed to accept
	ratesLowered   atomic.Bool  // whether onStoreRefused has lowered the rates of the store's client
	gangsSupported atomic.Bool  // whether all controllers run a version that supports gangs
}

// Network holds the functions by which a controller connects to other hosts and listens. The zero value
// uses TCP. Tests supply an in-memory network.
type Network struct {
	Dial   wire.DialFunc
	Listen func(context.Context, *wire.Server) error
}

// maxChangedJobs is the capacity of Node.changedJobs. Jobs beyond it are dropped, as the leader's watch
// on the records finds them too.
const maxChangedJobs = 64

// New returns a controller that has not been started.
func New(settings *config.Settings, operator config.Operator, network Network) *Node {
	if network.Listen == nil {
		network.Listen = func(ctx context.Context, server *wire.Server) error { return server.Run(ctx) }
	}
	limits := settings.Store
	safe := *settings
	safe.Store = limits.Safe()
	settings = &safe
	n := &Node{
		dial: network.Dial, listen: network.Listen, settings: settings, operator: operator,
		changedJobs: make(chan string, maxChangedJobs),
		store:       kvstore.New(network.Dial, settings.StoreAddr, safe.Store.RPS*requestShare, safe.Store.WriteRPS*writeShare),
		cloud:       cloud.New(network.Dial, settings.CloudAddr, settings.Cloud.RPS*cloudShare),
		cancelled:   cancellation.New(len(settings.Peers)+1, settings.Workers.CancelDeadline),
	}
	heartbeatOverdue := settings.Workers.HeartbeatOverdue()
	n.extended = newExpiringSet(heartbeatOverdue, settings.Resources.MemBytes)
	n.redirected = newExpiringSet(heartbeatOverdue+agentRetryRound, settings.Resources.MemBytes)
	n.valueBytes.Store(int64(limits.ValueBytes))
	if limits.Next != nil {
		n.store.OnRefused = n.onStoreRefused
	}
	n.proxy = &relay.Proxy{Node: settings.Node, Store: n.store, Dial: network.Dial,
		ValueBytes: settings.Store.ValueBytes, TxnOps: settings.Store.TxnOps, IsCancelled: n.cancelled.Contains}
	n.candidate = &leadership.Candidate{Node: settings.Node, LeaseTTL: operator.LeaderLease, Store: n.store, PreferOther: n.prefersOther}
	n.api = n.newAPI()
	n.peers = newPeerGroup(n)
	return n
}

// newAPI returns the handler of users' requests.
func (n *Node) newAPI() *api.Handler {
	return api.New(api.Config{
		Store:                 n.store,
		StoreRPS:              n.settings.Store.RPS,
		Teams:                 n.settings.Teams,
		TasksPerChunk:         jobstore.TasksPerChunk(n.settings.Store.ValueBytes),
		ValueBytes:            n.settings.Store.ValueBytes,
		MachineTypes:          n.machineTypes,
		OnJobChanged:          n.queueChanged,
		OnJobCancelled:        func(id string) { n.onCancelled(n.cancelled.Add(id)) },
		GangsSupported:        n.gangsSupported.Load,
		ReplicateCancellation: func(ctx context.Context, id string) bool { return n.peers.ReplicateCancellation(ctx, id) },
		OnCancellationsRead:   func(ids []string, asOf time.Time) { n.onCancelled(n.cancelled.MergeRead(ids, asOf)) },
	})
}

// Timeouts and socket limits of the servers.
const (
	idleTimeout       = 60 * time.Second
	readTimeout       = 10 * time.Second
	peerReadTimeout   = 5 * time.Second
	peerSocketDivisor = 16 // n in the share 1/n of the process's sockets that the peer server may hold
)

// Run runs the controller until ctx ends or a server fails, and waits until its goroutines have ended.
// It returns the error of the server that failed, or nil if ctx ended.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var goroutines sync.WaitGroup
	start := func(f func(context.Context)) {
		goroutines.Add(1)
		go func() {
			defer goroutines.Done()
			f(ctx)
		}()
	}
	servers := []*wire.Server{n.publicServer(), n.peerServer()}
	listenErrs := make(chan error, len(servers))
	for _, server := range servers {
		start(func(ctx context.Context) {
			if err := n.listen(ctx, server); err != nil {
				listenErrs <- err
			}
		})
	}
	start(n.peers.Run)
	start(n.proxy.Run)
	start(n.api.Run)
	start(n.notifyLeader)
	start(n.refreshCatalog)
	start(n.refreshCancellations)
	start(n.reapCancelled)
	start(n.awaitGangSupport)
	start(func(ctx context.Context) { n.candidate.Run(ctx, n.runLeader) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-listenErrs:
	}
	cancel()
	goroutines.Wait()
	return err
}

// publicServer returns the server for users, worker agents and load balancers.
func (n *Node) publicServer() *wire.Server {
	return &wire.Server{
		Addr:        n.settings.Listen,
		MaxConns:    n.settings.Resources.MaxSockets * 4 / 5,
		IdleTimeout: idleTimeout,
		ReadTimeout: readTimeout,
		Handler:     n.serveHTTP,
		Lasting:     func(req *wire.Request) bool { return req.Path == heartbeatPath },
	}
}

// peerServer returns the server for the other controllers.
func (n *Node) peerServer() *wire.Server {
	return &wire.Server{
		Addr:        n.settings.PeerListen,
		MaxConns:    n.settings.Resources.MaxSockets / peerSocketDivisor,
		IdleTimeout: idleTimeout,
		ReadTimeout: peerReadTimeout,
		Handler:     n.peers.Serve,
	}
}

// queueChanged queues a job that was changed through this controller for notifyLeader. It drops the job
// if the queue is full.
func (n *Node) queueChanged(jobID string) {
	select {
	case n.changedJobs <- jobID:
	default:
	}
}

// notifyLeader reports queued jobs to the leader until ctx ends. The leader's watch would also find
// them, but later.
func (n *Node) notifyLeader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case jobID := <-n.changedJobs:
			n.peers.NotifyLeader(ctx, jobID)
		}
	}
}

// onChanged passes changed jobs to the leader if this controller leads, and drops them otherwise.
func (n *Node) onChanged(jobIDs []string) {
	if l := n.leader.Load(); l != nil {
		l.JobsChanged(jobIDs)
	}
}
