package controller

// Outages and slow responses of the key-value store.

import (
	"testing"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// Guards against an outage of the store, longer than a lease, that ends tasks or starts them again.
// Agents keep their leases, nothing starts, and the controllers stay ready. Submissions and queries
// get status 503: no user is answered with anything that is not durable.
func TestStoreOutageKeepsTasksRunning(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(2)
		c.beginStoreOutage()
		if got := c.submit(0, newJob("wk-000002", job.Array, 1, 1)); got != 503 {
			t.Errorf("submission in an outage: status %d, want 503", got)
		}
		if got := c.status(1, "wk-000001"); got != "503" {
			t.Errorf("query in an outage: status %s, want 503", got)
		}
		time.Sleep(40 * time.Second) // longer than the agents' lease
		for i := range controllers {
			if got := c.request(i, "GET", "/ready", nil).Status; got != 200 {
				t.Errorf("readiness of controller %d in an outage: status %d, want 200", i, got)
			}
		}
		if c.invariants.RunningTasks() != 2 {
			t.Errorf("replicas running in an outage: %d, want 2", c.invariants.RunningTasks())
		}
		c.endStoreOutage()
		c.submitUntilAccepted(10*time.Second, 0, newJob("wk-000002", job.Array, 1, 1))
		c.waitUntil("array done", time.Minute, c.isDone("wk-000002"))
		if n := c.invariants.StartsByTask()["wk-000001/0"]; n != 1 {
			t.Errorf("replica 0 was started %d times, want 1", n)
		}
	})
}

// Guards against the loss of all tasks when all controllers restart, one after the other, in an outage
// that outlasts the agents' leases (docs/incidents/inc-008f.md). Afterwards no controller knows a
// term. Each knows only the cancellations that it has received from the others since its restart. An
// agent that finds no leader keeps its tasks. Its heartbeats are refused from time to time, so that it
// looks for a leader.
func TestAllControllersRestartInStoreOutage(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(8)
		time.Sleep(5 * time.Second)
		c.beginStoreOutage()
		for i := range controllers {
			c.restartAfter(i, 0)
			time.Sleep(8 * time.Second)
		}
		for i, want := range []int{200, 421} {
			body := wire.Marshal(agent.Heartbeat{Machine: "vm-000099", Incarnation: 1, Sequence: uint64(i + 1), FencingToken: 1})
			if status := c.heartbeat(0, body); status != want {
				t.Errorf("heartbeat %d of an agent: status %d, want %d", i+1, status, want)
			}
		}
		time.Sleep(70 * time.Second)
		if n := c.invariants.RunningTasks(); n != 8 {
			t.Errorf("replicas running after all controllers have restarted: %d, want 8", n)
		}
		c.endStoreOutage()
		c.submit(0, newJob("wk-000002", job.Array, 2, 5))
		c.submitUntilAccepted(20*time.Second, 0, newJob("wk-000002", job.Array, 2, 5))
		c.waitUntil("array done", time.Minute, c.isDone("wk-000002"))
		c.checkStartedOnce()
	})
}

// The store takes 350 ms longer for each request, while users cancel and query. Most queries are
// answered nevertheless, leases are extended, and cancelled tasks are gone in time.
func TestSlowStore(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(8)
		c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000002", job.Service, 4, 0))
		c.waitUntilRunning(12, time.Minute)
		c.store.SetFaults(fake.StoreFaults{Delay: 350 * time.Millisecond})
		time.Sleep(40 * time.Second)
		c.cancelUntilConfirmed(10*time.Second, 1, "wk-000001")
		answered := 0
		for i := range 20 {
			if c.status(i%controllers, "wk-000002") == "running" {
				answered++
			}
			time.Sleep(time.Second)
		}
		if answered < 15 {
			t.Errorf("%d of 20 queries were answered with status running, want at least 15", answered)
		}
		if n := c.invariants.RunningTasksOf("wk-000001"); n != 0 {
			t.Errorf("cancelled tasks running: %d, want 0", n)
		}
		c.store.SetFaults(fake.StoreFaults{})
		if n := c.invariants.RunningTasksOf("wk-000002"); n != 4 || c.invariants.StartsByTask()["wk-000002/0"] != 1 {
			t.Errorf("replicas running: %d, want 4; replica 0 was started %d times, want 1", n, c.invariants.StartsByTask()["wk-000002/0"])
		}
	})
}
