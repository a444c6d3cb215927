// Leading: renewal of the lease until the leadership is lost or transferred.

package leadership

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/kvstore"
)

// renewIntervalDivisor determines the interval at which renewals are sent: the lease's TTL divided by it.
// It is also the maximum number of renewals in flight, as each may take as long as the TTL.
const renewIntervalDivisor = 4

// lateRenewalDivisor determines when the answer to a renewal is late: after the lease's TTL divided by it.
// A renewal sent then on a new connection is answered before the lease expires.
const lateRenewalDivisor = 3

// clockDriftMargin is the fraction of a lease's TTL by which a leader treats the lease as shorter.
// It is twice the bound on the drift of a monotonic clock, as this node's clock may be slow and
// the store's fast.
const clockDriftMargin = 0.001

// leaseValidUntil returns the time before which no other node can be elected. sent is the time
// at which the request that granted or renewed the lease was sent.
func leaseValidUntil(sent time.Time, ttl time.Duration) time.Time {
	return sent.Add(ttl - time.Duration(float64(ttl)*clockDriftMargin))
}

// keepLeading runs lead and renews the lease meanwhile. The context of lead is cancelled when the
// leadership is lost or ctx ends. keepLeading returns after lead has returned and, if the
// leadership ended by a transfer, after the transfer is complete.
func (c *Candidate) keepLeading(ctx context.Context, term *Term, lead func(context.Context, *Term)) {
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.view.beginTerm(term, cancel)
	released := c.view.current.released
	c.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		lead(leadCtx, term)
	}()
	c.renewUntilLost(leadCtx, term)
	cancel()
	<-done
	transferring := c.endTerm()
	if transferring {
		term.Resign(ctx)
	}
	close(released)
	if transferring {
		c.awaitTransfer(ctx)
	}
}

// endTerm records that this node no longer leads, and reports whether it transfers its leadership.
//
// Guards against controllers that rely on a leader where there is none: during the pause of a transfer
// this node would name itself, and the others would not return machines with overdue cancelled tasks.
func (c *Candidate) endTerm() (transferring bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	transferring = c.view.transferring()
	c.view.endTerm(c.Node)
	return transferring
}

// renewUntilLost renews the lease until it has expired or ctx ends. A renewal that fails for any
// other reason is followed by the next: the key-value store restarts every lease with its full TTL after
// an outage, so no other node can be elected during the outage.
//
// Renewals are sent at a fixed interval, whether or not earlier ones have been answered. Guards against
// leaders that pause although they hold the lease: two slow answers in a row would take longer than the
// lease is known to be valid (docs/incidents/slow-renewals.md).
func (c *Candidate) renewUntilLost(ctx context.Context, term *Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for clock.Sleep(ctx, c.LeaseTTL/renewIntervalDivisor) {
		inFlight.Go(func() {
			if c.renewOnce(ctx, term) {
				cancel()
			}
		})
	}
}

// renewOnce renews the lease and reports whether it has been lost.
func (c *Candidate) renewOnce(ctx context.Context, term *Term) (lost bool) {
	err := c.renew(ctx, term)
	switch {
	case err == nil || ctx.Err() != nil:
		return false
	case errors.Is(err, kvstore.ErrNotFound):
		slog.Info("leadership lost: lease expired", "term", term.Number())
		return true
	}
	slog.Debug("lease not renewed", "term", term.Number(), "err", err)
	return false
}

// renew sends one renewal and waits for its answer, at most for the TTL. The error is that of
// kvstore.Client.Extend: kvstore.ErrNotFound means that the lease has expired or was revoked.
//
// If the answer is late, the next renewals use new connections. Guards against a leadership that is lost
// because the open connections no longer carry anything, while new ones do.
func (c *Candidate) renew(ctx context.Context, term *Term) error {
	ctx, cancel := context.WithTimeout(ctx, c.LeaseTTL)
	defer cancel()
	late := time.AfterFunc(c.LeaseTTL/lateRenewalDivisor, c.Store.CloseIdle)
	defer late.Stop()
	sent := time.Now()
	if err := c.Store.Extend(ctx, term.lease); err != nil {
		return err
	}
	term.extendValidity(leaseValidUntil(sent, c.LeaseTTL))
	return nil
}

// awaitTransfer pauses after the lease was revoked, so that another node can be elected. The pause is 0.5 to
// 1.5 times the lease's TTL, and so ends about when the lease would have expired. If no other node has
// been elected by its end, this node campaigns again.
func (c *Candidate) awaitTransfer(ctx context.Context) { clock.Sleep(ctx, jitter(c.LeaseTTL)) }
