package controller

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/wire"
)

// The users' rule: a job begins within four minutes, though work of higher priority,
// or smaller arrays, never cease to wait.
func TestLowPriorityAndLargeJobsNotStarved(t *testing.T) {
	low := submission("wk-900000", job.Array, 40, 10)
	low["rank"] = "best_effort"
	large := submission("wk-900000", job.Array, 2000, 10)
	for name, late := range map[string]map[string]any{"of low priority": low, "large": large} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				time.Sleep(2 * time.Second)
				begin := time.Now()
				c.submit(0, submission("wk-000000", job.Array, 60, 10))
				c.submit(0, late)
				for i := 1; time.Since(begin) < 4*time.Minute; i++ {
					c.submit(i%3, submission(fmt.Sprintf("wk-%06d", i), job.Array, 24, 10))
					time.Sleep(10 * time.Second)
				}
				began := 0
				for task := range c.referee.StartsByTask() {
					if task[:9] == "wk-900000" {
						began++
					}
				}
				if began == 0 {
					t.Error("not begun within four minutes")
				}
			})
		})
	}
}

// The users' rule: once all troubles are over, each job that is asked about is
// answered within 75 s. Here the state service allows fewer requests than there are
// questions, and all come in the same order each time.
func TestAllPollsAnsweredAfterOutage(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.rps = 30
		c.restartAll()
		time.Sleep(2 * time.Second)
		const jobs = 150
		id := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
		for i := range jobs {
			c.accept(time.Minute, i%3, submission(id(i), job.Service, 1, 0))
		}
		c.store.Down(true)
		c.restartAll()
		time.Sleep(30 * time.Second)
		c.store.Down(false)
		var mu sync.Mutex
		answered := map[string]bool{}
		for end := time.Now().Add(75 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Second) {
			for i := range jobs {
				go func() {
					if s := c.status(1, id(i)); s == "pending" || s == "running" {
						mu.Lock()
						defer mu.Unlock()
						answered[id(i)] = true
					}
				}()
				time.Sleep(time.Millisecond)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		if len(answered) != jobs {
			t.Errorf("%d of %d jobs had an answer", len(answered), jobs)
		}
	})
}

// A late copy of a report is no sign of life: neither to the leader that has
// returned the machine nor to a new one, which has never known it.
func TestDuplicateHeartbeatIsNoSignOfLife(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.submit(0, submission("wk-000001", job.Array, 8, 5))
		c.until("array done", time.Minute, c.done("wk-000001"))
		var copies [][]byte
		for _, w := range c.cloud.Machines() {
			copies = append(copies, w.CurrentHeartbeat())
		}
		c.until("machines returned", 2*time.Minute, func() bool { return len(c.cloud.Machines()) == 0 })
		deliver := func() {
			for _, body := range copies {
				c.ask(c.leader(), "POST", "/v1/report", body)
			}
		}
		deliver()
		if n := c.nodes[c.leader()].leader.Load().fleet.Size(); n > len(copies) {
			t.Errorf("%d machines known, %d were rented", n, len(copies))
		}
		c.nextLeader()
		time.Sleep(time.Second)
		deliver()
		begin := time.Now()
		c.submit(c.leader(), submission("wk-000002", job.Service, 2, 0))
		for time.Since(begin) < 16*time.Second && c.referee.RunningTasks() < 2 {
			time.Sleep(2 * time.Second)
			deliver() // ever again
		}
		// Booting takes 10 s; a start on a machine that is not there costs more.
		if c.referee.RunningTasks() < 2 {
			t.Errorf("service not running %v after its submission", time.Since(begin))
		}
	})
}

// A leader that loses the state service and the other controllers, but not its
// workers, goes on answering them. The new leader brings them its token, and the
// old one turns them away.
func TestDeposedLeaderLosesItsWorkers(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		old := c.cutLeader()
		c.until("old leader stands down", 20*time.Second, func() bool { return c.nodes[old].leader.Load() == nil })
		c.until("workers follow", 20*time.Second, func() bool {
			l := c.nodes[c.leader()].leader.Load()
			for _, w := range c.cloud.Machines() {
				if w.Token() < l.term.Number() {
					return false
				}
			}
			return true
		})
		c.submit(c.leader(), submission("wk-000002", job.Service, 4, 0))
		c.until("more replicas run", 20*time.Second, func() bool { return c.referee.RunningTasks() == 12 })
		c.net.Partition(nil)
		c.startedOnce()
	})
}

