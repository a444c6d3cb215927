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

// cluster is a key-value store and its candidates on a simulated network, in simulated time.
type cluster struct {
	t       *testing.T
	ctx     context.Context // context of all candidates and servers
	network *fake.Network
	store   *fake.Store
}

// simulate runs test with a new cluster, and stops the cluster when test returns.
func simulate(t *testing.T, test func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stopAll := context.WithCancel(t.Context())
		defer func() {
			stopAll()
			time.Sleep(time.Minute) // lets requests in flight end
		}()
		c := &cluster{t: t, ctx: ctx, network: fake.NewNetwork(ctx), store: fake.NewStore()}
		go c.network.Serve(ctx, storeAddr, c.store.Handle)
		synctest.Wait()
		test(c)
	})
}

// client returns a client of the store that sends from the host with the given name.
func (c *cluster) client(name string) *kvstore.Client {
	return kvstore.New(c.network.Dial(name), storeAddr, 1000, 1000)
}

// node is a running candidate whose lead function only waits for the end of the leadership.
type node struct {
	*Candidate
	leading atomic.Pointer[Term] // term for which the lead function runs; nil if none
	stop    context.CancelFunc   // stops the candidate without revoking its lease, as a crash does
}

// start starts a candidate with the given name, after the options have changed its fields.
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

// awaitElected waits until the node leads and returns its term, or fails the test after the given time.
func (c *cluster) awaitElected(n *node, within time.Duration) *Term {
	c.t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if term := n.leading.Load(); term != nil {
			return term
		}
	}
	c.t.Fatalf("%s was not elected within %v", n.Node, within)
	return nil
}

// awaitDeposed waits until the node no longer leads the term, or fails the test after the given time.
func (c *cluster) awaitDeposed(n *node, term *Term, within time.Duration) {
	c.t.Helper()
	for deadline := time.Now().Add(within); n.leading.Load() == term; time.Sleep(10 * time.Millisecond) {
		if !time.Now().Before(deadline) {
			c.t.Fatalf("%s still leads term %d after %v", n.Node, term.Number(), within)
		}
	}
}

// writeUnder writes a key with the fence of the term, as a leader does, and returns the error.
func (c *cluster) writeUnder(term *Term) error {
	_, err := c.client("writer").Txn(c.ctx, []kvstore.Compare{term.Fence()},
		[]kvstore.Mutation{{Put: "test/key", Value: wire.Marshal(term.Number())}}, kvstore.PriorityUser)
	return err
}

// wantFenced checks that the store rejects a write of the term, which must not be the latest.
func (c *cluster) wantFenced(term *Term) {
	c.t.Helper()
	var conflict *kvstore.ConflictError
	if err := c.writeUnder(term); !errors.As(err, &conflict) {
		c.t.Errorf("write under an earlier term: error %v, want a ConflictError", err)
	}
}

func (c *cluster) wantNumber(term *Term, number uint64) {
	c.t.Helper()
	if got := term.Number(); got != number {
		c.t.Errorf("term number is %d, want %d", got, number)
	}
}

// failover is the state once a successor is elected; the former leader is still cut off from the store.
type failover struct {
	deposed       *node
	first, second *Term // terms of the deposed node and of its successor, "b"
}

// failover partitions the leader "a" from the store and waits until "b" is elected.
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
			t.Errorf("write of the leader: %v", err)
		}
		b := c.start("b")
		time.Sleep(time.Second)
		if leader, term, ok := b.ConfirmedLeader(2 * time.Second); leader != "a" || term != 1 || !ok {
			t.Errorf("b follows %q, term %d, confirmed %v; want \"a\", term 1, confirmed", leader, term, ok)
		}
		a.stop()
		died := time.Now()
		second := c.awaitElected(b, 2*leaseTTL)
		c.wantNumber(second, 2)
		if first.Valid() {
			t.Errorf("term 1 is still valid after the election of term 2, %v after the leader's crash", time.Since(died))
		}
		c.wantFenced(first)
		if leader, term := b.Leader(); leader != "b" || term != 2 {
			t.Errorf("b names leader %q of term %d, want \"b\" of term 2", leader, term)
		}
	})
}

