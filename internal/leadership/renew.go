// Leading: the lease is renewed until it is lost or given up.

package leadership

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/kvstore"
)

// Times of renewals, as divisors of the lease's TTL. A renewal that hangs until its time-out
// leaves time for another before the lease expires.
const (
	renewIntervalDivisor = 4
	renewTimeoutDivisor  = 3
)

// clockDriftMargin is the part of a lease's TTL that a leader does not count on: twice the
// bound on the drift of a monotonic clock, as this node's may be slow and the store's fast.
const clockDriftMargin = 0.001

// leaseValidUntil returns until when nobody else can be elected, given that the lease was
// granted or renewed by a request sent then.
func leaseValidUntil(sent time.Time, ttl time.Duration) time.Time {
	return sent.Add(ttl - time.Duration(float64(ttl)*clockDriftMargin))
}

// keepLeading runs lead and renews the lease meanwhile. It returns once lead has returned;
// lead's context ends when leadership is lost or ctx ends.
func (c *Candidate) keepLeading(ctx context.Context, term *Term, lead func(context.Context, *Term)) {
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.view.beginTerm(term, cancel)
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.view.endTerm(c.Node)
		c.mu.Unlock()
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		lead(leadCtx, term)
	}()
	c.renewUntilLost(leadCtx, term)
	cancel()
	<-done
	c.mu.Lock()
	transferring := c.view.transferring()
	c.mu.Unlock()
	if transferring {
		c.completeTransfer(ctx, term)
	}
}

// renewUntilLost renews the lease until it has expired or ctx ends. A renewal that fails for
// any other reason is tried again: after an outage of the key-value store every lease has its
// full time again, so no other node can be elected in it.
func (c *Candidate) renewUntilLost(ctx context.Context, term *Term) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, c.LeaseTTL/renewIntervalDivisor)
		err := c.renew(ctx, term)
		if errors.Is(err, kvstore.ErrNotFound) {
			slog.Info("leadership lost: lease expired", "term", term.Number())
			return
		}
		if err != nil && ctx.Err() == nil {
			slog.Debug("lease not renewed", "term", term.Number(), "err", err)
		}
	}
}

// renew renews the lease once. kvstore.ErrNotFound says that it has expired or was revoked.
func (c *Candidate) renew(ctx context.Context, term *Term) error {
	ctx, cancel := context.WithTimeout(ctx, c.LeaseTTL/renewTimeoutDivisor)
	defer cancel()
	sent := time.Now()
	if err := c.Store.Extend(ctx, term.lease); err != nil {
		return err
	}
	term.setValidUntil(leaseValidUntil(sent, c.LeaseTTL))
	return nil
}

// completeTransfer lets another node be elected. Nothing is sent under the term any more.
// The others have until about when the lease would have expired; if none of them can lead,
// this node campaigns again.
func (c *Candidate) completeTransfer(ctx context.Context, term *Term) {
	term.Resign(ctx)
	clock.Sleep(ctx, jitter(c.LeaseTTL))
}
