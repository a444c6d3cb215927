// Package leadership elects one controller by a leased key in the state
// service. Every election, also of the same node, raises the term; the term is
// the token that workers see and the condition of every write of a leader.
package leadership

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Keys of this slice. They share a prefix so that one read gives both.
const (
	prefix    = "lead/"
	holderKey = "lead/holder" // leased: who leads
	TermKey   = "lead/term"   // persistent: the highest term given out
)

type holder struct {
	Node  string `cbor:"node"`
	Term  uint64 `cbor:"term"`
	Lease uint64 `cbor:"lease"`
}

type termValue struct {
	Term uint64 `cbor:"term"`
}

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

// Candidate takes part in elections for one node.
type Candidate struct {
	Node        string
	TTL         time.Duration
	Store       *kvstore.Client
	PreferOther func() bool // whether another node had better be elected; nil: never

	mu      sync.Mutex
	leader  string
	term    uint64
	seen    time.Time          // when the leader key was last read and named another node
	current *Term              // while this node leads
	depose  context.CancelFunc // ends it
	asking  bool               // whether a higher token that was seen is a term
	yields  bool               // whether this term of leadership ends for another node to lead
	waited  bool               // whether this node has let another go first in this election
}

// Leader returns the name of the node last known to lead and its term. A node names
// itself only while it leads: others may tell it of an earlier process of its own.
func (c *Candidate) Leader() (string, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == c.Node && c.current == nil {
		return "", c.term
	}
	return c.leader, c.term
}

// Confirmed returns the leader and its term if the state service has named them
// within d.
func (c *Candidate) Confirmed(d time.Duration) (leader string, term uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.term, c.leader != "" && time.Since(c.seen) < d
}

func (c *Candidate) note(leader string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term >= c.term {
		c.leader, c.term = leader, term
	}
}

// ObserveTerm takes what another node says of the leadership. A higher term than
// one's own has been given out by an election, so this node leads no more, even
// if it cannot reach the state service to see that for itself.
func (c *Candidate) ObserveTerm(leader string, term uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if term <= c.term {
		return
	}
	c.leader, c.term = leader, term
	if c.current != nil && leader != c.Node {
		slog.Info("leadership lost: another node was elected", "term", c.current.Number(), "leader", leader, "new_term", term)
		c.depose()
	}
}

// TransferLeadership ends this node's term so that another node leads, one that the machines
// can reach.
func (c *Candidate) TransferLeadership() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil {
		c.yields = true
		c.depose()
	}
}

// ObserveToken takes the news that a worker has seen a token above this leader's. Only
// an election gives one out, so this node leads no more, unless the state service says
// that no such term exists. Where it cannot be asked the worker's word stands: a leader
// that is cut off from it and from its peers learns of its successor in no other way.
func (c *Candidate) ObserveToken(ctx context.Context, token uint64) {
	c.mu.Lock()
	r := c.current
	if r == nil || token <= r.Number() || c.asking {
		c.mu.Unlock()
		return
	}
	c.asking = true
	c.mu.Unlock()
	s, err := c.read(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asking = false
	switch {
	case c.current != r:
	case err == nil && s.term < token:
		slog.Error("a worker shows a token that was never given out", "token", token, "term", s.term)
	default:
		slog.Info("leadership lost: a worker has seen a higher token", "term", r.Number(), "token", token)
		c.depose()
	}
}

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
		c.note(c.Node, r.number)
		c.serve(ctx, r, lead)
	}
}

// jitter returns about d, so that nodes do not act in step.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

type standing struct {
	holder holder
	hrev   uint64
	term   uint64
	trev   uint64
	rev    uint64
}

func (c *Candidate) read(ctx context.Context) (standing, error) {
	var s standing
	page, err := c.Store.List(ctx, prefix, "", 10, kvstore.PriorityLease)
	if err != nil {
		return s, err
	}
	s.rev = page.Revision
	for _, it := range page.Items {
		switch it.Key {
		case holderKey:
			s.hrev = it.Revision
			err = wire.Unmarshal(it.Value, &s.holder)
		case TermKey:
			var t termValue
			err = wire.Unmarshal(it.Value, &t)
			s.term, s.trev = t.Term, it.Revision
		}
		if err != nil {
			return s, fmt.Errorf("leadership: %s: %w", it.Key, err)
		}
	}
	return s, nil
}

