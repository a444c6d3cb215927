// Campaigning: follow another leader, give way to a preferred node, or claim the next term.

package leadership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/kvstore"
)

const (
	// campaignRetryDelay is about how long a candidate waits after a campaign that failed, so
	// that a store which refuses or has just lost its own leader is not asked all the time.
	campaignRetryDelay = 300 * time.Millisecond

	// followInterval is for how long one watch waits for a change of the leadership. A
	// leader that stays is confirmed this often (Candidate.Confirmed).
	followInterval = 5 * time.Second

	// deferDivisor gives the time, TTL/deferDivisor, for which a candidate lets a
	// preferred one stand first. It is short, as that one may be unable to stand.
	deferDivisor = 4
)

// Run campaigns until ctx ends. While this node leads, it runs lead with a context that
// ends when leadership is lost; leadership ends when lead returns, too. It waits for lead
// before it campaigns again or returns.
func (c *Candidate) Run(ctx context.Context, lead func(context.Context, *Term)) {
	for ctx.Err() == nil {
		term, err := c.campaign(ctx)
		if err != nil {
			slog.Debug("campaign failed", "err", err)
			clock.Sleep(ctx, jitter(campaignRetryDelay))
			continue
		}
		if term == nil {
			continue
		}
		slog.Info("elected", "term", term.Number())
		c.observe(c.Node, term.Number())
		c.keepLeading(ctx, term, lead)
	}
}

// jitter returns about d, from half to one and a half times as long, so that nodes do not
// act in step.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// campaign returns this node's term if it was elected. It returns nil if another node leads
// or should stand first, after it has waited for a change of that.
func (c *Candidate) campaign(ctx context.Context) (*Term, error) {
	state, err := c.readState(ctx)
	if err != nil {
		return nil, err
	}
	switch {
	case state.heldByOther(c.Node):
		return nil, c.follow(ctx, state)
	case c.shouldDefer():
		c.hasDeferred = true
		clock.Sleep(ctx, c.LeaseTTL/deferDivisor)
		return nil, nil
	}
	return c.claimLeadership(ctx, state)
}

// follow waits for a change of the leadership that another node holds, or for
// followInterval.
func (c *Candidate) follow(ctx context.Context, state electionState) error {
	c.hasDeferred = false
	c.mu.Lock()
	c.view.confirm(state.holder.Node, state.holder.Term, time.Now())
	c.mu.Unlock()
	_, _, err := c.Store.Watch(ctx, keyPrefix, state.storeRevision, followInterval)
	return err
}

// shouldDefer reports whether a preferred node should stand before this one, which gives
// way once an election. Without it a node that most machines cannot reach is elected again,
// and the next term is as short as the last (docs/leadership.md, "Left without workers").
func (c *Candidate) shouldDefer() bool {
	return c.PreferOther != nil && !c.hasDeferred && c.PreferOther()
}

// claimLeadership claims the leadership on a new lease. The lease of a claim that failed is
// revoked: if the claim is applied late after all, it would hold the key for a node that
// does not know of it.
func (c *Candidate) claimLeadership(ctx context.Context, state electionState) (*Term, error) {
	sent := time.Now()
	lease, err := c.Store.Grant(ctx, c.LeaseTTL)
	if err != nil {
		return nil, fmt.Errorf("leadership: lease: %w", err)
	}
	issued, err := c.claimNextTerm(ctx, lease, state)
	if err != nil {
		if revokeErr := c.Store.Revoke(context.WithoutCancel(ctx), lease); revokeErr != nil {
			slog.Debug("lease not revoked", "err", revokeErr)
		}
		return nil, err
	}
	return &Term{candidate: c, lease: lease, issued: issued, validUntil: leaseValidUntil(sent, c.LeaseTTL)}, nil
}

// claimNextTerm takes the term after the latest, provided that state still stands.
func (c *Candidate) claimNextTerm(ctx context.Context, lease uint64, state electionState) (issuedTerm, error) {
	next := state.newClaim(c.Node, lease)
	revision, err := c.Store.Txn(ctx, next.compares, next.mutations, kvstore.PriorityLease)
	if errors.Is(err, kvstore.ErrUnknown) {
		revision, err = c.readBack(ctx, next, err)
	}
	if err != nil {
		return issuedTerm{}, fmt.Errorf("leadership: claim: %w", err)
	}
	return issuedTerm{number: next.number, revision: revision}, nil
}

// readBack returns the revision of a claim that went unanswered, if the store shows that it
// was applied, and the claim's own error else.
func (c *Candidate) readBack(ctx context.Context, sent claim, unanswered error) (uint64, error) {
	state, err := c.readState(ctx)
	if err != nil || !state.writtenBy(sent) {
		return 0, unanswered
	}
	return state.latest.revision, nil
}
