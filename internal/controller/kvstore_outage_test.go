package controller

// Outages of the key-value store, and a store that answers slowly.

import (
	"testing"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// In an outage of the state service workers keep their leases, nothing starts
// and nobody is told anything that is not durable.
func TestStoreOutageKeepsTasksRunning(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(2)
		c.store.Down(true)
		if got := c.submit(0, submission("wk-000002", job.Array, 1, 1)); got != 503 {
			t.Errorf("submission in an outage: %d", got)
		}
		if got := c.status(1, "wk-000001"); got != "503" {
			t.Errorf("poll in an outage: %s", got)
		}
		time.Sleep(40 * time.Second) // longer than the workers' lease
		for i := range 3 {
			if got := c.ask(i, "GET", "/ready", nil).Status; got != 200 {
				t.Errorf("node %d is not ready in an outage: %d", i, got)
			}
		}
		if c.referee.RunningTasks() != 2 {
			t.Errorf("%d of 2 replicas left", c.referee.RunningTasks())
		}
		c.store.Down(false)
		c.accept(10*time.Second, 0, submission("wk-000002", job.Array, 1, 1))
		c.until("array done", time.Minute, c.done("wk-000002"))
		if n := c.referee.StartsByTask()["wk-000001/0"]; n != 1 {
			t.Errorf("replica started %d times", n)
		}
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

// The state service answers slowly while users cancel and ask: they are answered all the
// same, leases go on, and cancelled tasks are gone in time.
func TestSlowStore(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		c.accept(5*time.Second, 0, submission("wk-000002", job.Service, 4, 0))
		c.until("both run", time.Minute, func() bool { return c.referee.RunningTasks() == 12 })
		c.store.Delay(350 * time.Millisecond)
		time.Sleep(40 * time.Second)
		c.until("cancelled", 10*time.Second, func() bool { return c.ask(1, "POST", "/v1/jobs/wk-000001/abort", nil).Status == 200 })
		answered := 0
		for i := range 20 {
			if s := c.status(i%3, "wk-000002"); s == "running" {
				answered++
			}
			time.Sleep(time.Second)
		}
		if answered < 15 {
			t.Errorf("%d of 20 questions answered", answered)
		}
		if n := c.referee.RunningTasksOf("wk-000001"); n != 0 {
			t.Errorf("%d cancelled tasks on", n)
		}
		c.store.Delay(0)
		if n := c.referee.RunningTasksOf("wk-000002"); n != 4 || c.referee.StartsByTask()["wk-000002/0"] != 1 {
			t.Errorf("%d of 4 replicas on, started %d times", n, c.referee.StartsByTask()["wk-000002/0"])
		}
	})
}
