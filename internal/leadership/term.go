package leadership

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"tulipshelf/internal/kvstore"
)

// drift is the bound on how fast a steady clock may run, doubled.
const drift = 0.001

// Term is one time of being the leader.
type Term struct {
	mu         sync.Mutex
	number     uint64
	revision   uint64
	lease      uint64
	validUntil time.Time
	candidate  *Candidate
}

// Number returns the token of this term.
func (t *Term) Number() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.number
}

// Fence returns the condition that every write of this term carries.
func (t *Term) Fence() kvstore.Compare {
	t.mu.Lock()
	defer t.mu.Unlock()
	return kvstore.Compare{Key: termKey, Revision: t.revision}
}

// Valid tells whether no other node can have been elected: the lease was
// renewed by a request sent less than its time ago, less the clocks' drift.
func (t *Term) Valid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.validUntil)
}

// Advance takes a new term without giving up leadership. Workers that have seen
// it execute no late copy of a command sent under an earlier one.
func (t *Term) Advance(ctx context.Context) error {
	s, err := t.candidate.readState(ctx)
	if err != nil {
		return err
	}
	if s.holder.Lease != t.lease {
		return fmt.Errorf("leadership: raise: term %d is over", t.Number())
	}
	if s.termRevision != t.Fence().Revision {
		// An earlier raise that went unanswered was applied after all.
		t.mu.Lock()
		t.number, t.revision = s.term, s.termRevision
		t.mu.Unlock()
		return nil
	}
	if err := t.candidate.claim(ctx, t, s); err != nil {
		return err
	}
	t.candidate.observe(t.candidate.Node, t.Number())
	return nil
}

// Resign ends the lease, so that another node can lead at once.
func (t *Term) Resign(ctx context.Context) {
	if err := t.candidate.Store.Revoke(ctx, t.lease); err != nil {
		slog.Info("lease not revoked", "err", err)
	}
}

func (c *Candidate) validUntil(sent time.Time) time.Time {
	return sent.Add(c.TTL - time.Duration(float64(c.TTL)*drift))
}
