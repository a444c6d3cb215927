package leadership

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

const (
	storeAddr = "10.0.0.1:2379"
	leaseTTL  = 2 * time.Second
)

// cluster is a key-value store with candidates around it, in simulated time.
type cluster struct {
	t       *testing.T
	ctx     context.Context // that everything runs under
	network *fake.Network
	store   *fake.Store
}

func simulate(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stopAll := context.WithCancel(t.Context())
		defer func() {
			stopAll()
			time.Sleep(time.Minute) // for requests that are still on their way
		}()
		c := &cluster{t: t, ctx: ctx, network: fake.NewNetwork(ctx), store: fake.NewStore()}
		go c.network.Serve(ctx, storeAddr, c.store.Handle)
		synctest.Wait()
		test(c)
	})
}

// client returns a client of the store for the host called name.
func (c *cluster) client(name string) *kvstore.Client {
	return kvstore.New(c.network.Dial(name), storeAddr, 1000, 1000)
}

// node is a candidate that runs. Its leader's work does nothing but wait for its end.
type node struct {
	*Candidate
	leading atomic.Pointer[Term] // while its leader's work runs
	stop    context.CancelFunc   // ends the process without a word to anybody
}

func (c *cluster) start(name string, options ...func(*Candidate)) *node {
	n := &node{Candidate: &Candidate{Node: name, LeaseTTL: leaseTTL, Store: c.client(name)}}
	for _, option := range options {
		option(n.Candidate)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	n.stop = cancel
	go n.Run(ctx, func(ctx context.Context, term *Term) {
		n.leading.Store(term)
		<-ctx.Done()
		n.leading.Store(nil)
	})
	return n
}

// awaitElected waits until the node leads and returns its term.
func (c *cluster) awaitElected(n *node, within time.Duration) *Term {
	c.t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if term := n.leading.Load(); term != nil {
			return term
		}
	}
	c.t.Fatalf("%s is not elected within %v", n.Node, within)
	return nil
}

// awaitDeposed waits until the node's term has ended.
func (c *cluster) awaitDeposed(n *node, term *Term, within time.Duration) {
	c.t.Helper()
	for deadline := time.Now().Add(within); n.leading.Load() == term; time.Sleep(10 * time.Millisecond) {
		if !time.Now().Before(deadline) {
			c.t.Fatalf("%s still leads term %d after %v", n.Node, term.Number(), within)
		}
	}
}

// writeUnder returns the error of a write of the term, as a leader makes them.
func (c *cluster) writeUnder(term *Term) error {
	_, err := c.client("writer").Txn(c.ctx, []kvstore.Compare{term.Fence()},
		[]kvstore.Mutation{{Put: "test/key", Value: wire.Marshal(term.Number())}}, kvstore.PriorityUser)
	return err
}

func (c *cluster) wantFenced(term *Term) {
	c.t.Helper()
	var conflict *kvstore.ConflictError
	if err := c.writeUnder(term); !errors.As(err, &conflict) {
		c.t.Errorf("a write of an earlier term: %v, want a conflict", err)
	}
}

func (c *cluster) wantNumber(term *Term, number uint64) {
	c.t.Helper()
	if got := term.Number(); got != number {
		c.t.Errorf("term %d, want %d", got, number)
	}
}

// failover is an election of another node, while the leader that was is cut off from the
// store.
type failover struct {
	deposed       *node
	first, second *Term // of the deposed node and of its successor, "b"
}

func (c *cluster) failover() failover {
	c.t.Helper()
	a := c.start("a")
	first := c.awaitElected(a, time.Second)
	b := c.start("b")
	c.network.SetFaults(fake.NetworkFaults{Partition: func(from, _ string) bool { return from == "a" }})
	return failover{deposed: a, first: first, second: c.awaitElected(b, 2*leaseTTL)}
}

func TestElectionAndFailover(t *testing.T) {
	simulate(t, func(c *cluster) {
		a := c.start("a")
		first := c.awaitElected(a, time.Second)
		c.wantNumber(first, 1)
		if err := c.writeUnder(first); err != nil {
			t.Errorf("the leader's write: %v", err)
		}
		b := c.start("b")
		time.Sleep(time.Second)
		if leader, term, ok := b.Confirmed(2 * time.Second); leader != "a" || term != 1 || !ok {
			t.Errorf("b follows %q of term %d (confirmed: %v)", leader, term, ok)
		}
		a.stop()
		died := time.Now()
		second := c.awaitElected(b, 2*leaseTTL)
		c.wantNumber(second, 2)
		if first.Valid() {
			t.Errorf("two valid terms, %v after the leader's death", time.Since(died))
		}
		c.wantFenced(first)
		if leader, term := b.Leader(); leader != "b" || term != 2 {
			t.Errorf("b names %q of term %d", leader, term)
		}
	})
}

