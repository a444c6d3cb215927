package controller

// Gangs on a test cluster. The fake agents run them by the platform's rules (fake.Gangs).

import (
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
)

const gangID = "wk-000500"

// gang returns a submission of a gang that saves its progress.
func gang(tasks int, seconds float64) map[string]any {
	m := submission(gangID, job.Gang, tasks, seconds)
	m["stash_every_s"], m["stash_s"] = 10.0, 2.0
	return m
}

// bothWays runs f with and without a change of leader in its middle.
func bothWays(t *testing.T, f func(c *cluster, middle func())) {
	for name, change := range map[string]bool{"one leader": false, "change of leader": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				c.large()
				c.runService(8) // machines are there
				f(c, func() {
					if change {
						c.nextLeader()
					}
				})
			})
		})
	}
}

// runGang submits a gang and waits until it runs.
func (c *cluster) runGang(m map[string]any) {
	c.t.Helper()
	began := c.cloud.Gangs.Counted().Began
	c.accept(10*time.Second, 0, m)
	c.until("gang runs", time.Minute, func() bool { return c.cloud.Gangs.Counted().Began > began })
}

// gangMachines returns the workers that have tasks of the gang.
func (c *cluster) gangMachines() (out []*fake.Agent) {
	for _, w := range c.cloud.Machines() {
		if w.Has(gangID) {
			out = append(out, w)
		}
	}
	return out
}
