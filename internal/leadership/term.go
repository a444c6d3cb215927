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
	mu     sync.Mutex
	number uint64
	rev    uint64
	lease  uint64
	until  time.Time
	c      *Candidate
}

// Number returns the token of this term.
func (r *Term) Number() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.number
}

// Fence returns the condition that every write of this term carries.
func (r *Term) Fence() kvstore.Compare {
	r.mu.Lock()
	defer r.mu.Unlock()
	return kvstore.Compare{Key: TermKey, Revision: r.rev}
}

// Valid tells whether no other node can have been elected: the lease was
// renewed by a request sent less than its time ago, less the clocks' drift.
func (r *Term) Valid() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.until)
}

// Advance takes a new term without giving up leadership. Workers that have seen
// it execute no late copy of a command sent under an earlier one.
func (r *Term) Advance(ctx context.Context) error {
	s, err := r.c.read(ctx)
	if err != nil {
		return err
	}
	if s.holder.Lease != r.lease {
		return fmt.Errorf("leadership: raise: term %d is over", r.Number())
	}
	if s.trev != r.Fence().Revision {
		// An earlier raise that went unanswered was applied after all.
		r.mu.Lock()
		r.number, r.rev = s.term, s.trev
		r.mu.Unlock()
		return nil
	}
	if err := r.c.claim(ctx, r, s); err != nil {
		return err
	}
	r.c.note(r.c.Node, r.Number())
	return nil
}

// Resign ends the lease, so that another node can lead at once.
func (r *Term) Resign(ctx context.Context) {
	if err := r.c.Store.Revoke(ctx, r.lease); err != nil {
		slog.Info("lease not revoked", "err", err)
	}
}

func (c *Candidate) validUntil(sent time.Time) time.Time {
	return sent.Add(c.TTL - time.Duration(float64(c.TTL)*drift))
}