// A node that is back at once does not wait for the lease of its earlier process.
func TestRestartedLeaderTakesOverAtOnce(t *testing.T) {
	simulate(t, func(c *cluster) {
		a := c.start("a")
		first := c.awaitElected(a, time.Second)
		a.stop()
		second := c.awaitElected(c.start("a"), leaseTTL/4)
		c.wantNumber(second, 2)
		c.wantFenced(first)
	})
}

func TestUnansweredClaim(t *testing.T) {
	t.Run("applied", func(t *testing.T) {
		simulate(t, func(c *cluster) {
			c.store.SetFaults(fake.StoreFaults{LoseNextResponses: 1})
			term := c.awaitElected(c.start("a"), 200*time.Millisecond)
			c.wantNumber(term, 1)
			if err := c.writeUnder(term); err != nil {
				t.Errorf("the leader's write: %v", err)
			}
		})
	})
	t.Run("applied late", func(t *testing.T) {
		simulate(t, func(c *cluster) {
			c.store.SetFaults(fake.StoreFaults{HoldNext: 1, HoldPrefix: keyPrefix})
			a := c.start("a")
			time.Sleep(100 * time.Millisecond)
			c.store.ReleaseHeld() // its lease is revoked by now
			term := c.awaitElected(a, time.Second)
			c.wantNumber(term, 1)
			if err := c.writeUnder(term); err != nil {
				t.Errorf("the leader's write: %v", err)
			}
		})
	})
}

func TestRenewal(t *testing.T) {
	simulate(t, func(c *cluster) {
		a, b := c.start("a"), c.start("b", func(b *Candidate) { b.PreferOther = func() bool { return true } })
		term := c.awaitElected(a, time.Second)
		for range 20 {
			time.Sleep(leaseTTL / 2)
			if !term.Valid() || a.leading.Load() != term {
				t.Fatal("the lease is not renewed")
			}
		}
		// No lease expires in an outage, so the leader stays, but it cannot know that.
		c.store.SetFaults(fake.StoreFaults{Down: true})
		time.Sleep(2 * leaseTTL)
		if term.Valid() {
			t.Error("valid without renewals")
		}
		c.store.SetFaults(fake.StoreFaults{})
		time.Sleep(leaseTTL)
		if !term.Valid() || a.leading.Load() != term || b.leading.Load() != nil {
			t.Error("leadership lost by an outage")
		}
	})
}

func TestLossByLeaseExpiry(t *testing.T) {
	simulate(t, func(c *cluster) {
		f := c.failover()
		a, first, second := f.deposed, f.first, f.second
		if first.Valid() {
			t.Error("two valid terms")
		}
		c.network.SetFaults(fake.NetworkFaults{})
		c.awaitDeposed(a, first, leaseTTL)
		if err := first.Advance(c.ctx); !errors.Is(err, ErrDeposed) {
			t.Errorf("advance after the loss: %v, want ErrDeposed", err)
		}
		time.Sleep(leaseTTL)
		if leader, term := a.Leader(); leader != "b" || term != second.Number() {
			t.Errorf("a names %q of term %d", leader, term)
		}
	})
}

func TestAdvance(t *testing.T) {
	simulate(t, func(c *cluster) {
		a := c.start("a")
		term := c.awaitElected(a, time.Second)
		before := term.Fence()
		if err := term.Advance(c.ctx); err != nil {
			t.Fatal(err)
		}
		c.wantNumber(term, 2)
		if term.Fence() == before {
			t.Error("the fence of the term before")
		}
		if err := c.writeUnder(term); err != nil {
			t.Errorf("a write of the new term: %v", err)
		}
		if leader, number := a.Leader(); leader != "a" || number != 2 {
			t.Errorf("a names %q of term %d", leader, number)
		}
	})
}

