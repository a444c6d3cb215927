package controller

// Stored values that cannot be decoded.

import (
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/wire"
)

// replaceStored replaces the value of a key in the store by one that cannot be decoded, while no controller
// runs, and starts the controllers again.
func (c *cluster) replaceStored(key string) {
	c.t.Helper()
	if len(c.store.Keys(key)) == 0 {
		c.t.Fatalf("the store has no key %s", key)
	}
	c.killAll()
	c.store.Put(key, wire.Marshal([]string{"neither a record nor a chunk"}))
	c.startAll()
	c.waitForLeader(20 * time.Second)
}

// Guards against tasks that run twice: a new leader cannot decode a chunk of a job, and takes its tasks for
// waiting ones. The job stays known, and other jobs are served.
func TestUnreadableChunkStartsNothing(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.submit(0, newJob("wk-000001", job.Array, 2, 600))
		c.waitUntilRunningOf("wk-000001", 2, time.Minute)
		c.replaceStored(jobstore.JobKey("wk-000001") + "/000000")
		time.Sleep(time.Minute)
		c.checkStartedOnce()
		for node := range controllers {
			if status := c.status(node, "wk-000001"); status != "pending" && status != "running" {
				t.Errorf("node %d: status %q of the job, want pending or running", node, status)
			}
		}
		c.submit(0, newJob("wk-000002", job.Array, 1, 1))
		c.waitUntil("another job done", time.Minute, c.isDone("wk-000002"))
	})
}

// Guards against the loss of what is known of a job: its record cannot be decoded, and a new leader took its
// chunks for the remains of a job that has ended.
func TestChunksOfUnreadableRecordAreKept(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.submit(0, newJob("wk-000001", job.Array, 2, 600))
		c.waitUntilRunningOf("wk-000001", 2, time.Minute)
		c.replaceStored(jobstore.JobKey("wk-000001"))
		time.Sleep(time.Minute)
		if keys := c.store.Keys(jobstore.JobKey("wk-000001")); len(keys) != 2 {
			t.Errorf("stored keys %q, want those of the record and of its chunk", keys)
		}
	})
}
