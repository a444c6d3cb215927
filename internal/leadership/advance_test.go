package leadership

import (
	"errors"
	"testing"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/kvstore"
)

// unansweredAdvance has a leader advance its term without a response. The store has applied the advance,
// and an outage prevents the leader from reading it back.
func (c *cluster) unansweredAdvance(term *Term) {
	c.t.Helper()
	c.store.SetFaults(fake.StoreFaults{LoseNextResponses: 1, DownAfterPrefix: keyPrefix})
	if err := term.Advance(c.ctx); !errors.Is(err, kvstore.ErrUnknown) {
		c.t.Fatalf("Advance without a response: error %v, want ErrUnknown", err)
	}
	c.store.SetFaults(fake.StoreFaults{})
}

// Guards against a leader that names an earlier term to the other controllers than the one that it uses: it
// has adopted the term of an advance that was not answered.
func TestAdoptedTermIsNamed(t *testing.T) {
	simulate(t, func(c *cluster) {
		a := c.start("a")
		term := c.awaitElected(a, leaseTTL)
		c.unansweredAdvance(term)
		if err := term.Advance(c.ctx); err != nil {
			t.Fatal(err)
		}
		if leader, number := a.Leader(); leader != "a" || number != term.Number() {
			t.Errorf("a names leader %q of term %d, want \"a\" of its own term %d", leader, number, term.Number())
		}
	})
}