func TestUnansweredAdvance(t *testing.T) {
	t.Run("read back", func(t *testing.T) {
		simulate(t, func(c *cluster) {
			term := c.awaitElected(c.start("a"), time.Second)
			c.store.SetFaults(fake.StoreFaults{LoseNextResponses: 1})
			if err := term.Advance(c.ctx); err != nil {
				t.Fatal(err)
			}
			c.wantNumber(term, 2)
		})
	})
	t.Run("adopted by the next", func(t *testing.T) {
		simulate(t, func(c *cluster) {
			term := c.awaitElected(c.start("a"), time.Second)
			c.store.SetFaults(fake.StoreFaults{LoseNextResponses: 1, DownAfterPrefix: keyPrefix}) // so that it cannot be read back
			if err := term.Advance(c.ctx); !errors.Is(err, kvstore.ErrUnknown) {
				t.Fatalf("unanswered: %v, want ErrUnknown", err)
			}
			c.wantNumber(term, 1)
			c.store.SetFaults(fake.StoreFaults{})
			if err := term.Advance(c.ctx); err != nil {
				t.Fatal(err)
			}
			c.wantNumber(term, 2)
			if err := c.writeUnder(term); err != nil {
				t.Errorf("a write of the adopted term: %v", err)
			}
		})
	})
}

func TestTransferLeadership(t *testing.T) {
	simulate(t, func(c *cluster) {
		a := c.start("a")
		first := c.awaitElected(a, time.Second)
		b := c.start("b")
		time.Sleep(time.Second)
		a.TransferLeadership()
		c.wantNumber(c.awaitElected(b, leaseTTL/4), 2)
		c.awaitDeposed(a, first, 10*time.Millisecond)
	})
}

// A leader that wants to transfer its leadership takes it again if nobody else does.
func TestTransferToNobody(t *testing.T) {
	simulate(t, func(c *cluster) {
		a := c.start("a")
		first := c.awaitElected(a, time.Second)
		a.TransferLeadership()
		c.awaitDeposed(a, first, 10*time.Millisecond)
		time.Sleep(leaseTTL / 4)
		if a.leading.Load() != nil {
			t.Error("it has given no other node the time to be elected")
		}
		c.wantNumber(c.awaitElected(a, 2*leaseTTL), 2)
	})
}

// A candidate lets a preferred node stand first, but only for a moment.
func TestPreferOther(t *testing.T) {
	preferOther := func(c *Candidate) { c.PreferOther = func() bool { return true } }
	simulate(t, func(c *cluster) {
		a := c.start("a", preferOther)
		time.Sleep(leaseTTL / 8)
		b := c.start("b")
		c.awaitElected(b, leaseTTL/8)
		b.stop()
		for len(c.store.Keys(holderKey)) > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(leaseTTL / 8)
		if a.leading.Load() != nil {
			t.Error("it does not give way in the next election")
		}
		c.awaitElected(a, leaseTTL/4)
	})
	simulate(t, func(c *cluster) {
		a := c.start("a", preferOther)
		time.Sleep(leaseTTL / 4)
		if a.leading.Load() != nil {
			t.Error("the preferred node had no time to stand")
		}
		c.awaitElected(a, leaseTTL/4)
	})
}

// A leader that cannot reach the store learns from a peer that another node was elected.
func TestObserveTerm(t *testing.T) {
	simulate(t, func(c *cluster) {
		f := c.failover()
		a, first, second := f.deposed, f.first, f.second
		a.ObserveTerm("b", first.Number())
		time.Sleep(10 * time.Millisecond)
		if a.leading.Load() != first {
			t.Fatal("deposed by its own term")
		}
		a.ObserveTerm("b", second.Number())
		c.awaitDeposed(a, first, 10*time.Millisecond)
		if leader, term := a.Leader(); leader != "b" || term != second.Number() {
			t.Errorf("a names %q of term %d", leader, term)
		}
	})
}

func TestObserveToken(t *testing.T) {
	const token = 5
	for _, test := range []struct {
		name    string
		prepare func(c *cluster)
		deposed bool
	}{
		{"issued", func(c *cluster) { c.store.Put(termKey, wire.Marshal(termRecord{token})) }, true},
		{"never issued", func(*cluster) {}, false},
		{"store unreachable", func(c *cluster) {
			c.network.SetFaults(fake.NetworkFaults{Partition: func(from, _ string) bool { return from == "a" }})
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				a := c.start("a")
				term := c.awaitElected(a, time.Second)
				test.prepare(c)
				a.ObserveToken(c.ctx, term.Number())
				time.Sleep(10 * time.Millisecond)
				if a.leading.Load() != term {
					t.Fatal("deposed by its own token")
				}
				a.ObserveToken(c.ctx, token)
				time.Sleep(10 * time.Millisecond)
				if deposed := a.leading.Load() != term; deposed != test.deposed {
					t.Errorf("deposed %v, want %v", deposed, test.deposed)
				}
			})
		})
	}
}
