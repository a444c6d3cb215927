package controller

// Gangs that compete for machines with each other and with other jobs.

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// A service that needs the capacity of a gang of lower priority preempts the whole gang, and with a
// grace period, so that the gang saves a checkpoint.
func TestGangIsPreemptedWhole(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithCapacity(4, 96)
		c.runGang(newGang(16, 60).withPriority(lowPriority))
		time.Sleep(15 * time.Second)
		c.submitUntilAccepted(10*time.Second, 0, newJob("wk-000002", job.Service, 4, 0).withPriority(highPriority))
		c.waitUntilRunningOf("wk-000002", 4, 30*time.Second)
		if got := c.cloud.Gangs.Counts(); got.Checkpointed != 1 || got.MembersGone != 0 {
			t.Errorf("gang counts %+v, want Checkpointed:1 MembersGone:0", got)
		}
		c.cancel(0, "wk-000002")
		c.waitUntil(gangID+" done", 2*time.Minute, c.isDone(gangID))
	})
}

// Guards against starvation of a large gang: small tasks of the same priority arrive all the time
// and take every CPU that becomes free.
func TestGangNotStarvedBySmallTasks(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithCapacity(6, 96)
		var stop atomic.Bool
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for i := 1; !stop.Load() && i < 400; i++ {
				c.submitUntilAccepted(20*time.Second, i%controllers, newJob(jobID(i), job.Array, 12, 8))
				time.Sleep(3 * time.Second)
			}
		}()
		time.Sleep(40 * time.Second)
		if n := c.invariants.RunningTasks(); n < 20 {
			t.Errorf("%d tasks run, want at least 20: the machines are not full", n)
		}
		c.submitUntilAccepted(10*time.Second, 0, newGang(16, 10))
		c.waitForGangAttempts(1, 40*time.Second)
		stop.Store(true)
		<-ended
		c.waitUntil(gangID+" done", time.Minute, c.isDone(gangID))
	})
}

// Guards against a deadlock of gangs that fit only one after the other: each would hold a part of the
// machines and wait for the rest.
func TestCompetingGangsHoldNoPartialAllocations(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithCapacity(6, 96)
		ids := []string{"wk-000501", "wk-000502", "wk-000503"}
		for i, id := range ids {
			c.submitUntilAccepted(10*time.Second, i, newGang(14, 15).withID(id))
		}
		for !slices.ContainsFunc(ids, func(id string) bool { return c.status(0, id) == jobstore.StatusDone }) {
			gangsWithTasks := 0
			for _, id := range ids {
				if c.invariants.RunningTasksOf(id) > 0 {
					gangsWithTasks++
				}
			}
			if gangsWithTasks > 1 {
				t.Fatalf("%d gangs have tasks on machines that fit one gang, want at most 1", gangsWithTasks)
			}
			time.Sleep(200 * time.Millisecond)
		}
		for _, id := range ids {
			c.waitUntil(id+" done", 3*time.Minute, c.isDone(id))
		}
		if got := c.cloud.Gangs.Counts(); got.Began != 3 || got.Incomplete != 0 {
			t.Errorf("gang counts %+v, want Began:3 Incomplete:0", got)
		}
	})
}

// Guards against starvation of other jobs by capacity that is reserved for anticipated gangs: no job
// waits for long, even while machines are full of earlier jobs.
func TestGangReservationsDoNotStarveOtherJobs(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithCapacity(6, 96)
		c.runGang(newGang(16, 60)) // another gang as large is anticipated after it
		for i := 1; i <= 3; i++ {
			c.submitUntilAccepted(10*time.Second, i%controllers, newJob(jobID(i), job.Array, 8, 600))
		}
		c.submitUntilAccepted(10*time.Second, 0, newJob("wk-000009", job.Array, 2, 600).withPriority(lowPriority))
		for i := 1; i <= 3; i++ {
			c.waitUntil(jobID(i)+" has running tasks", 90*time.Second, func() bool { return c.invariants.RunningTasksOf(jobID(i)) > 0 })
		}
		c.waitUntil("wk-000009, of low priority, has running tasks", 90*time.Second, func() bool { return c.invariants.RunningTasksOf("wk-000009") > 0 })
	})
}

// A gang of high priority preempts as many tasks of lower priority as it needs and no more, and begins
// long before they would have ended (docs/incidents/inc-f015.md).
func TestGangPreemptsNoMoreThanItNeeds(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithCapacity(6, 96)
		c.submitUntilAccepted(10*time.Second, 0, newJob("wk-000002", job.Array, 24, 60))
		c.waitUntilRunning(24, time.Minute)
		time.Sleep(5 * time.Second)
		c.submitUntilAccepted(10*time.Second, 0, newGang(4, 10).withPriority(highPriority))
		c.waitForGangAttempts(1, 10*time.Second)
		if n := c.invariants.RunningTasksOf("wk-000002"); n != 20 {
			t.Errorf("%d of 24 tasks of lower priority run beside the gang, want 20", n)
		}
		c.waitUntil(gangID+" done", 30*time.Second, c.isDone(gangID))
		c.waitUntil("wk-000002 done", 3*time.Minute, c.isDone("wk-000002"))
		if restarts := c.restartsOf("wk-000002"); restarts != 4 {
			t.Errorf("%d restarts of tasks of lower priority, want 4", restarts)
		}
	})
}

// Guards against starvation of gangs of a team that is beyond its guarantee: arrays within another
// team's guarantee fill all machines, one after the other (docs/incidents/inc-82e5.md).
func TestGangBeyondGuaranteeNotStarvedByArrays(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithLargeFleet()
		c.runService(10) // exceeds the team's guarantee
		for i := range 4 {
			c.submitUntilAccepted(10*time.Second, 0, newJob(jobID(100+i), job.Array, 250, 20).ofTeam(teamWithoutMaximum))
		}
		c.waitUntilRunning(96, time.Minute)
		for i := range 3 {
			c.submitUntilAccepted(10*time.Second, i, newGang(8, 10).withID(jobID(500+i)))
		}
		submittedAt := time.Now()
		c.waitForGangAttempts(3, time.Minute)
		if c.startsOf(jobID(103)) == 250 {
			t.Errorf("all 250 tasks of wk-000103 had started when the gangs began, %v after their submission; want some not started", time.Since(submittedAt))
		}
		for i := range 4 {
			c.waitUntil(jobID(100+i)+" done", 5*time.Minute, c.isDone(jobID(100+i)))
		}
	})
}
