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
	"tulipshelf/internal/wire"
)

// Run stands for election until ctx ends. While this node leads, it runs lead
// with a context that ends when leadership is lost.
func (c *Candidate) Run(ctx context.Context, lead func(context.Context, *Term)) {
	for ctx.Err() == nil {
		r, err := c.campaign(ctx)
		if err != nil {
			slog.Debug("no leadership", "err", err)
			clock.Sleep(ctx, jitter(300*time.Millisecond))
			continue
		}
		if r == nil {
			continue
		}
		slog.Info("elected", "term", r.number)
		c.observe(c.Node, r.number)
		c.keepLeading(ctx, r, lead)
	}
}

// jitter returns about d, so that nodes do not act in step.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// campaign returns a term if this node was elected, or nil after waiting for
// a change where another node leads.
func (c *Candidate) campaign(ctx context.Context) (*Term, error) {
	s, err := c.readState(ctx)
	if err != nil {
		return nil, err
	}
	// A key that names this node was left by an earlier process of it: a node
	// is one process, so nobody else acts under it, and it is taken over
	// without waiting for the lease to end.
	if s.holderRevision != 0 && s.holder.Node != c.Node {
		c.observe(s.holder.Node, s.holder.Term)
		c.mu.Lock()
		c.confirmedAt, c.backedOff = time.Now(), false
		c.mu.Unlock()
		if _, _, err := c.Store.Watch(ctx, keyPrefix, s.storeRevision, 5*time.Second); err != nil {
			return nil, err
		}
		return nil, nil
	}
	// One that hears most machines goes first, or the next term is as short as the
	// last: after a cut two elections in 12 s, in which services were given up. It has
	// a moment only, as it may not be able to stand.
	if c.PreferOther != nil && !c.backedOff && c.PreferOther() {
		c.backedOff = true
		clock.Sleep(ctx, c.TTL/4)
		return nil, nil
	}
	sent := time.Now()
	lease, err := c.Store.Grant(ctx, c.TTL)
	if err != nil {
		return nil, fmt.Errorf("leadership: lease: %w", err)
	}
	r := &Term{candidate: c, lease: lease, validUntil: c.validUntil(sent)}
	if err := c.claim(ctx, r, s); err != nil {
		// Without the lease's end a claim that is applied late would hold the
		// key for a node that does not know of it.
		if err := c.Store.Revoke(context.WithoutCancel(ctx), lease); err != nil {
			slog.Debug("lease not revoked", "err", err)
		}
		return nil, err
	}
	return r, nil
}

// claim takes the next term for r, conditioned on s still standing. An
// unanswered claim is read back.
func (c *Candidate) claim(ctx context.Context, r *Term, s electionState) error {
	term := s.term + 1
	rev, err := c.Store.Txn(ctx,
		[]kvstore.Compare{{Key: holderKey, Revision: s.holderRevision}, {Key: termKey, Revision: s.termRevision}},
		[]kvstore.Mutation{
			{Put: holderKey, Value: wire.Marshal(holderRecord{c.Node, term, r.lease}), Lease: r.lease},
			{Put: termKey, Value: wire.Marshal(termRecord{term})},
		}, kvstore.PriorityLease)
	if errors.Is(err, kvstore.ErrUnknown) {
		now, rerr := c.readState(ctx)
		if rerr == nil && now.holder.Lease == r.lease && now.term == term && now.holderRevision == now.termRevision {
			rev, err = now.termRevision, nil
		}
	}
	if err != nil {
		return fmt.Errorf("leadership: claim: %w", err)
	}
	r.mu.Lock()
	r.number, r.revision = term, rev
	r.mu.Unlock()
	return nil
}