// A leader is cut off from the state service and its peers, while workers still come to
// it; a job is cancelled through the new one, and then the state service is away for
// longer than a cancelled task may last. The new leader halts it all the same: a
// cancellation that is recorded needs nobody's leave (days of our own: ran_cancelled).
func TestCancelThenStoreOutage(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		old := c.cutLeader()
		time.Sleep(time.Second)
		c.abort((old+1)%3, "wk-000001")
		c.store.Down(true)
		c.until("cancelled tasks gone", 51*time.Second, func() bool { return c.referee.RunningTasks() == 0 })
		c.net.Partition(nil)
		c.store.Down(false)
		c.accept(20*time.Second, 0, submission("wk-000002", job.Array, 2, 5))
		c.until("array done", time.Minute, c.done("wk-000002"))
		c.startedOnce()
	})
}

// cancelWithoutLeader ends the leader, cancels wk-000001 through another node and begins
// an outage, before anybody can be elected.
func (c *cluster) cancelWithoutLeader() (old int) {
	c.t.Helper()
	old = c.leader()
	c.kill(old)
	c.abort((old+1)%3, "wk-000001")
	c.store.Down(true)
	return old
}

// A job is cancelled while nobody leads, and in the outage that follows nobody can be
// elected: the nodes that its workers come to halt what they know to be cancelled.
func TestCancelWithoutLeader(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		old := c.cancelWithoutLeader()
		c.until("cancelled tasks gone", 51*time.Second, func() bool { return c.referee.RunningTasks() == 0 })
		c.start(old)
		c.store.Down(false)
		c.until("answered", 15*time.Second, func() bool { return c.status(old, "wk-000001") == jobstore.StatusCancelled })
	})
}

// A leader elected long after a cancellation halts the tasks where they are; it does not
// return the machines before they had time to report to it. Until then the tasks were kept
// by one that could learn of the cancellation from nobody.
func TestCancelLongBeforeElection(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		old := c.leader()
		c.net.Partition(func(from, to string) bool {
			worker := func(addr string) bool { return strings.HasPrefix(addr, "10.1.") }
			node := func(addr string) bool { return strings.HasPrefix(addr, "10.0.") }
			mine := from == nodeAddr(old) || to == nodeAddr(old) || to == peerAddr(old)
			return mine && !worker(from) && !worker(to) && !strings.HasPrefix(from, "user") || !mine && (worker(from) && node(to) || node(from) && worker(to))
		})
		c.abort((old+1)%3, "wk-000001")
		c.store.Down(true)
		time.Sleep(32 * time.Second)
		if n := c.referee.RunningTasks(); n != 8 {
			t.Errorf("%d of 8 tasks on at the end of the outage", n)
		}
		c.net.Partition(func(from, to string) bool { return from == nodeAddr(old) && to == stateAddr })
		c.store.Down(false)
		c.until("cancelled tasks gone", 15*time.Second, func() bool { return c.referee.RunningTasks() == 0 })
		time.Sleep(3 * time.Second)
		if got := c.cloud.Returned(); len(got) != 0 {
			t.Errorf("returned %v", got)
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

// Controllers that all come back in an outage which outlasts the workers' leases, one
// after the other, know no term, but what each was told of cancellations by those before
// it. A worker that finds nobody else keeps its tasks; it is turned away now and then to
// look for a leader.
func TestAllControllersRestartInStoreOutage(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		time.Sleep(5 * time.Second)
		c.store.Down(true)
		for i := range 3 {
			c.kill(i)
			c.start(i)
			time.Sleep(8 * time.Second)
		}
		for i, want := range []int{200, 421} {
			body := wire.Marshal(agent.Heartbeat{Machine: "vm-000099", Incarnation: 1, Sequence: uint64(i + 1), FencingToken: 1})
			if s := c.ask(0, "POST", "/v1/report", body).Status; s != want {
				t.Errorf("report %d of a worker: %d, want %d", i+1, s, want)
			}
		}
		time.Sleep(70 * time.Second)
		if n := c.referee.RunningTasks(); n != 8 {
			t.Errorf("%d of 8 replicas left", n)
		}
		c.store.Down(false)
		c.submit(0, submission("wk-000002", job.Array, 2, 5))
		c.accept(20*time.Second, 0, submission("wk-000002", job.Array, 2, 5))
		c.until("array done", time.Minute, c.done("wk-000002"))
		c.startedOnce()
	})
}

