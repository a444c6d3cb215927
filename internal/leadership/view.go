// What a node knows of the leadership, and how each observation changes that.

package leadership

import (
	"context"
	"time"
)

// view is what one node knows of the leadership, from the key-value store, its peers and
// agents, and how that changes with each observation. It makes no requests. Its Candidate
// guards it by its lock.
type view struct {
	leader      string      // that was elected last, as far as known; "": unknown
	term        uint64      // the highest term known
	confirmedAt time.Time   // when the store was last read and named another node
	current     *activeTerm // while this node leads, else nil

	checkingToken bool // a higher token that was shown is being looked up in the store
}

// activeTerm is the leadership of this node.
type activeTerm struct {
	term         *Term
	cancel       context.CancelFunc // ends the leader's work
	transferring bool               // it ends for another node to lead
}

// knownLeader returns the leader and its term as this node, self, may name them to others.
// It names itself only while it leads: others may have told it of an earlier process of its
// own.
func (v *view) knownLeader(self string) (string, uint64) {
	if v.leader == self && v.current == nil {
		return "", v.term
	}
	return v.leader, v.term
}

// observe takes in who was elected, as read from the store. Older news changes nothing.
func (v *view) observe(leader string, term uint64) {
	if term >= v.term {
		v.leader, v.term = leader, term
	}
}

// confirm takes in that the store, read at that time, names another node.
func (v *view) confirm(leader string, term uint64, at time.Time) {
	v.observe(leader, term)
	v.confirmedAt = at
}

// observeTerm takes in what a peer says and reports whether it deposes this node, self.
func (v *view) observeTerm(self, leader string, term uint64) bool {
	if term <= v.term {
		return false
	}
	v.leader, v.term = leader, term
	return v.current != nil && leader != self
}

// beginTerm takes in that this node leads from now on.
func (v *view) beginTerm(term *Term, cancel context.CancelFunc) {
	v.current = &activeTerm{term: term, cancel: cancel}
}

// endTerm takes in that this node, self, leads no more.
func (v *view) endTerm(self string) {
	v.current = nil
	if v.leader == self {
		v.leader = ""
	}
}

// markTransferring marks the leadership as one that ends for another node to lead. It reports
// whether there is one.
func (v *view) markTransferring() bool {
	if v.current == nil {
		return false
	}
	v.current.transferring = true
	return true
}

// transferring reports whether this node's leadership ends for another node to lead.
func (v *view) transferring() bool { return v.current != nil && v.current.transferring }

// beginTokenCheck returns this node's term if a token that an agent shows calls it in
// question, and else nil. The caller reads the store and passes the outcome to
// finishTokenCheck; one check runs at a time, as every agent may show the same token.
func (v *view) beginTokenCheck(token uint64) *Term {
	if v.current == nil || v.checkingToken || token <= v.current.term.Number() {
		return nil
	}
	v.checkingToken = true
	return v.current.term
}

// tokenVerdict is what a token above the leader's own turns out to be.
type tokenVerdict int

const (
	tokenDeposes     tokenVerdict = iota // another node was elected
	tokenNeverIssued                     // no election has issued it
	tokenOutdated                        // the term that it called in question has ended meanwhile
)

// finishTokenCheck judges a token by the state that was read for it. Where the store could
// not be read the agent's word stands: a leader that is cut off from the store and from its
// peers learns of its successor in no other way.
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
