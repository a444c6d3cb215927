// Decisions that follow from what the key-value store holds.

package leadership

import (
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// electionState is what the key-value store held at one revision, and the decisions that
// follow from it. It makes no requests.
type electionState struct {
	holder         holderRecord // zero if holderRevision is
	holderRevision uint64       // of holderKey; 0: nobody leads
	latest         issuedTerm   // the highest term issued; zero before the first election
	storeRevision  uint64       // of the read: a watch goes on from here
}

// issuedTerm is a term as the store holds it.
type issuedTerm struct {
	number   uint64
	revision uint64 // of termKey as the claim of this term wrote it
}

// heldByOther reports whether another node than the given one holds the leadership.
//
// A key that names the node itself was left by an earlier process of it. A node is one
// process, so nobody acts under that key any more, and it is taken over without waiting for
// the lease to expire.
func (s electionState) heldByOther(node string) bool {
	return s.holderRevision != 0 && s.holder.Node != node
}

// claim is a transaction that takes the next term.
type claim struct {
	number    uint64 // of the term
	lease     uint64 // that the holder's key will hang on
	compares  []kvstore.Compare
	mutations []kvstore.Mutation
}

// newClaim returns the claim of the term after the latest. It fails as a whole if either
// key has changed since s was read.
func (s electionState) newClaim(node string, lease uint64) claim {
	number := s.latest.number + 1
	return claim{
		number: number,
		lease:  lease,
		compares: []kvstore.Compare{
			{Key: holderKey, Revision: s.holderRevision},
			{Key: termKey, Revision: s.latest.revision},
		},
		mutations: []kvstore.Mutation{
			{Put: holderKey, Value: wire.Marshal(holderRecord{node, number, lease}), Lease: lease},
			{Put: termKey, Value: wire.Marshal(termRecord{number})},
		},
	}
}

// writtenBy reports whether s is the outcome of the claim. Only the claim's own transaction
// gives both keys one revision under its lease.
func (s electionState) writtenBy(sent claim) bool {
	oneTransaction := s.holderRevision == s.latest.revision
	return oneTransaction && s.holder.Lease == sent.lease && s.latest.number == sent.number
}

// advanceStep is what a leader does that wants a new term.
type advanceStep int

const (
	advanceByClaim    advanceStep = iota // claim the term after the latest
	advanceDeposed                       // nothing: the leadership is no longer its own
	advanceWasApplied                    // adopt the latest term: an earlier claim that went unanswered was applied
)

// advanceStep decides for the leader whose lease and term are given.
func (s electionState) advanceStep(lease uint64, current issuedTerm) advanceStep {
	switch {
	case s.holder.Lease != lease:
		return advanceDeposed
	case s.latest.revision != current.revision:
		return advanceWasApplied
	}
	return advanceByClaim
}
