// The candidate of a node: what others may ask it, and tell it of the leadership.

package leadership

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"tulipshelf/internal/kvstore"
)

// Candidate takes part in the elections for one node. All its methods may be called by any
// goroutine at any time, but Run by one alone.
//
// Its lock may be held while a Term's is taken, not the other way round.
type Candidate struct {
	// Set before the first call of a method, and not changed after that.
	Node        string          // this node's name, which no other candidate has
	LeaseTTL    time.Duration   // of the leader's lease: after a leader's death nobody leads for up to so long
	Store       *kvstore.Client // holds the election's keys
	PreferOther func() bool     // reports whether another node should be elected rather than this one; nil: never

	hasDeferred bool // this node has let another stand first in this election; Run's goroutine alone uses it

	mu   sync.Mutex
	view view // guarded by mu
}

// Leader returns the name of the node last known to lead, "" if none is, and the highest
// term known. A node names itself only while it leads.
func (c *Candidate) Leader() (string, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.knownLeader(c.Node)
}

// Confirmed returns the leader and its term; ok says whether the key-value store has named
// another node as the leader to this one within d.
func (c *Candidate) Confirmed(d time.Duration) (leader string, term uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := &c.view
	return v.leader, v.term, v.leader != "" && time.Since(v.confirmedAt) < d
}

// ObserveTerm takes in what another node says of the leadership. A higher term than the
// highest known was issued by an election, so this node leads no more, even if it cannot
// reach the key-value store to see that for itself.
func (c *Candidate) ObserveTerm(leader string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.view.observeTerm(c.Node, leader, term) {
		return
	}
	current := c.view.current
	slog.Info("leadership lost: another node was elected", "term", current.term.Number(), "leader", leader, "new_term", term)
	current.cancel()
}

// TransferLeadership ends this node's term, if it leads, so that another node leads, one
// that the machines can reach. It does not wait for that.
func (c *Candidate) TransferLeadership() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.markTransferring() {
		c.view.current.cancel()
	}
}

// ObserveToken takes in that an agent has seen a fencing token above this leader's. Only an
// election issues one, so this node leads no more, unless the key-value store says that no
// such term exists. Where it cannot be asked the agent's word stands (view.finishTokenCheck).
// It makes a request to the store, which ctx bounds.
func (c *Candidate) ObserveToken(ctx context.Context, token uint64) {
	c.mu.Lock()
	checked := c.view.beginTokenCheck(token)
	c.mu.Unlock()
	if checked == nil {
		return
	}
	state, err := c.readState(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.view.finishTokenCheck(checked, token, state, err) {
	case tokenOutdated:
	case tokenNeverIssued:
		slog.Error("an agent shows a token that was never issued", "token", token, "term", state.latest.number)
	case tokenDeposes:
		slog.Info("leadership lost: an agent has seen a higher token", "term", checked.Number(), "token", token)
		c.view.current.cancel()
	}
}

// observe takes in who was elected, as the key-value store says.
func (c *Candidate) observe(leader string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.observe(leader, term)
}

// readState reads the election's keys. The errors are those of kvstore.Client.List, and of
// decoding.
func (c *Candidate) readState(ctx context.Context) (electionState, error) {
	page, err := c.Store.List(ctx, keyPrefix, "", maxElectionKeys, kvstore.PriorityLease)
	if err != nil {
		return electionState{}, err
	}
	return decodeElectionState(page)
}
