// The leader's handle of its leadership: fencing token, compare for writes, advance, resignation.

package leadership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"tulipshelf/internal/kvstore"
)

// ErrDeposed is the error of a leader that has lost its leadership, because its lease expired
// or another node was elected. This happens in any failover and is not a fault. Term.Advance
// wraps it. A caller whose write fails on the compare of Term.Fence may wrap it too, so that its
// own callers can distinguish the loss of leadership from a fault.
var ErrDeposed = errors.New("leadership: deposed")

// Term is one leadership of this node, from its election until the leadership is lost. Its
// number increases with each successful Advance. Terms are created by Candidate.Run. The methods
// are safe for concurrent use, also after the leadership has ended.
type Term struct {
	candidate *Candidate // candidate that was elected; constant
	lease     uint64     // lease to which the holder's key is attached; constant

	mu         sync.Mutex
	issued     issuedTerm // term last issued to this leader; guarded by mu
	validUntil time.Time  // time before which no other node can be elected; guarded by mu
}

// Number returns the current term number, which is the fencing token.
func (t *Term) Number() uint64 { return t.latest().number }

// Fence returns the compare that every write of the leader must include. It fails once a newer
// term has been issued, also if that term was issued to this leader.
func (t *Term) Fence() kvstore.Compare {
	return kvstore.Compare{Key: termKey, Revision: t.latest().revision}
}

// Valid reports whether no other node can have been elected yet: the request that last granted
// or renewed the lease was sent less than the TTL ago, minus a margin for clock drift. It only
// decides whether the leader continues to work. Safety depends on Fence and the fencing token,
// not on Valid.
func (t *Term) Valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.validUntil)
}

// Advance takes a new term while this node remains the leader. Agents that have seen the new
// term do not execute a delayed copy of a command that was sent under an earlier term.
//
// The error wraps ErrDeposed if the key-value store shows at the call that the leadership has
// ended, and otherwise the error of the read or of the claim. After kvstore.ErrUnknown the new
// term may have been issued: the next call adopts it, and until then the store may reject writes
// that include Fence.
func (t *Term) Advance(ctx context.Context) error {
	state, err := t.candidate.readState(ctx)
	if err != nil {
		return err
	}
	switch state.advanceStep(t.lease, t.latest()) {
	case advanceDeposed:
		return fmt.Errorf("leadership: advance term %d: %w", t.Number(), ErrDeposed)
	case advanceWasApplied:
		t.adopt(state.latest)
		return nil
	}
	issued, err := t.candidate.claimNextTerm(ctx, t.lease, state)
	if err != nil {
		return err
	}
	t.adopt(issued)
	return nil
}

// AdoptLatest adopts the latest term in the key-value store if an earlier Advance without a response has
// taken it. It is called after a write was refused by the compare of Fence.
//
// The error wraps ErrDeposed if the leadership has ended, and is otherwise the error of the read.
func (t *Term) AdoptLatest(ctx context.Context) error {
	state, err := t.readOwnState(ctx)
	if err != nil {
		return err
	}
	t.adopt(state.latest)
	return nil
}

// ConfirmNotDeposed reads whether this node still leads. The error wraps ErrDeposed if another term has begun that is
// not this leader's own, and is otherwise the error of the read.
func (t *Term) ConfirmNotDeposed(ctx context.Context) error {
	_, err := t.readOwnState(ctx)
	return err
}

// readOwnState reads the state of the leadership. The error wraps ErrDeposed if its latest term is not this leader's.
func (t *Term) readOwnState(ctx context.Context) (electionState, error) {
	state, err := t.candidate.readState(ctx)
	if err != nil {
		return state, err
	}
	if !state.latestHeldUnder(t.lease) {
		return state, fmt.Errorf("leadership: term %d of %d: %w", state.latest.number, t.Number(), ErrDeposed)
	}
	return state, nil
}

// adopt records a term that was issued to this leader, also in the candidate's view.
func (t *Term) adopt(issued issuedTerm) {
	t.setIssued(issued)
	t.candidate.observe(t.candidate.Node, issued.number)
}

// Resign revokes the lease, so that another node can be elected at once. A failure is only
// logged, as the lease then expires after its TTL.
func (t *Term) Resign(ctx context.Context) {
	if err := t.candidate.Store.Revoke(ctx, t.lease); err != nil {
		slog.Info("lease not revoked", "err", err)
	}
}

// latest returns the term last issued to this leader.
func (t *Term) latest() issuedTerm {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.issued
}

// setIssued records a term that was issued to this leader.
func (t *Term) setIssued(issued issuedTerm) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issued = issued
}

// extendValidity records a time before which no other node can be elected, after a renewal of the lease.
// An earlier one than is known is ignored: renewals may be answered out of order.
func (t *Term) extendValidity(validUntil time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if validUntil.After(t.validUntil) {
		t.validUntil = validUntil
	}
}
