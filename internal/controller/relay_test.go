package controller

// Machines that the leader cannot reach are served through the key-value store (internal/relay).

import (
	"testing"
	"time"

	"tulipshelf/internal/job"
)

// Machines on the far side of a cut go on being used: reports and commands go
// through the state service.
func TestPartitionedZoneServedThroughRelay(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(10)
		c.cutZone()
		time.Sleep(15 * time.Second)
		c.submit(0, submission("wk-000002", job.Array, 2, 5))
		c.until("array done on the machines cut off", 30*time.Second, c.done("wk-000002"))
		c.ask(0, "POST", "/v1/jobs/wk-000001/abort", nil)
		c.until("service stopped without returning machines", 15*time.Second, func() bool { return c.referee.RunningTasks() == 0 })
		if got := c.cloud.Returned(); len(got) != 0 {
			t.Errorf("returned %v", got)
		}
		c.net.Partition(nil)
	})
}
