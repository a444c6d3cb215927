package leadership

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/kvstore"
)

// Guards against controllers that rely on a leader where there is none: a node that has transferred its
// leadership, and pauses so that another can be elected, does not name itself.
func TestNodeIsNotNamedAfterTransfer(t *testing.T) {
	simulate(t, func(c *cluster) {
		a := c.start("a")
		first := c.awaitElected(a, time.Second)
		a.TransferLeadership()
		c.awaitDeposed(a, first, 10*time.Millisecond)
		time.Sleep(leaseTTL / 8)
		if leader, term := a.Leader(); leader != "" || term != first.Number() {
			t.Errorf("a names leader %q of term %d in the pause of its transfer, want none of term %d", leader, term, first.Number())
		}
	})
}

// Guards against a leader that pauses although it holds the lease: the store answers renewals slowly, but
// well within the TTL.
func TestSlowRenewalsKeepTermValid(t *testing.T) {
	simulate(t, func(c *cluster) {
		term := c.awaitElected(c.start("a"), time.Second)
		c.store.SetFaults(fake.StoreFaults{Delay: leaseTTL / 2})
		invalid := 0
		for end := time.Now().Add(10 * leaseTTL); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if !term.Valid() {
				invalid++
			}
		}
		if invalid > 0 {
			t.Errorf("the term was not known to be valid for %d ms of %v", 10*invalid, 10*leaseTTL)
		}
	})
}

// Guards against requests of a leadership that has ended: the loss of the lease ends its renewal.
func TestNoRenewalAfterEnd(t *testing.T) {
	simulate(t, func(c *cluster) {
		a := c.start("a")
		c.awaitElected(a, time.Second)
		a.stop()
		before := c.store.Requests()
		time.Sleep(2 * leaseTTL)
		if sent := c.store.Requests() - before; sent != 0 {
			t.Errorf("%d requests after the end of the candidate, want none", sent)
		}
	})
}

// lossyConn is a connection that loses everything that is written to it while lossy is set.
type lossyConn struct {
	net.Conn
	lossy *atomic.Bool
}

func (c lossyConn) Write(data []byte) (int, error) {
	if c.lossy.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Guards against a leadership that is lost because the open connections to the store no longer carry
// anything, as after a change of a route, while new ones do.
func TestRenewalsUseNewConnectionsAfterLoss(t *testing.T) {
	simulate(t, func(c *cluster) {
		var lossy atomic.Pointer[atomic.Bool] // of the connections that are opened now
		lossy.Store(&atomic.Bool{})
		dial := func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := c.network.Dial("a")(ctx, addr)
			return lossyConn{conn, lossy.Load()}, err
		}
		a := c.start("a", func(candidate *Candidate) { candidate.Store = kvstore.New(dial, storeAddr, 1000, 1000) })
		term := c.awaitElected(a, time.Second)
		c.start("b")
		for range 10 { // other requests of the leader leave several open connections
			go a.Store.List(c.ctx, "test/", "", 1, kvstore.PriorityLease)
		}
		time.Sleep(leaseTTL)
		before := lossy.Swap(&atomic.Bool{})
		before.Store(true)
		time.Sleep(5 * leaseTTL)
		if a.leading.Load() != term || !term.Valid() {
			t.Errorf("leading %t, valid %t after the open connections were lost; want true, true", a.leading.Load() == term, term.Valid())
		}
	})
}

// Guards against a time without a leader at an ordinary stop: a leader that resigns first is followed at
// once, one that does not only after its lease has expired.
func TestResignedLeaderIsFollowedAtOnce(t *testing.T) {
	simulate(t, func(c *cluster) {
		a := c.start("a")
		c.awaitElected(a, time.Second)
		b := c.start("b")
		time.Sleep(leaseTTL)
		a.Resign(c.ctx)
		if keys := c.store.Keys(holderKey); len(keys) != 0 {
			t.Errorf("keys %q after Resign, want none", keys)
		}
		a.stop()
		c.awaitElected(b, leaseTTL/4)
		a.Resign(c.ctx) // returns at once, as a does not lead
	})
}
