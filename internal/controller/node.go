// Package controller is one controller of the cluster: its servers, its candidacy for leadership,
// and what it does whether it leads or not. While it leads, package leader owns jobs and machines.
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

// Node is one controller. Its fields are set by New; those that change afterwards are safe for
// concurrent use.
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

	leader      atomic.Pointer[leader.Leader] // nil: this controller does not lead
	types       atomic.Pointer[[]cloud.Type]  // nil: not known yet
	changedJobs chan string                   // to tell the leader of

	extended   *expiringSet // machines whose leases were prolonged while this controller was isolated
	redirected *expiringSet // machines that have come here though this controller does not lead
	gone       goneAttempts

	valueBytes     atomic.Int64 // that a value may take, as far as the key-value store has shown
	ratesLowered   atomic.Bool  // whether the lower rates to come are kept
	gangsSupported atomic.Bool  // whether all controllers run gangs
}

// Network is how a controller reaches others and is reached. The zero value is TCP; tests put an
// in-memory network there.
type Network struct {
	Dial   wire.DialFunc
	Listen func(context.Context, *wire.Server) error
}

// maxChangedJobs bounds the jobs that wait for the leader to be told of. The leader's watch finds
// the others.
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
		ValueBytes: settings.Store.ValueBytes, TxnOps: settings.Store.TxnOps}
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
		MachineTypes:          n.machineTypes,
		OnJobChanged:          n.queueChanged,
		OnJobCancelled:        func(id string) { n.onCancelled(n.cancelled.Add(id)) },
		GangsSupported:        n.gangsSupported.Load,
		ReplicateCancellation: func(ctx context.Context, id string) bool { return n.peers.ReplicateCancellation(ctx, id) },
		OnCancellationsRead:   func(ids []string, asOf time.Time) { n.onCancelled(n.cancelled.MergeRead(ids, asOf)) },
	})
}

// Shares of the sockets that servers may hold, and their timeouts.
const (
	idleTimeout       = 60 * time.Second
	readTimeout       = 10 * time.Second
	peerReadTimeout   = 5 * time.Second
	peerSocketDivisor = 16 // one socket in so many
)

// Run serves until ctx ends or a listener cannot be opened.
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

// publicServer serves users, worker agents and load balancers.
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

// peerServer serves the other controllers.
func (n *Node) peerServer() *wire.Server {
	return &wire.Server{
		Addr:        n.settings.PeerListen,
		MaxConns:    n.settings.Resources.MaxSockets / peerSocketDivisor,
		IdleTimeout: idleTimeout,
		ReadTimeout: peerReadTimeout,
		Handler:     n.peers.Serve,
	}
}

// queueChanged queues a job that was changed here for notifyLeader, if there is room.
func (n *Node) queueChanged(jobID string) {
	select {
	case n.changedJobs <- jobID:
	default:
	}
}

// notifyLeader tells the leader of jobs changed here, faster than its watch.
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

// onChanged hands jobs that have changed elsewhere to the leader, if this controller leads.
func (n *Node) onChanged(jobIDs []string) {
	if l := n.leader.Load(); l != nil {
		l.JobsChanged(jobIDs)
	}
}
