package leadership

import (
	"testing"
	"time"
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
