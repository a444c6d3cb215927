// The candidate of a node: queries of the leadership, and observations from peers and agents.

package leadership

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"tulipshelf/internal/kvstore"
)

// Candidate takes part in elections on behalf of one node. Its methods are safe for concurrent
// use, except that only one goroutine may call Run. Run calls PreferOther without holding mu.
//
// Lock order: Candidate.mu before Term.mu.
type Candidate struct {
	// Fields to be set before the first method call and not changed afterwards.
	Node        string          // name of this node, unique among the candidates
	LeaseTTL    time.Duration   // TTL of the lease; no node is elected before a crashed leader's expires
	Store       *kvstore.Client // client of the key-value store with the election's keys
	PreferOther func() bool     // whether another node should preferably be elected; nil means never

	hasDeferred bool // whether this node has deferred in this election; used only by Run's goroutine

	mu   sync.Mutex
	view view // this node's view of the leadership; guarded by mu
}

// Leader returns the name of the last known leader, "" if unknown, and the highest known term.
// A node names itself only while it leads.
func (c *Candidate) Leader() (string, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.knownLeader(c.Node)
}

// ConfirmedLeader returns the last known leader and the highest known term. ok reports whether a
// leader is known and this node has, within the last d, read from the key-value store that
// another node leads. That read may have named an earlier leader than the one returned.
func (c *Candidate) ConfirmedLeader(d time.Duration) (leader string, term uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := &c.view
	return v.leader, v.term, v.leader != "" && time.Since(v.confirmedAt) < d
}

// ObserveTerm records the leader and term reported by another node. If a term above the highest
// known one has another leader, that leader was elected later, so this node's leadership ends,
// even if this node cannot reach the key-value store to read the term itself.
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

// TransferLeadership ends this node's leadership, if it leads, so that a node that the machines
// can reach is elected. It does not wait for the election.
func (c *Candidate) TransferLeadership() { c.beginTransfer() }

// beginTransfer ends this node's leadership by a transfer and returns it; nil if the node does not lead.
func (c *Candidate) beginTransfer() *activeTerm {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view.markTransferring() {
		c.view.current.cancel()
	}
	return c.view.current
}

// Resign ends this node's leadership, if it leads, and returns once its lease is revoked or ctx ends. It is
// called before an ordinary stop of the process. Guards against a time without a leader: otherwise
// another node is elected only after the lease has expired.
func (c *Candidate) Resign(ctx context.Context) {
	ending := c.beginTransfer()
	if ending == nil {
		return
	}
	select {
	case <-ending.released:
	case <-ctx.Done():
	}
}

// ObserveToken handles a fencing token that an agent has seen. A token above this leader's own
// is issued only to a leader that is elected later, so it ends this node's leadership, unless
// the key-value store shows that no such term was issued. The leadership also ends if the store
// cannot be read (view.finishTokenCheck). The read of the store is bounded by ctx.
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

// observe records the leader of a term, as read from or written to the key-value store.
func (c *Candidate) observe(leader string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.observe(leader, term)
}

// readState reads and decodes the election's keys. The errors are those of kvstore.Client.List
// and of decodeElectionState.
func (c *Candidate) readState(ctx context.Context) (electionState, error) {
	page, err := c.Store.List(ctx, keyPrefix, "", maxElectionKeys, kvstore.PriorityLease)
	if err != nil {
		return electionState{}, err
	}
	return decodeElectionState(page)
}
