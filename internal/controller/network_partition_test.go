package controller

// Partitions between controllers, machines and the key-value store, and requests that the network
// delays or duplicates.

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/job"
)

// A leader that the state service alone refuses learns from its peers that it
// is deposed (seen on a hunted day: it kept its workers for 40 s).
func TestLeaderPartitionedFromStoreStepsDown(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(2)
		old := c.leader()
		c.net.Partition(func(from, to string) bool { return from == nodeAddr(old) && to == stateAddr })
		c.until("old leader stands down", 10*time.Second, func() bool {
			return c.nodes[old].leader.Load() == nil && c.leader() >= 0
		})
		c.until("workers follow", 10*time.Second, func() bool {
			for _, w := range c.cloud.Machines() {
				if w.Up() && w.Token() < 2 {
					return false
				}
			}
			return true
		})
		if got := c.status(old, "wk-000001"); got != "503" {
			t.Errorf("poll on the node cut off: %s, want 503", got)
		}
		if got := c.ask(old, "GET", "/ready", nil).Status; got != 503 {
			t.Errorf("ready on the node cut off: %d, want 503", got)
		}
		c.net.Partition(nil)
		if n := c.referee.StartsByTask()["wk-000001/0"]; n != 1 || c.referee.RunningTasks() != 2 {
			t.Errorf("started %d times, %d on", n, c.referee.RunningTasks())
		}
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

// A node cut off from the leader keeps its workers' leases, so that a cut
// between zones stops nothing (troubles and rough days of kapana-orders).
func TestPartitionedZoneKeepsLeases(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(12)
		c.cutZone()
		time.Sleep(40 * time.Second) // longer than the lease
		c.net.Partition(nil)
		time.Sleep(20 * time.Second)
		if n := c.referee.StartsByTask()["wk-000001/0"]; n != 1 || c.referee.RunningTasks() != 12 {
			t.Errorf("started %d times, %d on", n, c.referee.RunningTasks())
		}
	})
}

// Commands are held up for longer than their sender waits, and carried out then, while
// leaders change and jobs are cancelled.
func TestDelayedCommandsAcrossFailovers(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(4)
		c.net.DelayRequests(func(from, to string) time.Duration {
			if strings.HasPrefix(to, "10.1.") {
				return 6 * time.Second
			}
			return 0
		})
		c.submit(0, submission("wk-000002", job.Array, 8, 5))
		c.submit(0, submission("wk-000003", job.Service, 2, 0))
		time.Sleep(time.Second)
		c.nextLeader()
		c.abort(c.leader(), "wk-000003")
		c.until("array done", 2*time.Minute, c.done("wk-000002"))
		c.nextLeader()
		c.until("cancelled tasks gone", 51*time.Second, func() bool { return c.referee.RunningTasks() == 4 })
		c.net.DelayRequests(nil)
		time.Sleep(20 * time.Second)
		if n := c.referee.RunningTasks(); n != 4 {
			t.Errorf("%d replicas on, 4 wanted", n)
		}
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
