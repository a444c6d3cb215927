package controller

// Heartbeats that are missing, late or duplicated, and what a new leader learns from the first ones.

import (
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/job"
)

// A late copy of a heartbeat is no sign of life, neither to the leader that has returned the machine
// nor to a new one, which has never registered it.
func TestDuplicateHeartbeatIsNoSignOfLife(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.submit(0, newJob("wk-000001", job.Array, 8, 5))
		c.waitUntil("array done", time.Minute, c.isDone("wk-000001"))
		copies := heartbeats(c.cloud.Machines())
		c.waitUntil("machines returned", 2*time.Minute, func() bool { return len(c.cloud.Machines()) == 0 })
		deliver := func() {
			for _, body := range copies {
				c.heartbeat(c.leader(), body)
			}
		}
		deliver()
		if n := c.registeredMachines(c.leader()); n > len(copies) {
			t.Errorf("%d machines registered, %d were rented", n, len(copies))
		}
		c.failOver()
		time.Sleep(time.Second)
		deliver()
		begin := time.Now()
		c.submit(c.leader(), newJob("wk-000002", job.Service, 2, 0))
		for time.Since(begin) < 16*time.Second && c.invariants.RunningTasks() < 2 {
			time.Sleep(2 * time.Second)
			deliver()
		}
		// Booting takes 10 s; a start on a machine that is gone would take longer.
		if c.invariants.RunningTasks() < 2 {
			t.Errorf("service not running %v after its submission", time.Since(begin))
		}
	})
}

// Stale heartbeats reach every controller just as a new leader begins, before any current one, or once
// it has started tasks: they bring back nothing that has ended, and end nothing that runs.
func TestNewLeaderIgnoresStaleHeartbeats(t *testing.T) {
	for name, hasStartedTasks := range map[string]bool{"as it begins": false, "once it has started tasks": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				c.waitForElection()
				c.runService(4)
				c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000002", job.Array, 8, 4))
				c.waitUntil("array runs", time.Minute, func() bool { return c.invariants.RunningTasksOf("wk-000002") > 0 })
				stale := heartbeats(c.cloud.Machines()) // with tasks that run now, and without later ones
				c.waitUntil("array done", time.Minute, c.isDone("wk-000002"))
				c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000003", job.Array, 8, 25))
				c.waitUntilRunningOf("wk-000003", 8, time.Minute)
				if !hasStartedTasks {
					c.dropHeartbeats(func(string) bool { return true })
				}
				c.failOver()
				if hasStartedTasks {
					c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000004", job.Array, 2, 25))
					c.waitUntilRunningOf("wk-000004", 2, time.Minute)
				}
				accepted := 0
				for node := range controllers {
					for _, body := range stale {
						if c.requestUnchecked(node, "POST", "/v1/report", body).Status == 200 {
							accepted++
						}
					}
				}
				if accepted == 0 {
					t.Error("the new leader accepted no stale heartbeat")
				}
				time.Sleep(3 * time.Second)
				c.heal()
				c.waitUntil("done", 2*time.Minute, c.isDone("wk-000003"))
				if n := c.invariants.RunningTasksOf("wk-000001"); n != 4 {
					t.Errorf("%d of 4 replicas run", n)
				}
				c.checkStartedOnce()
			})
		})
	}
}

// Heartbeats of machines are lost while commands still reach them: a cancelled task there is gone in
// time, and tasks that the machines could not keep run elsewhere.
func TestCancelOnMachinesWithoutHeartbeats(t *testing.T) {
	for name, all := range map[string]bool{"half of the machines": false, "all machines": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				c.restartWithLargeFleet()
				c.runService(24)
				c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000002", job.Service, 8, 0))
				c.waitUntilRunning(32, time.Minute)
				half := c.halfOfMachinesWithTasks()
				affected := addresses(half)
				if all {
					affected = addresses(c.cloud.Machines())
				}
				requestsBefore := c.network.RequestsTo(half[0].Addr)
				c.dropHeartbeats(func(addr string) bool { return affected[addr] })
				time.Sleep(time.Second)
				c.cancel(1, "wk-000001")
				c.waitUntilGone("wk-000001")
				if c.network.RequestsTo(half[0].Addr) == requestsBefore {
					t.Error("no command was sent to a machine without heartbeats")
				}
				c.heal()
				c.waitUntilRunningOf("wk-000002", 8, 2*time.Minute)
			})
		})
	}
}

// A new leader has had no heartbeat of the machines, while commands reach them: it probes them, and so
// stops cancelled tasks long before the machines would have to be returned.
func TestNewLeaderProbesMachinesWithoutHeartbeats(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithLargeFleet()
		c.runService(24)
		c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000002", job.Service, 8, 0))
		c.waitUntilRunning(32, time.Minute)
		c.dropHeartbeats(isMachine)
		c.failOver()
		c.waitUntil("cancellation confirmed", 10*time.Second, func() bool {
			return c.requestCancel(c.leader(), "wk-000001").Status == 200
		})
		c.waitUntil("cancelled tasks gone", 20*time.Second, func() bool { return c.invariants.RunningTasksOf("wk-000001") == 0 })
		if returned := c.cloud.Returned(); len(returned) > 0 {
			t.Errorf("machines returned: %v", returned)
		}
		c.checkStartedOnce()
	})
}

// A new leader learns from a machine's first heartbeat which images it holds, those of tasks that have
// ended there included.
func TestNewLeaderLearnsImagesFromHeartbeats(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.submit(0, newJob("wk-000001", job.Array, 100, 3).withImage("img-array"))
		c.waitUntil("some tasks done", time.Minute, func() bool { return len(c.invariants.StartsByTask()) >= 20 })
		c.submit(0, newJob("wk-000002", job.Service, 16, 0).withPriority(highPriority)) // all that the team may use
		c.waitUntil("only the service runs", 30*time.Second, func() bool {
			started := 0
			for task := range c.invariants.StartsByTask() {
				if strings.HasPrefix(task, "wk-000002/") {
					started++
				}
			}
			return started == 16 && c.invariants.RunningTasks() == 16
		})
		old := c.leader()
		c.kill(old)
		c.waitForLeader(20 * time.Second)
		time.Sleep(12 * time.Second)
		if c.machinesWithImage(c.leader(), "img-array") == 0 {
			t.Error("no machine is known to hold the image")
		}
		c.start(old)
	})
}
