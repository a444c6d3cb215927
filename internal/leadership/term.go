// A term of leadership, as the leader's work uses it.

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

// ErrDeposed says that a leader has lost its leadership, as happens in any failover: its lease
// has expired or another node was elected. Term.Advance wraps it. Whoever finds by a failed
// compare of Term.Fence that the leadership is over may return it too, so that this end of a
// leader can be told from a fault.
var ErrDeposed = errors.New("leadership: deposed")

// Term is one leadership of this node: from its election until it is lost, through all the
// numbers that Advance takes meanwhile. Candidate.Run makes it. Its methods may be called
// by any goroutine, also after the leadership has ended.
type Term struct {
	candidate *Candidate // not changed after the election
	lease     uint64     // that the holder's key hangs on; not changed after the election

	mu         sync.Mutex
	issued     issuedTerm // guarded by mu
	validUntil time.Time  // guarded by mu; nobody else can be elected before it
}

// Number returns the term's number, which is the fencing token.
func (t *Term) Number() uint64 { return t.latest().number }

// Fence returns the compare that every write of this term carries. It fails once a newer
// term was issued, also to this leader.
func (t *Term) Fence() kvstore.Compare {
	return kvstore.Compare{Key: termKey, Revision: t.latest().revision}
}

// Valid reports whether no other node can have been elected: the lease was renewed by a
// request sent less than its TTL ago, with a margin for the clocks' drift. It decides only
// whether the leader goes on working; safety rests on Fence and the token.
func (t *Term) Valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.validUntil)
}

// Advance takes a new term without giving up the leadership. Agents that have seen it
// execute no late copy of a command sent under an earlier one.
//
// The error wraps ErrDeposed if the leadership is over, else that of the key-value store.
// After kvstore.ErrUnknown the term may have been taken all the same: the next call adopts
// it, and until then the store may refuse writes under Fence.
func (t *Term) Advance(ctx context.Context) error {
	state, err := t.candidate.readState(ctx)
	if err != nil {
		return err
	}
	switch state.advanceStep(t.lease, t.latest()) {
	case advanceDeposed:
		return fmt.Errorf("leadership: advance term %d: %w", t.Number(), ErrDeposed)
	case advanceWasApplied:
		t.setIssued(state.latest)
		return nil
	}
	issued, err := t.candidate.claimNextTerm(ctx, t.lease, state)
	if err != nil {
		return err
	}
	t.setIssued(issued)
	t.candidate.observe(t.candidate.Node, issued.number)
	return nil
}

// Resign revokes the lease, so that another node can lead at once. A failure is logged: the
// lease expires by itself then.
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

// setIssued takes in that a term was issued to this leader.
func (t *Term) setIssued(issued issuedTerm) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.issued = issued
}

// setValidUntil takes in that the lease was renewed.
func (t *Term) setValidUntil(validUntil time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.validUntil = validUntil
}
