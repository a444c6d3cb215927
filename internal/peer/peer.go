// Package peer is how the controllers of one service talk to each other, in protobuf over HTTP:
// who leads, which jobs have changed and which are cancelled. It speeds up what the key-value
// store would tell a controller anyway. A leader that is cut off from the store alone learns
// here that another one was elected, or that jobs are cancelled. And it replicates
// cancellations, so that they outlive any one controller (package cancellation).
//
// This file holds the group of controllers and how it is put together. Heartbeats are in
// heartbeats.go, what the other members said last in observations.go, replication of
// cancellations in replication.go, requests of other members in handler.go, the encoding in
// messages.go.
package peer

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative peer.proto"

import (
	"tulipshelf/internal/cancellation"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// Node is the controller on whose behalf a Group speaks. Its methods are called from several
// goroutines at once and must return soon: heartbeats and their answers wait for them.
type Node interface {
	// Leadership returns the highest term that this controller knows, and who leads in it; ""
	// if nobody is known to.
	Leadership() (leader string, term uint64)

	// ObserveLeadership takes the leader and term that another controller knows. They may be
	// late: a term that is not above the one known changes nothing.
	ObserveLeadership(leader string, term uint64)

	// JobsChanged takes jobs that were submitted or cancelled through another controller, or
	// through this one while it leads.
	JobsChanged(jobs []string)

	// Redirected returns how many agents have lately sent heartbeats to this controller though
	// it does not lead.
	Redirected() int

	// StoreReachable reports whether the key-value store has lately served this controller.
	StoreReachable() bool

	// JobsCancelled takes jobs that a heartbeat of another controller has newly added to the
	// register of cancelled jobs.
	JobsCancelled(jobs []string)

	// ConfirmedGone returns attempts of cancelled jobs that are known to be gone though their
	// records, as this controller read them last, still have them as live.
	ConfirmedGone() []job.AttemptID

	// ObserveConfirmedGone takes what ConfirmedGone returned on another controller.
	ObserveConfirmedGone(attempts []job.AttemptID)
}

// Member is another controller of the group.
type Member struct {
	Node string // its name
	Addr string // host and port at which it serves the others
}

// Config is what a Group is made of. None of it changes afterwards.
type Config struct {
	Dial     wire.DialFunc          // how to connect to the others; nil: TCP
	Node     string                 // name of this controller
	Members  []Member               // the other controllers
	Register *cancellation.Register // of cancelled jobs; shared with the rest of the controller
}

// Group is the controllers of one service as one of them sees them. All methods are safe for
// concurrent use: what changes is guarded by the locks of observations and of each member's
// schedule.
type Group struct {
	config  Config
	node    Node
	members []*member
	*observations
}

// New returns a group that answers the others at once and sends heartbeats once Run is called.
func New(config Config, node Node) *Group {
	g := &Group{config: config, node: node, observations: newObservations(config.Members)}
	for _, m := range config.Members {
		g.members = append(g.members, newMember(config.Dial, m))
	}
	return g
}
