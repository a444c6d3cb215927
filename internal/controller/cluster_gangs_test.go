package controller

// Gangs on a test cluster. The fake agents run them by the platform's rules (fake.Gangs).

import (
	"fmt"
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
)

const gangID = "wk-000500"

// newGang returns a request for a gang that saves checkpoints.
func newGang(tasks int, seconds float64) jobRequest {
	return newJob(gangID, job.Gang, tasks, seconds).withCheckpoints()
}

// withAndWithoutFailover runs f twice on a large fleet with machines that are up, once with a
// failover where f calls its second argument.
func withAndWithoutFailover(t *testing.T, f func(c *cluster, failOver func())) {
	for name, change := range map[string]bool{"one leader": false, "failover": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				c.restartWithLargeFleet()
				c.runService(8)
				f(c, func() {
					if change {
						c.failOver()
					}
				})
			})
		})
	}
}

// runGang submits a gang and waits until an attempt of it has begun.
func (c *cluster) runGang(r jobRequest) {
	c.t.Helper()
	began := c.cloud.Gangs.Counts().Began
	c.submitUntilAccepted(10*time.Second, 0, r)
	c.waitUntil("gang runs", time.Minute, func() bool { return c.cloud.Gangs.Counts().Began > began })
}

// waitForGangAttempts waits until so many attempts of gangs, of all jobs, have begun.
func (c *cluster) waitForGangAttempts(begun int, limit time.Duration) {
	c.t.Helper()
	c.waitUntil(fmt.Sprintf("%d attempts of gangs have begun", begun), limit, func() bool { return c.cloud.Gangs.Counts().Began == begun })
}

// gangMachines returns the machines that have tasks of the gang.
func (c *cluster) gangMachines() (out []*fake.Agent) {
	for _, machine := range c.cloud.Machines() {
		if machine.HasTasksOf(gangID) {
			out = append(out, machine)
		}
	}
	return out
}
