package leadership

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/kvstore"
)

// keepLeading renews the lease while lead runs. A renewal that fails for any reason
// but the lease's end is tried again: in an outage of the state service every
// lease has its full time again afterwards, and no other node can be elected.
func (c *Candidate) keepLeading(ctx context.Context, r *Term, lead func(context.Context, *Term)) {
	outer := ctx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	c.current, c.endTerm, c.transferring = r, cancel, false
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
			r.validUntil = c.validUntil(sent)
			r.mu.Unlock()
		} else if ctx.Err() == nil {
			slog.Debug("lease not renewed", "term", r.Number(), "err", err)
		}
	}
	cancel()
	<-done
	c.mu.Lock()
	yields := c.transferring
	c.mu.Unlock()
	if yields {
		// Nothing is sent under this term any more. The others have until about the
		// lease would have ended; if none of them can lead this node does again.
		r.Resign(outer)
		clock.Sleep(outer, jitter(c.TTL))
	}
}
