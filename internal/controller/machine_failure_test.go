package controller

// Machines that fail, hang, restart, do not respond or are about to be terminated.

import (
	"slices"
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
)

// A machine is returned on which tasks fail that succeed elsewhere.
func TestFailingMachineIsReturned(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(6)
		machine := c.cloud.Machines()[0] // with the fewest tasks, so that it gets more
		for _, other := range c.cloud.Machines() {
			if other.TaskCount() < machine.TaskCount() {
				machine = other
			}
		}
		machine.SetFaults(fake.AgentFaults{FailTasks: true})
		for i := range 4 {
			c.submit(0, newJob(jobID(10+i), job.Array, 4, 5))
		}
		c.waitUntilReturned(machine, 30*time.Second)
		c.waitUntil("the service runs", 30*time.Second, func() bool { return c.invariants.RunningTasks() >= 6 })
	})
}

// A machine with a termination notice is drained: services move at once, tasks with checkpoints save
// before the machine is taken, the others run on.
func TestTerminationNoticeDrainsMachine(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.submit(0, newJob("wk-000001", job.Service, 1, 0))
		c.submit(0, newJob("wk-000002", job.Array, 1, 300).withCheckpoints())
		c.submit(0, newJob("wk-000003", job.Array, 1, 40))
		c.waitUntilRunning(3, time.Minute)
		noticedAt := time.Now()
		for _, machine := range c.cloud.Machines() {
			machine.AnnounceTermination(30 * time.Second)
		}
		c.waitUntil("service moved", 25*time.Second, func() bool { return c.invariants.StartsByTask()["wk-000001/0"] == 2 })
		if c.invariants.StartsByTask()["wk-000002/0"] != 1 || time.Since(noticedAt) > 20*time.Second {
			t.Errorf("task with checkpoints was moved %v after the notice", time.Since(noticedAt))
		}
		c.waitUntil("task with checkpoints moved", 40*time.Second, func() bool { return c.invariants.StartsByTask()["wk-000002/0"] == 2 })
		c.waitUntil("other task done where it was", time.Minute, func() bool { return c.invariants.Completed("wk-000003/0") })
		if n := c.invariants.StartsByTask()["wk-000003/0"]; n != 1 {
			t.Errorf("task without checkpoints was started %d times", n)
		}
	})
}

// A machine looks healthy of which heartbeats arrive while responses and commands do not reach it. It
// is detected, gets no more tasks, and its own run elsewhere once it is returned.
func TestUnresponsiveMachineIsReturned(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(8)
		// With one controller left, the agent comes back to it soon after each heartbeat that it
		// takes for unanswered, so that it is never silent for long.
		leader := c.leader()
		c.kill((leader + 1) % controllers)
		c.kill((leader + 2) % controllers)
		withTasks := c.machinesWithTasks()
		unresponsive := withTasks[len(withTasks)-1]
		unresponsive.SetFaults(fake.AgentFaults{DropIncoming: true})
		c.submit(leader, newJob("wk-000002", job.Service, 8, 0))
		c.waitUntilReturned(unresponsive, 45*time.Second)
		c.waitUntilRunning(16, 30*time.Second)
	})
}

// All machines become unresponsive at the same moment: as no response comes back, their heartbeats go
// from one controller to the next. They are detected and returned, and their tasks run on others.
func TestAllUnresponsiveMachinesAreReplaced(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(8)
		unresponsive := c.cloud.Machines()
		for _, machine := range unresponsive {
			machine.SetFaults(fake.AgentFaults{DropIncoming: true})
		}
		c.waitUntil("the service runs on other machines", 3*time.Minute, func() bool {
			for _, machine := range unresponsive {
				if machine.HasTasksOf("wk-000001") {
					return false
				}
			}
			return c.invariants.RunningTasksOf("wk-000001") == 8
		})
	})
}

// The leader ends while machines with services are unresponsive to the next one.
func TestFailoverWithUnresponsiveMachines(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithLargeFleet()
		c.runService(40)
		for i, machine := range c.cloud.Machines() {
			if i%4 == 0 {
				machine.SetFaults(fake.AgentFaults{DropIncoming: true})
			}
		}
		c.failOver()
		time.Sleep(agentLease)
		c.waitUntilRunning(40, time.Minute)
	})
}

// A machine restarts at once, under its name and with a new incarnation: what ran on it starts again.
// It resembles an unresponsive one whose lease has expired, but it responds.
func TestRestartedMachineIsKept(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(12)
		machine := c.cloud.Machines()[0]
		machine.Restart()
		c.waitUntilRunning(12, 15*time.Second)
		time.Sleep(15 * time.Second)
		if got := c.cloud.Returned(); slices.Contains(got, machine.Name) {
			t.Errorf("returned %v", got)
		}
	})
}

// A machine that hangs is given up as soon as its heartbeats cease and it answers no probe, not only
// after the time in which a machine that is merely partitioned may come back.
func TestHungMachineIsReturnedPromptly(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithLargeFleet()
		c.runService(40)
		time.Sleep(10 * time.Second)
		machine := c.cloud.Machines()[0]
		machine.SetFaults(fake.AgentFaults{Hung: true})
		c.waitUntilReturned(machine, 13*time.Second)
	})
}

// When all machines are separated for a while, those whose last heartbeat is the oldest are not taken
// for lost.
func TestPartitionedMachinesAreKept(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithLargeFleet()
		c.runService(80)
		time.Sleep(10 * time.Second)
		c.partitionMachines(isMachine)
		time.Sleep(11 * time.Second)
		c.heal()
		time.Sleep(20 * time.Second)
		if got := c.cloud.Returned(); len(got) != 0 {
			t.Errorf("returned %v", got)
		}
		c.checkStartedOnce()
	})
}