// A leader that loses its workers, but neither the state service nor its peers, lets
// another node lead, in time for the workers' leases; and takes none of them for deaf
// when what the cut held back arrives.
func TestLeaderPartitionedFromWorkersStepsDown(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(12)
		time.Sleep(20 * time.Second)
		old := c.leader()
		c.net.Partition(func(from, to string) bool {
			return strings.HasPrefix(from, "10.1.") && to == nodeAddr(old) || from == nodeAddr(old) && strings.HasPrefix(to, "10.1.")
		})
		c.until("another leader", 20*time.Second, func() bool { return c.leader() >= 0 && c.leader() != old })
		c.submit(old, submission("wk-000002", job.Array, 2, 5))
		c.until("array done", 30*time.Second, c.done("wk-000002"))
		c.net.Partition(nil)
		time.Sleep(30 * time.Second)
		c.startedOnce()
		if got := c.cloud.Returned(); len(got) != 0 || c.referee.RunningTasks() != 12 {
			t.Errorf("returned %v, %d of 12 replicas on", got, c.referee.RunningTasks())
		}
	})
}

// Where machines reach one node only, and that is not the leader, it leads next, without
// another in between that hears none of them either.
func TestNodeThatReachesWorkersLeadsNext(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(40)
		time.Sleep(10 * time.Second)
		old := c.leader()
		term := c.nodes[old].leader.Load().term.Number()
		heard := (old + 1) % 3
		c.net.Partition(func(from, to string) bool {
			worker := func(addr string) bool { return strings.HasPrefix(addr, "10.1.") }
			node := func(addr string) bool { return strings.HasPrefix(addr, "10.0.") && addr != nodeAddr(heard) }
			return worker(from) && node(to) || node(from) && worker(to)
		})
		c.until("the node that hears them leads", 25*time.Second, func() bool { return c.leader() == heard })
		if now := c.nodes[heard].leader.Load().term.Number(); now != term+1 {
			t.Errorf("term %d after %d", now, term)
		}
		time.Sleep(20 * time.Second)
		c.net.Partition(nil)
		c.startedOnce()
	})
}

// Every request that was carried out arrives again, within a second and after more
// than a lease: reports, commands, transactions, rentals and returns, submissions and
// cancellations, what the controllers tell each other. Jobs run once, stay what users
// were told, and nothing is rented twice.
func TestDuplicatedRequests(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.net.DuplicateRequests(300*time.Millisecond, 5*time.Second, 40*time.Second)
		time.Sleep(2 * time.Second)
		id := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
		for i := range 4 {
			c.submit(i%3, submission(id(i), job.Array, 6, 4))
		}
		c.submit(0, submission(id(4), job.Service, 3, 0))
		c.submit(1, submission(id(5), job.Service, 2, 0))
		for i := range 4 {
			c.until("array done", 2*time.Minute, c.done(id(i)))
		}
		c.until("cancelled", 10*time.Second, func() bool { return c.ask(2, "POST", "/v1/jobs/"+id(4)+"/abort", nil).Status == 200 })
		c.nextLeader()
		c.cutZone()
		time.Sleep(20 * time.Second)
		c.submit(0, submission(id(6), job.Array, 4, 4))
		c.until("array done in a cut", time.Minute, c.done(id(6)))
		c.net.Partition(nil)
		for end := time.Now().Add(2 * time.Minute); time.Now().Before(end); time.Sleep(5 * time.Second) {
			for i, want := range []string{"done", "done", "done", "done", "withdrawn", "running", "done"} {
				if got := c.status(i%3, id(i)); got != want && got != "503" {
					t.Fatalf("%s is %s, was %s", id(i), got, want)
				}
			}
		}
		if on := c.referee.RunningTasks(); on != 2 {
			t.Errorf("%d replicas on, 2 wanted", on)
		}
		c.startedOnce()
	})
}
