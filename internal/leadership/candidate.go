// Package leadership elects one controller by a leased key in the state
// service. Every election, also of the same node, raises the term; the term is
// the token that workers see and the condition of every write of a leader.
package leadership

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"tulipshelf/internal/kvstore"
)

// Candidate takes part in elections for one node.
type Candidate struct {
	Node        string
	TTL         time.Duration
	Store       *kvstore.Client
	PreferOther func() bool // whether another node had better be elected; nil: never

	mu            sync.Mutex
	leader        string
	term          uint64
	confirmedAt   time.Time          // when the leader key was last read and named another node
	current       *Term              // while this node leads
	endTerm       context.CancelFunc // ends it
	checkingToken bool               // whether a higher token that was seen is a term
	transferring  bool               // whether this term of leadership ends for another node to lead
	backedOff     bool               // whether this node has let another go first in this election
}

// Leader returns the name of the node last known to lead and its term. A node names
// itself only while it leads: others may tell it of an earlier process of its own.
func (c *Candidate) Leader() (string, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == c.Node && c.current == nil {
		return "", c.term
	}
	return c.leader, c.term
}

// Confirmed returns the leader and its term if the state service has named them
// within d.
func (c *Candidate) Confirmed(d time.Duration) (leader string, term uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.term, c.leader != "" && time.Since(c.confirmedAt) < d
}

func (c *Candidate) observe(leader string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term >= c.term {
		c.leader, c.term = leader, term
	}
}

// ObserveTerm takes what another node says of the leadership. A higher term than
// one's own has been given out by an election, so this node leads no more, even
// if it cannot reach the state service to see that for itself.
func (c *Candidate) ObserveTerm(leader string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term <= c.term {
		return
	}
	c.leader, c.term = leader, term
	if c.current != nil && leader != c.Node {
		slog.Info("leadership lost: another node was elected", "term", c.current.Number(), "leader", leader, "new_term", term)
		c.endTerm()
	}
}

// TransferLeadership ends this node's term so that another node leads, one that the machines
// can reach.
func (c *Candidate) TransferLeadership() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.transferring = true
		c.endTerm()
	}
}

// ObserveToken takes the news that a worker has seen a token above this leader's. Only
// an election gives one out, so this node leads no more, unless the state service says
// that no such term exists. Where it cannot be asked the worker's word stands: a leader
// that is cut off from it and from its peers learns of its successor in no other way.
func (c *Candidate) ObserveToken(ctx context.Context, token uint64) {
	c.mu.Lock()
	r := c.current
	if r == nil || token <= r.Number() || c.checkingToken {
		c.mu.Unlock()
		return
	}
	c.checkingToken = true
	c.mu.Unlock()
	s, err := c.readState(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkingToken = false
	switch {
	case c.current != r:
	case err == nil && s.term < token:
		slog.Error("a worker shows a token that was never given out", "token", token, "term", s.term)
	default:
		slog.Info("leadership lost: a worker has seen a higher token", "term", r.Number(), "token", token)
		c.endTerm()
	}
}
