// Package peer implements the messages between the controllers of one cluster, encoded as protobuf and
// sent over HTTP. They report the leader and its term, jobs that have changed, and cancelled jobs. A
// controller would also learn these from the key-value store, but later. A leader that is cut off only
// from the store learns from its peers that another controller was elected, or that jobs are cancelled.
// The package also replicates cancellations, so that they survive the loss of any one controller
// (package cancellation).
//
// This file defines the group of controllers. Heartbeats are in heartbeats.go, the last answers of the
// other members in observations.go, replication of cancellations in replication.go, the handler of
// requests from other members in handler.go, and the encoding in messages.go.
package peer

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative peer.proto"

import (
	"tulipshelf/internal/cancellation"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// Node is the controller that a Group belongs to. Its methods must be safe for concurrent use and
// return quickly, as heartbeats and their answers wait for them.
type Node interface {
	// Leadership returns the highest term known to this controller, and the leader of that term, ""
	// if unknown.
	Leadership() (leader string, term uint64)

	// ObserveLeadership handles the leader and term reported by another controller. The report may
	// be outdated: a term that is not above the highest known one has no effect.
	ObserveLeadership(leader string, term uint64)

	// JobsChanged handles jobs that were submitted or cancelled through another controller, or
	// through this one while it leads.
	JobsChanged(jobs []string)

	// Redirected returns the number of agents that recently sent heartbeats to this controller
	// although it does not lead.
	Redirected() int

	// StoreReachable reports whether the key-value store has recently served this controller.
	StoreReachable() bool

	// JobsCancelled handles jobs that a heartbeat of another controller has newly added to the
	// register of cancelled jobs.
	JobsCancelled(jobs []string)

	// ConfirmedGone returns the attempts of cancelled jobs that are confirmed to be gone although
	// their records, as last read by this controller, list them as live.
	ConfirmedGone() []job.AttemptID

	// ObserveConfirmedGone handles attempts that ConfirmedGone returned on another controller.
	ObserveConfirmedGone(attempts []job.AttemptID)
}

// Member is another controller of the group.
type Member struct {
	Node string // name of the controller
	Addr string // host and port at which it serves requests from its peers
}

// Config holds the parameters of a Group. They must not be changed after the call of New.
type Config struct {
	Dial     wire.DialFunc          // opens connections to the other controllers; nil: TCP
	Node     string                 // name of this controller
	Members  []Member               // the other controllers
	Register *cancellation.Register // register of cancelled jobs, shared with the rest of the controller
}

// Group is one controller's view of the controllers of its cluster. All methods are safe for concurrent
// use: the mutable state is guarded by the mutexes of observations and of each member's schedule.
type Group struct {
	config  Config
	node    Node
	members []*member
	*observations
}

// New returns a group for node. Serve can be called at once; heartbeats are sent only once Run is
// called.
func New(config Config, node Node) *Group {
	g := &Group{config: config, node: node, observations: newObservations(config.Members)}
	for _, m := range config.Members {
		g.members = append(g.members, newMember(config.Dial, m))
	}
	return g
}