// Guards against a needless wait after a restart: the lease of the earlier process would block the
// election until it expires. The restarted leader replaces its own key at once.
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
				t.Errorf("write of the leader: %v", err)
			}
		})
	})
	t.Run("applied late", func(t *testing.T) {
		simulate(t, func(c *cluster) {
			c.store.SetFaults(fake.StoreFaults{HoldNext: 1, HoldPrefix: keyPrefix})
			a := c.start("a")
			time.Sleep(100 * time.Millisecond)
			c.store.ReleaseHeld() // the candidate has already revoked the claim's lease
			term := c.awaitElected(a, time.Second)
			c.wantNumber(term, 1)
			if err := c.writeUnder(term); err != nil {
				t.Errorf("write of the leader: %v", err)
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
				t.Fatal("leadership lost or lease not renewed without faults")
			}
		}
		// No lease expires during an outage of the store, so the leader keeps the leadership. It cannot
		// observe that, so its term is not valid.
		c.store.SetFaults(fake.StoreFaults{Down: true})
		time.Sleep(2 * leaseTTL)
		if term.Valid() {
			t.Error("term is valid though the lease could not be renewed for twice its TTL")
		}
		c.store.SetFaults(fake.StoreFaults{})
		time.Sleep(leaseTTL)
		if !term.Valid() || a.leading.Load() != term || b.leading.Load() != nil {
			t.Error("the outage of the store ended or changed the leadership")
		}
	})
}

func TestLossByLeaseExpiry(t *testing.T) {
	simulate(t, func(c *cluster) {
		f := c.failover()
		a, first, second := f.deposed, f.first, f.second
		if first.Valid() {
			t.Error("the first term is still valid after the election of the second")
		}
		c.network.SetFaults(fake.NetworkFaults{})
		c.awaitDeposed(a, first, leaseTTL)
		if err := first.Advance(c.ctx); !errors.Is(err, ErrDeposed) {
			t.Errorf("Advance after the loss of leadership: error %v, want ErrDeposed", err)
		}
		time.Sleep(leaseTTL)
		if leader, term := a.Leader(); leader != "b" || term != second.Number() {
			t.Errorf("a names leader %q of term %d, want \"b\" of term %d", leader, term, second.Number())
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
			t.Error("Advance did not change the fence")
		}
		if err := c.writeUnder(term); err != nil {
			t.Errorf("write under the new term: %v", err)
		}
		if leader, number := a.Leader(); leader != "a" || number != 2 {
			t.Errorf("a names leader %q of term %d, want \"a\" of term 2", leader, number)
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
			// The outage after the transaction makes the read-back of the claim fail.
			c.store.SetFaults(fake.StoreFaults{LoseNextResponses: 1, DownAfterPrefix: keyPrefix})
			if err := term.Advance(c.ctx); !errors.Is(err, kvstore.ErrUnknown) {
				t.Fatalf("Advance without a response: error %v, want ErrUnknown", err)
			}
			c.wantNumber(term, 1)
			c.store.SetFaults(fake.StoreFaults{})
			if err := term.Advance(c.ctx); err != nil {
				t.Fatal(err)
			}
			c.wantNumber(term, 2)
			if err := c.writeUnder(term); err != nil {
				t.Errorf("write under the adopted term: %v", err)
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

// Guards against a cluster without a leader after a transfer: the only candidate is elected again.
func TestTransferToNobody(t *testing.T) {
	simulate(t, func(c *cluster) {
		a := c.start("a")
		first := c.awaitElected(a, time.Second)
		a.TransferLeadership()
		c.awaitDeposed(a, first, 10*time.Millisecond)
		time.Sleep(leaseTTL / 4)
		if a.leading.Load() != nil {
			t.Error("a was elected again before another node had time to be elected")
		}
		c.wantNumber(c.awaitElected(a, 2*leaseTTL), 2)
	})
}

// In each election a candidate defers briefly to a preferred node, which may be unable to campaign.
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
			t.Error("a did not defer to the preferred node in the next election")
		}
		c.awaitElected(a, leaseTTL/4)
	})
	simulate(t, func(c *cluster) {
		a := c.start("a", preferOther)
		time.Sleep(leaseTTL / 4)
		if a.leading.Load() != nil {
			t.Error("a was elected before the preferred node had time to campaign")
		}
		c.awaitElected(a, leaseTTL/4)
	})
}

// Guards against a leader, cut off from the store, that works on after a peer reports its successor.
func TestObserveTerm(t *testing.T) {
	simulate(t, func(c *cluster) {
		f := c.failover()
		a, first, second := f.deposed, f.first, f.second
		a.ObserveTerm("b", first.Number())
		time.Sleep(10 * time.Millisecond)
		if a.leading.Load() != first {
			t.Fatal("a was deposed by the number of its own term")
		}
		a.ObserveTerm("b", second.Number())
		c.awaitDeposed(a, first, 10*time.Millisecond)
		if leader, term := a.Leader(); leader != "b" || term != second.Number() {
			t.Errorf("a names leader %q of term %d, want \"b\" of term %d", leader, term, second.Number())
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
					t.Fatal("a was deposed by its own fencing token")
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
