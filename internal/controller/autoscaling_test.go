package controller

// The autoscaler: how many machines are rented, and what happens while the cloud does not serve.

import (
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
)

// Arrays of tiny tasks do not have machines rented for their number, to which those of
// larger tasks would then be entitled.
func TestSmallTasksDoNotOverprovision(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.anew(60, 1000)
		tiny := submission("wk-000002", job.Array, 800, 20)
		tiny["cpus"], tiny["ram_gb"] = 0.25, 0.5
		c.submit(0, submission("wk-000001", job.Array, 150, 20))
		c.submit(0, tiny)
		c.until("tiny tasks done", 3*time.Minute, c.done("wk-000002"))
		c.until("array done", 3*time.Minute, c.done("wk-000001"))
		if n := len(c.cloud.Machines()) + len(c.cloud.Returned()); n > 52 {
			t.Errorf("%d machines of 4 CPUs rented", n)
		}
		c.startedOnce()
	})
}

// A new leader that has rented machines goes on renting while they boot.
func TestScaleOutWhileMachinesBoot(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.cloud.Change(func(cl *fake.Cloud) { cl.Lag = 4 * time.Second })
		c.until("ready", 3*time.Second, func() bool { return c.submit(0, submission("wk-000001", job.Service, 4, 0)) == 201 })
		c.until("a machine rented", 3*time.Second, func() bool { return len(c.cloud.Machines()) > 0 })
		c.accept(time.Second, 0, submission("wk-000002", job.Service, 12, 0))
		c.until("more rented", 3*time.Second, func() bool { return len(c.cloud.Machines()) >= 4 })
	})
}

// While the cloud does not serve, nodes that start take submissions with the
// machine types that were kept, and what runs goes on.
func TestSubmissionsAcceptedInCloudOutage(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(2)
		time.Sleep(time.Minute) // the leader reads the catalog once a minute
		c.cloud.Down(true)
		c.restartAll()
		c.until("a submission is taken", 15*time.Second, func() bool {
			return c.submit(0, submission("wk-000002", job.Array, 2, 5)) == 201
		})
		c.until("array done on the machines there are", time.Minute, c.done("wk-000002"))
		c.cloud.Down(false)
		if n := c.referee.StartsByTask()["wk-000001/0"]; n != 1 {
			t.Errorf("replica started %d times", n)
		}
	})
}