// campaign returns a term if this node was elected, or nil after waiting for
// a change where another node leads.
func (c *Candidate) campaign(ctx context.Context) (*Term, error) {
	s, err := c.read(ctx)
	if err != nil {
		return nil, err
	}
	// A key that names this node was left by an earlier process of it: a node
	// is one process, so nobody else acts under it, and it is taken over
	// without waiting for the lease to end.
	if s.hrev != 0 && s.holder.Node != c.Node {
		c.note(s.holder.Node, s.holder.Term)
		c.mu.Lock()
		c.seen, c.waited = time.Now(), false
		c.mu.Unlock()
		if _, _, err := c.Store.Watch(ctx, prefix, s.rev, 5*time.Second); err != nil {
			return nil, err
		}
		return nil, nil
	}
	// One that hears most machines goes first, or the next term is as short as the
	// last: after a cut two elections in 12 s, in which services were given up. It has
	// a moment only, as it may not be able to stand.
	if c.PreferOther != nil && !c.waited && c.PreferOther() {
		c.waited = true
		clock.Sleep(ctx, c.TTL/4)
		return nil, nil
	}
	sent := time.Now()
	lease, err := c.Store.Grant(ctx, c.TTL)
	if err != nil {
		return nil, fmt.Errorf("leadership: lease: %w", err)
	}
	r := &Term{c: c, lease: lease, until: c.validUntil(sent)}
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

func (c *Candidate) validUntil(sent time.Time) time.Time {
	return sent.Add(c.TTL - time.Duration(float64(c.TTL)*drift))
}

// claim takes the next term for r, conditioned on s still standing. An
// unanswered claim is read back.
func (c *Candidate) claim(ctx context.Context, r *Term, s standing) error {
	term := s.term + 1
	rev, err := c.Store.Txn(ctx,
		[]kvstore.Compare{{Key: holderKey, Revision: s.hrev}, {Key: TermKey, Revision: s.trev}},
		[]kvstore.Mutation{
			{Put: holderKey, Value: wire.Marshal(holder{c.Node, term, r.lease}), Lease: r.lease},
			{Put: TermKey, Value: wire.Marshal(termValue{term})},
		}, kvstore.PriorityLease)
	if errors.Is(err, kvstore.ErrUnknown) {
		now, rerr := c.read(ctx)
		if rerr == nil && now.holder.Lease == r.lease && now.term == term && now.hrev == now.trev {
			rev, err = now.trev, nil
		}
	}
	if err != nil {
		return fmt.Errorf("leadership: claim: %w", err)
	}
	r.mu.Lock()
	r.number, r.rev = term, rev
	r.mu.Unlock()
	return nil
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

// serve renews the lease while lead runs. A renewal that fails for any reason
// but the lease's end is tried again: in an outage of the state service every
// lease has its full time again afterwards, and no other node can be elected.
func (c *Candidate) serve(ctx context.Context, r *Term, lead func(context.Context, *Term)) {
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.current, c.depose, c.yields = r, cancel, false
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.current = nil
		if c.leader == c.Node {
			c.leader = ""
		}
		c.mu.Unlock()
	}()
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		lead(ctx, r)
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(c.TTL / 4):
		}
		sent := time.Now()
		rctx, stop := context.WithTimeout(ctx, c.TTL/3)
		err := c.Store.Extend(rctx, r.lease)
		stop()
		if errors.Is(err, kvstore.ErrNotFound) {
			slog.Info("leadership lost: lease ended", "term", r.Number())
			break
		}
		if err == nil {
			r.mu.Lock()
			r.until = c.validUntil(sent)
			r.mu.Unlock()
		} else if ctx.Err() == nil {
			slog.Debug("lease not renewed", "term", r.Number(), "err", err)
		}
	}
	cancel()
	<-done
	c.mu.Lock()
	yields := c.yields
	c.mu.Unlock()
	if yields {
		// Nothing is sent under this term any more. The others have until about the
		// lease would have ended; if none of them can lead this node does again.
		r.Resign(outer)
		clock.Sleep(outer, jitter(c.TTL))
	}
}
