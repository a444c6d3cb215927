package controller

// Elections and failovers: the term only grows, and what runs goes on under the next leader.

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/leadership"
	"tulipshelf/internal/wire"
)

// Safety 2: a new leader has a higher term, takes over what runs and restarts
// nothing that may still run.
func TestFailoverKeepsTasksRunning(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.submit(0, submission("wk-000001", job.Array, 8, 40))
		c.until("tasks run", time.Minute, func() bool { return c.referee.RunningTasks() >= 4 })
		old := c.leader()
		term := c.nodes[old].leader.Load().term.Number()
		c.kill(old)
		c.until("another leader", 10*time.Second, func() bool { return c.leader() >= 0 && c.leader() != old })
		if now := c.nodes[c.leader()].leader.Load().term.Number(); now <= term {
			t.Errorf("term %d after %d", now, term)
		}
		c.start(old)
		c.until("array done", 2*time.Minute, c.done("wk-000001"))
		c.startedOnce()
	})
}

// A node's servers find a new term before its loop runs: reports wait for it, and are
// refused if it ends first. One that came in that moment ended the whole process.
func TestHeartbeatsWaitForLeaderLoop(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.until("leader", 10*time.Second, func() bool { return c.leader() >= 0 })
		n := c.nodes[(c.leader()+1)%3]
		ctx, cancel := context.WithCancelCause(context.Background())
		l := newLeader(ctx, n, &leadership.Term{})
		n.leader.Store(l)
		defer n.leader.CompareAndSwap(l, nil)
		var resp wire.Response
		go func() {
			resp = n.report(context.Background(), wire.Marshal(agent.Heartbeat{Machine: "vm-000001", Incarnation: 1, Sequence: 1}))
		}()
		synctest.Wait()
		if len(l.events) == 0 || resp.Status != 0 {
			t.Errorf("%d reports wait, answered %d", len(l.events), resp.Status)
		}
		cancel(nil)
		synctest.Wait()
		if resp.Status != 503 {
			t.Errorf("answered %d", resp.Status)
		}
	})
}

// A report with a token that was never given out deposes nobody.
func TestUnissuedFencingTokenDeposesNobody(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		leader := c.leader()
		lead := c.nodes[leader].leader.Load()
		for i := range 5 {
			body := wire.Marshal(agent.Heartbeat{Machine: "vm-000099", Incarnation: 1, Sequence: uint64(i + 1), FencingToken: 1 << 60})
			if s := c.ask(leader, "POST", "/v1/report", body).Status; s != 421 {
				t.Errorf("answer %d", s)
			}
			time.Sleep(time.Second)
		}
		if c.nodes[leader].leader.Load() != lead {
			t.Error("deposed")
		}
	})
}

// A process that is back at once, in the middle of elections, while claims of the
// earlier ones are still to be applied: no term is used twice.
func TestRestartsDuringElection(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.submit(0, submission("wk-000001", job.Array, 16, 60))
		c.until("tasks run", time.Minute, func() bool { return c.referee.RunningTasks() >= 4 })
		last := c.nodes[c.leader()].leader.Load().term.Number()
		for range 4 {
			node := c.leader()
			c.store.DelayTransactions(1, "lead/")
			c.kill(node)
			c.start(node)
			time.Sleep(200 * time.Millisecond) // its claim is on its way
			c.kill(node)
			c.start(node)
			c.store.Release()
			c.until("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
			term := c.nodes[c.leader()].leader.Load().term.Number()
			if term <= last {
				t.Errorf("term %d after %d", term, last)
			}
			last = term
			time.Sleep(3 * time.Second)
		}
		c.until("array done", 4*time.Minute, c.done("wk-000001"))
		c.startedOnce()
	})
}

// Leaders change ten times in two minutes, also inside an outage, while jobs come and are
// cancelled.
func TestFrequentFailovers(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(6)
		want := map[string]string{}
		first := c.nodes[c.leader()].leader.Load().term.Number()
		begin := time.Now()
		for i := 2; i < 12; i++ {
			c.accept(20*time.Second, i%3, submission(jobID(i), job.Array, 4, 15))
			want[jobID(i)] = jobstore.StatusDone
			if i%3 == 0 {
				c.until("cancelled", 20*time.Second, func() bool { return c.ask(i%3, "POST", "/v1/jobs/"+jobID(i)+"/abort", nil).Status == 200 })
				want[jobID(i)] = c.status(i%3, jobID(i))
			}
			if i == 5 || i == 8 {
				// Two leaders in an outage: the one that ends, and one that finds its own name.
				old := c.leader()
				c.store.Down(true)
				c.kill(old)
				c.start(old)
				time.Sleep(4 * time.Second)
				c.store.Down(false)
				c.until("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
			} else {
				c.nextLeader()
			}
			time.Sleep(time.Until(begin.Add(time.Duration(i-1) * 12 * time.Second)))
		}
		if took := time.Since(begin); took > 125*time.Second {
			t.Errorf("ten changes took %v", took)
		}
		if last := c.nodes[c.leader()].leader.Load().term.Number(); last < first+10 {
			t.Errorf("terms %d to %d", first, last)
		}
		c.over(3*time.Minute, want)
		if n := c.referee.RunningTasksOf("wk-000001"); n != 6 {
			t.Errorf("%d of 6 replicas on", n)
		}
	})
}

