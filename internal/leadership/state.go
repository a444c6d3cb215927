// Decisions based on the election's keys in the key-value store.

package leadership

import (
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// electionState is the content of the election's keys at one revision of the key-value store.
// Its methods make the decisions that depend only on this content and send no requests.
type electionState struct {
	holder         holderRecord // value of holderKey; zero if the key does not exist
	holderRevision uint64       // revision of holderKey; 0 if the key does not exist: no leader
	latest         issuedTerm   // highest term issued; zero before the first election
	storeRevision  uint64       // revision of the store at the read, from which a watch continues
}

// issuedTerm is a term that the store has issued, with the revision of its record.
type issuedTerm struct {
	number   uint64
	revision uint64 // revision of termKey written by the claim of this term
}

// heldByOther reports whether a node other than the given one holds the leadership.
//
// A key that names the given node itself is left over from an earlier process of the node, or
// from a term of this process that has ended. A node runs as one process, so no leader acts
// under such a key, and the node replaces it without waiting for the lease to expire.
func (s electionState) heldByOther(node string) bool {
	return s.holderRevision != 0 && s.holder.Node != node
}

// claim is a transaction that takes the next term and the holder's key.
type claim struct {
	number    uint64 // number of the claimed term
	lease     uint64 // lease to which the transaction attaches holderKey
	compares  []kvstore.Compare
	mutations []kvstore.Mutation
}

// newClaim returns the claim of the term after the latest one, for the given node and lease.
// The transaction changes nothing if either key has changed since s was read.
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

// writtenBy reports whether s was written by the transaction of the claim. Only this
// transaction writes both keys at the same revision, with the claim's lease and term.
func (s electionState) writtenBy(sent claim) bool {
	return s.latestHeldUnder(sent.lease) && s.latest.number == sent.number
}

// latestHeldUnder reports whether the latest term was taken by a leader with the given lease: only a claim
// writes both keys in one transaction.
func (s electionState) latestHeldUnder(lease uint64) bool {
	return s.holder.Lease == lease && s.holderRevision == s.latest.revision
}

// advanceStep is the next action of a leader that wants a new term.
type advanceStep int

const (
	advanceByClaim    advanceStep = iota // claim the term after the latest one
	advanceDeposed                       // no action: the leader has lost the leadership
	advanceWasApplied                    // adopt the latest term: an unanswered claim was applied
)

// advanceStep returns the next action of a leader that wants a new term. lease is the leader's
// lease, and current is the last term that it knows.
func (s electionState) advanceStep(lease uint64, current issuedTerm) advanceStep {
	switch {
	case s.holder.Lease != lease:
		return advanceDeposed
	case s.latest.revision != current.revision:
		return advanceWasApplied
	}
	return advanceByClaim
}
