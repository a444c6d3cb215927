package leadership

import (
	"testing"
	"time"

	"tulipshelf/internal/fake"
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