// Small jobs whose tasks end far apart, with a change of leader in between: done once all
// tasks are, and neither sooner nor twice.
func TestSmallArraysCompleteOnceAcrossFailovers(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.limit = 4 // so that the third task of each begins when others have ended
		c.restartAll()
		time.Sleep(2 * time.Second)
		id := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
		for i := range 4 {
			c.accept(5*time.Second, i%3, submission(id(i), job.Array, 3, 20))
		}
		for range 3 {
			time.Sleep(15 * time.Second)
			c.nextLeader()
			for i := range 4 {
				ended := 0
				for task := range 3 {
					if c.referee.Ended(fmt.Sprintf("%s/%d", id(i), task)) {
						ended++
					}
				}
				if s := c.status(i%3, id(i)); s == jobstore.StatusDone && ended < 3 {
					t.Errorf("%s is called done with %d of 3 tasks", id(i), ended)
				}
			}
		}
		for i := range 4 {
			c.until("array done", 2*time.Minute, c.done(id(i)))
		}
		c.startedOnce()
	})
}

// All controllers are away for longer than a lease: what ran is lost, nothing that was
// accepted is, and all runs again or is done.
func TestAllControllersDownLongerThanLease(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(6)
		c.accept(5*time.Second, 1, submission("wk-000002", job.Array, 8, 30))
		c.accept(5*time.Second, 1, submission("wk-000003", job.Service, 2, 0))
		c.until("all run", time.Minute, func() bool { return c.referee.RunningTasks() == 16 })
		c.abort(2, "wk-000003")
		for i := range 3 {
			c.kill(i)
		}
		time.Sleep(40 * time.Second)
		if n := c.referee.RunningTasks(); n != 0 {
			t.Errorf("%d tasks on after their leases", n)
		}
		for i := range 3 {
			c.start(i)
		}
		c.until("service whole", time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000001") == 6 })
		c.over(2*time.Minute, map[string]string{"wk-000002": jobstore.StatusDone, "wk-000003": jobstore.StatusCancelled})
		if n := c.referee.StartsByTask()["wk-000003/0"]; n != 1 {
			t.Errorf("a cancelled task was started %d times", n)
		}
	})
}

// A node that was cut off while others wrote more than one response may carry, or more changes
// than the state service keeps, reads the records again and serves within seconds; so does a
// leader, which works on under a new term.
func TestNodeReloadsAfterMissingChanges(t *testing.T) {
	for name, written := range map[string]struct{ changes, bytes int }{
		"more bytes than a response carries": {1000, 6000},
		"more changes than are kept":         {10_500, 10},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				time.Sleep(2 * time.Second)
				c.runService(2)
				cut := c.leader()
				c.net.Partition(func(from, to string) bool { return from == nodeAddr(cut) && to == stateAddr })
				c.until("another leader", 15*time.Second, func() bool { return c.leader() >= 0 && c.leader() != cut })
				before := c.term()
				c.write(written.changes, written.bytes)
				c.net.Partition(nil)
				c.until("the node cut off answers", 10*time.Second, func() bool { return c.status(cut, "wk-000001") == "running" })
				c.accept(10*time.Second, cut, submission("wk-000002", job.Array, 4, 5))
				c.until("done", time.Minute, func() bool { return c.status(cut, "wk-000002") == jobstore.StatusDone })
				if now := c.term(); now > before+2 {
					t.Errorf("terms %d to %d", before, now)
				}
				if n := c.begun("wk-000001"); n != 2 {
					t.Errorf("2 replicas were started %d times", n)
				}
			})
		})
	}
}

// write makes changes at once under the prefix of the records, in values of a size.
func (c *cluster) write(changes, bytes int) {
	c.t.Helper()
	store := kvstore.New(c.net.Dial("writer"), stateAddr, 1e6, 1e6)
	const each = 8
	for i := 0; i < changes; i += each {
		var ops []kvstore.Mutation
		for k := range each {
			ops = append(ops, kvstore.Mutation{Put: fmt.Sprintf("%s%06d", jobstore.JobKey("wk-900000")+"/", i+k), Value: wire.Marshal(strings.Repeat("x", bytes))})
		}
		if _, err := store.Txn(c.t.Context(), nil, ops, kvstore.PriorityLease); err != nil {
			c.t.Fatal(err)
		}
	}
}
