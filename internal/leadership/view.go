// A node's view of the leadership, and its update by each observation.

package leadership

import (
	"context"
	"time"
)

// view is one node's view of the leadership, as observed from the key-value store, the peers
// and the worker agents. Its methods send no requests. It is guarded by Candidate.mu.
type view struct {
	leader      string      // leader of the highest known term; "" if unknown or ended
	term        uint64      // highest known term; 0 if none
	confirmedAt time.Time   // time of the last read of the store that named another node; zero if none
	current     *activeTerm // this node's own leadership; nil if none

	checkingToken bool // whether a check of a higher fencing token is running
}

// activeTerm is a leadership of this node, until its work has ended.
type activeTerm struct {
	term         *Term
	cancel       context.CancelFunc // cancels the context of the leader's work
	transferring bool               // whether the leadership ends by a transfer to another node
	released     chan struct{}      // closed when its work has ended and, after a transfer, its lease is revoked
}

// knownLeader returns the leader, "" if unknown, and the highest known term, for publication to
// others. The node, self, names itself only while it leads: a peer
// may have named an earlier process of the node as the leader.
func (v *view) knownLeader(self string) (string, uint64) {
	if v.leader == self && v.current == nil {
		return "", v.term
	}
	return v.leader, v.term
}

// observe records the leader of a term, as read from or written to the store. A term below the
// highest known one is ignored.
func (v *view) observe(leader string, term uint64) {
	if term >= v.term {
		v.leader, v.term = leader, term
	}
}

// confirm records that the store, read at the given time, named another node as the leader.
func (v *view) confirm(leader string, term uint64, at time.Time) {
	v.observe(leader, term)
	v.confirmedAt = at
}

// observeTerm records the leader and term reported by a peer. It reports whether they depose
// this node, self. A term that is not above the highest known one is ignored.
func (v *view) observeTerm(self, leader string, term uint64) bool {
	if term <= v.term {
		return false
	}
	v.leader, v.term = leader, term
	return v.current != nil && leader != self
}

// beginTerm records that this node has become the leader. cancel cancels the context of the
// leader's work.
func (v *view) beginTerm(term *Term, cancel context.CancelFunc) {
	v.current = &activeTerm{term: term, cancel: cancel, released: make(chan struct{})}
}

// endTerm records that this node, self, is no longer the leader.
func (v *view) endTerm(self string) {
	v.current = nil
	if v.leader == self {
		v.leader = ""
	}
}

// markTransferring marks this node's leadership as ending by a transfer to another node. It
// returns false if the node does not lead.
func (v *view) markTransferring() bool {
	if v.current == nil {
		return false
	}
	v.current.transferring = true
	return true
}

// transferring reports whether this node is ending its own leadership by a transfer to another
// node.
func (v *view) transferring() bool { return v.current != nil && v.current.transferring }

// beginTokenCheck begins the check of a fencing token that an agent has seen, if this node leads
// and the token is above its term's number. It returns the term; the caller must read the store
// and pass the result to finishTokenCheck. It returns nil if no check is needed or if one is
// running: only one runs at a time, as every agent may report the same token.
func (v *view) beginTokenCheck(token uint64) *Term {
	if v.current == nil || v.checkingToken || token <= v.current.term.Number() {
		return nil
	}
	v.checkingToken = true
	return v.current.term
}

// tokenVerdict is the result of the check of a token above the leader's own.
type tokenVerdict int

const (
	tokenDeposes     tokenVerdict = iota // another node was elected, or the store could not be read
	tokenNeverIssued                     // the store has not issued a term as high as the token
	tokenOutdated                        // the checked term ended during the check
)

// finishTokenCheck ends the check of a token and returns its result. checked is the term that
// beginTokenCheck returned, state and readErr are the result of the read of the store. After a
// failed read the token deposes the leader: a leader that is cut off from the store and from
// its peers has no other way to learn of its successor.
func (v *view) finishTokenCheck(checked *Term, token uint64, state electionState, readErr error) tokenVerdict {
	v.checkingToken = false
	switch {
	case v.current == nil || v.current.term != checked:
		return tokenOutdated
	case readErr == nil && state.latest.number < token:
		return tokenNeverIssued
	}
	return tokenDeposes
}
