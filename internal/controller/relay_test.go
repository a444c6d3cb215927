package controller

// The relay through the key-value store, for machines that cannot reach the leader (internal/relay).

import (
	"testing"
	"time"

	"tulipshelf/internal/job"
)

// Guards against the loss of machines and tasks behind a network partition that separates a zone from the
// leader. Without the relay of heartbeats and commands through the store the agents' leases would expire,
// and no command would reach them.
func TestPartitionedZoneServedThroughRelay(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(10)
		c.partitionZone()
		time.Sleep(15 * time.Second)
		c.submit(0, newJob("wk-000002", job.Array, 2, 5))
		c.waitUntil("array done on the partitioned machines", 30*time.Second, c.isDone("wk-000002"))
		c.requestCancel(0, "wk-000001")
		c.waitUntil("service stopped without returning machines", 15*time.Second, func() bool { return c.invariants.RunningTasks() == 0 })
		if got := c.cloud.Returned(); len(got) != 0 {
			t.Errorf("machines %v returned, want none", got)
		}
		c.heal()
	})
}
