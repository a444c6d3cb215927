package controller

// Machines that the leader cannot reach are served through the key-value store (internal/relay).

import (
	"testing"
	"time"

	"tulipshelf/internal/job"
)

// Machines on the other side of a partition stay in use: their heartbeats and commands go through the
// store.
func TestPartitionedZoneServedThroughRelay(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(10)
		c.partitionZone()
		time.Sleep(15 * time.Second)
		c.submit(0, newJob("wk-000002", job.Array, 2, 5))
		c.waitUntil("array done on the separated machines", 30*time.Second, c.isDone("wk-000002"))
		c.requestCancel(0, "wk-000001")
		c.waitUntil("service stopped without returning machines", 15*time.Second, func() bool { return c.invariants.RunningTasks() == 0 })
		if got := c.cloud.Returned(); len(got) != 0 {
			t.Errorf("returned %v", got)
		}
		c.heal()
	})
}
