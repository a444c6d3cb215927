// Campaigning: following another leader, deferring to a preferred node, claiming the next term.

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
	// campaignRetryDelay is the mean delay after a failed campaign. It limits the request rate
	// on a store that refuses requests or has just lost its own leader.
	campaignRetryDelay = 300 * time.Millisecond

	// followInterval is the maximum duration of one watch for a change of leadership, and so
	// the interval at which an unchanged leader is confirmed (Candidate.ConfirmedLeader).
	followInterval = 5 * time.Second

	// deferDivisor determines the delay of a candidate that defers to a preferred one: the lease's
	// TTL divided by deferDivisor. The delay is short, as the preferred candidate may be unable to
	// campaign.
	deferDivisor = 4
)

// Run campaigns for leadership until ctx ends. When this node is elected, Run calls lead in
// another goroutine, with a context that is cancelled when the leadership is lost or ctx ends.
// The leadership also ends when lead returns. Run waits for lead to return before it campaigns
// again or returns.
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

// jitter returns a random duration from 0.5 to 1.5 times d, so that nodes do not act in step.
// It panics unless d is positive.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// campaign tries once to have this node elected and returns its term. It returns nil without an
// error in two cases. If another node leads, campaign first waits for a change of leadership, at
// most for followInterval. If this node defers to a preferred one, campaign first waits for the
// delay that deferDivisor determines.
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

// follow records the leader that state names, which is another node, and waits up to
// followInterval for a change of leadership. It permits this node to defer in the next election.
// The error is that of kvstore.Client.Watch.
func (c *Candidate) follow(ctx context.Context, state electionState) error {
	c.hasDeferred = false
	c.mu.Lock()
	c.view.confirm(state.holder.Node, state.holder.Term, time.Now())
	c.mu.Unlock()
	_, _, err := c.Store.Watch(ctx, keyPrefix, state.storeRevision, followInterval)
	return err
}

// shouldDefer reports whether this node should let a preferred node campaign first. A node
// defers at most once per election. Guards against short terms in a row: a node that most
// machines cannot reach would be elected again, and its next term would be as short as the last
// (docs/leadership.md, "Left without workers").
func (c *Candidate) shouldDefer() bool {
	return c.PreferOther != nil && !c.hasDeferred && c.PreferOther()
}

// claimLeadership claims the leadership with a new lease and returns the node's term. If the
// claim fails, claimLeadership revokes the lease. Guards against a claim without a response that
// the store has applied, or applies later: the holder's key would name a node that does not act
// as the leader.
func (c *Candidate) claimLeadership(ctx context.Context, state electionState) (*Term, error) {
	sent := time.Now()
	lease, err := c.Store.Grant(ctx, c.LeaseTTL)
	if err != nil {
		return nil, fmt.Errorf("leadership: grant lease of %v: %w", c.LeaseTTL, err)
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

// claimNextTerm takes the term after the latest one in state, and attaches the holder's key to
// lease. It fails if either key has changed since state was read. The error wraps that of
// kvstore.Client.Txn; after kvstore.ErrUnknown the claim may have been applied.
func (c *Candidate) claimNextTerm(ctx context.Context, lease uint64, state electionState) (issuedTerm, error) {
	next := state.newClaim(c.Node, lease)
	revision, err := c.Store.Txn(ctx, next.compares, next.mutations, kvstore.PriorityLease)
	if errors.Is(err, kvstore.ErrUnknown) {
		revision, err = c.readBack(ctx, next, err)
	}
	if err != nil {
		return issuedTerm{}, fmt.Errorf("leadership: claim term %d: %w", next.number, err)
	}
	return issuedTerm{number: next.number, revision: revision}, nil
}

// readBack reads from the store whether a claim without a response was applied, and returns the
// claim's revision if so. Otherwise, or if the read fails, it returns unanswered, the error
// of the claim itself.
func (c *Candidate) readBack(ctx context.Context, sent claim, unanswered error) (uint64, error) {
	state, err := c.readState(ctx)
	if err != nil || !state.writtenBy(sent) {
		return 0, unanswered
	}
	return state.latest.revision, nil
}
