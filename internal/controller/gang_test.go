package controller

// Gangs run whole or not at all, with and without a failover while they run.

import (
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// All tasks of a gang run once and at the same time, and complete together.
func TestGangTasksRunAndCompleteTogether(t *testing.T) {
	withAndWithoutFailover(t, func(c *cluster, failOver func()) {
		c.runGang(newGang(10, 30))
		if n := c.invariants.RunningTasksOf(gangID); n != 10 {
			t.Errorf("%d tasks of the gang run, want 10", n)
		}
		failOver()
		c.waitUntil(gangID+" done", time.Minute, c.isDone(gangID))
		c.checkStartedOnce()
		if got := c.cloud.Gangs.Counts(); got != (fake.GangCounts{Began: 1, Done: 1}) {
			t.Errorf("gang counts %+v, want Began:1 Done:1 and no others", got)
		}
	})
}

// A gang that exceeds its team's maximum is refused. A gang for which other jobs of the team leave
// no quota waits as a whole and holds no capacity.
func TestGangExceedingQuotaIsRefusedOrWaitsWhole(t *testing.T) {
	withAndWithoutFailover(t, func(c *cluster, failOver func()) {
		if status := c.submit(1, newGang(97, 10)); status != 422 {
			t.Errorf("submission of 97 CPUs, more than the maximum of 96: status %d, want 422", status)
		}
		c.submitUntilAccepted(10*time.Second, 0, newJob("wk-000002", job.Service, 80, 0))
		c.waitUntilRunningOf("wk-000002", 80, time.Minute)
		c.submitUntilAccepted(10*time.Second, 0, newGang(12, 10))
		time.Sleep(10 * time.Second)
		failOver()
		time.Sleep(10 * time.Second)
		if n := c.invariants.RunningTasksOf(gangID); n != 0 {
			t.Errorf("%d tasks run of a gang for which the team has no quota left, want 0", n)
		}
		c.cancel(0, "wk-000002")
		c.waitUntil(gangID+" done", 2*time.Minute, c.isDone(gangID))
	})
}

// Guards against a gang that waits incomplete: only some of its start commands reach machines before the
// leader fails. The next leader withdraws the attempt long before the started tasks time out waiting for
// the others, and the gang then runs whole.
func TestGangPartiallyDispatchedThenLeaderFails(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithLargeFleet()
		c.runService(30)
		c.submitUntilAccepted(10*time.Second, 0, newJob("wk-000002", job.Array, 24, 3))
		c.waitUntil("wk-000002 done, machines booted", time.Minute, c.isDone("wk-000002"))
		unreachable := map[string]bool{}
		for i, machine := range c.cloud.Machines() {
			unreachable[machine.Addr] = i%2 == 0
		}
		old := c.leader()
		c.partition(func(from, to string) bool {
			return unreachable[from] && isController(to) || from == nodeAddr(old) && unreachable[to]
		})
		c.submitUntilAccepted(10*time.Second, old, newGang(12, 10))
		c.waitUntil("some, but not all, tasks of the gang on machines", 10*time.Second, func() bool {
			waiting := c.invariants.RunningTasksOf(gangID)
			return waiting > 0 && waiting < 12
		})
		time.Sleep(time.Second)
		c.failOver()
		c.heal()
		failedOverAt := time.Now()
		c.waitForGangAttempts(1, 40*time.Second)
		c.waitUntil(gangID+" done", time.Minute, c.isDone(gangID))
		if got := c.cloud.Gangs.Counts(); got.Incomplete != 0 {
			t.Errorf("%d tasks timed out waiting for the others by %v after the failover, want 0", got.Incomplete, time.Since(failedOverAt))
		}
	})
}

// Guards against a gang that stays recorded in part: transactions that record its starts get no
// response and are applied late, in the term of the leader that sent them. That leader sends no
// start command, and the next leader does not leave the gang in that state.
func TestGangPartiallyRecordedThenLeaderFails(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithLargeFleet()
		c.runService(8)
		c.store.SetFaults(fake.StoreFaults{HoldNext: 20, HoldPrefix: jobstore.JobKey(gangID) + "/"})
		c.submitUntilAccepted(10*time.Second, 0, newGang(8, 10))
		time.Sleep(4 * time.Second)
		if n := c.invariants.RunningTasksOf(gangID); n != 0 {
			t.Errorf("%d tasks run whose starts are not recorded, want 0", n)
		}
		c.store.SetFaults(fake.StoreFaults{})
		old := c.leader()
		c.kill(old)
		c.store.ReleaseHeld()
		c.start(old)
		c.waitUntil(gangID+" done", 90*time.Second, c.isDone(gangID))
		c.checkStartedOnce()
	})
}

// A running gang is cancelled while one of its machines hangs: its tasks are gone by the deadline,
// and it does not start again.
func TestGangCancelledWithHungMachine(t *testing.T) {
	withAndWithoutFailover(t, func(c *cluster, failOver func()) {
		c.runGang(newGang(10, 300))
		c.gangMachines()[0].SetFaults(fake.AgentFaults{Hung: true})
		c.cancel(1, gangID)
		failOver()
		c.waitUntilGone(gangID)
		time.Sleep(time.Minute)
		if n := c.invariants.StartsByTask()[gangID+"/0"]; n != 1 {
			t.Errorf("%s/0 started %d times, want 1", gangID, n)
		}
	})
}

// Guards against stale heartbeats that end a running attempt: a machine restarts, the gang begins a
// second attempt, and heartbeats of the first attempt reach every controller.
func TestGangIgnoresHeartbeatsOfEarlierAttempt(t *testing.T) {
	withAndWithoutFailover(t, func(c *cluster, failOver func()) {
		c.runGang(newGang(10, 40))
		stale := heartbeats(c.gangMachines())
		c.gangMachines()[0].Restart()
		c.waitForGangAttempts(2, time.Minute)
		failOver()
		for node := range controllers {
			for _, body := range stale {
				c.requestUnchecked(node, "POST", "/v1/report", body)
			}
		}
		c.waitUntil(gangID+" done", 2*time.Minute, c.isDone(gangID))
		if got := c.cloud.Gangs.Counts(); got.Began != 2 || got.Done != 1 {
			t.Errorf("gang counts %+v, want Began:2 Done:1", got)
		}
	})
}

// Guards against a completed gang that runs again: its tasks complete together, but one of them cannot
// report it, as its machine is partitioned and then hangs.
func TestGangCompletesWithUnreachableMember(t *testing.T) {
	withAndWithoutFailover(t, func(c *cluster, failOver func()) {
		c.runGang(newGang(10, 15))
		time.Sleep(12 * time.Second)
		partitioned := c.gangMachines()[0]
		c.partitionMachines(func(addr string) bool { return addr == partitioned.Addr })
		c.waitUntil("the attempt completed", 10*time.Second, func() bool { return c.cloud.Gangs.Counts().Done == 1 })
		partitioned.SetFaults(fake.AgentFaults{Hung: true})
		time.Sleep(time.Second)
		failOver()
		c.waitUntil(gangID+" done", 90*time.Second, c.isDone(gangID))
		if got := c.cloud.Gangs.Counts(); got.Began != 1 {
			t.Errorf("gang counts %+v, want Began:1", got)
		}
		c.heal()
	})
}
