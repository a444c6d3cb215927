package controller

// Cancellations that are confirmed just before the key-value store fails for longer than the deadline
// within which their tasks must be gone.

import (
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// Guards against cancelled tasks that run on until an outage of the store ends. The leader is
// separated from the store and its peers, but not from its machines. A job is cancelled through
// another controller, and then the store fails for longer than the deadline. The next leader halts the
// tasks without the store: a recorded cancellation needs no further confirmation by the store.
func TestCancelThenStoreOutage(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(8)
		old := c.partitionLeader()
		time.Sleep(time.Second)
		c.cancel((old+1)%controllers, "wk-000001")
		c.beginStoreOutage()
		c.waitUntil("cancelled tasks gone", cancelDeadline, func() bool { return c.invariants.RunningTasks() == 0 })
		c.heal()
		c.endStoreOutage()
		c.submitUntilAccepted(20*time.Second, 0, newJob("wk-000002", job.Array, 2, 5))
		c.waitUntil("array done", time.Minute, c.isDone("wk-000002"))
		c.checkStartedOnce()
	})
}

// cancellationOutage describes a further fault that follows a confirmed cancellation and an outage of
// the store.
type cancellationOutage struct {
	name                 string
	leaderIsolated       bool // whether the old leader is separated from its peers too, not only from the store
	storeFailsOnElection bool // whether the store fails only on the next election, before records are read
	inject               func(c *cluster, oldLeader, confirming int)
	otherJobSurvives     bool // whether the tasks of a job that is not cancelled must keep running
}

var cancellationOutages = []cancellationOutage{
	{name: "no further fault", inject: func(*cluster, int, int) {}, otherJobSurvives: true},
	{name: "confirming controller restarts", inject: func(c *cluster, _, confirming int) {
		c.restartAfter(confirming, 3*time.Second)
	}, otherJobSurvives: true},
	{name: "old leader restarts within a second", inject: func(c *cluster, oldLeader, _ int) {
		c.restartAfter(oldLeader, 300*time.Millisecond)
	}, otherJobSurvives: true},
	{name: "old leader isolated", leaderIsolated: true, inject: func(*cluster, int, int) {}, otherJobSurvives: true},
	{name: "old leader isolated, confirming controller restarts", leaderIsolated: true, inject: func(c *cluster, _, confirming int) {
		c.restartAfter(confirming, 3*time.Second)
	}},
	{name: "old leader isolated, both others restart", leaderIsolated: true, inject: func(c *cluster, oldLeader, confirming int) {
		c.restartAfter(confirming, 0)
		c.restartAfter(thirdController(oldLeader, confirming), 0)
	}},
	{name: "machines come to a restarted controller", inject: func(c *cluster, oldLeader, confirming int) {
		c.kill(oldLeader)
		c.kill(confirming)
		time.Sleep(2 * time.Second)
		c.start(confirming)
		time.Sleep(4 * time.Second) // it receives the cancellations that the third controller holds
		c.kill(thirdController(oldLeader, confirming))
	}},
	{name: "all controllers restart", inject: func(c *cluster, _, _ int) {
		c.killAll()
		c.startAll()
	}},
	{name: "machines hang", inject: func(c *cluster, _, _ int) { c.hangMachines() }},
	{name: "machines hang, cloud outage", inject: func(c *cluster, _, _ int) {
		c.hangMachines()
		c.cloud.SetFaults(fake.CloudFaults{Down: true})
		time.Sleep(35 * time.Second)
		c.cloud.SetFaults(fake.CloudFaults{})
	}},
	{name: "machines hang, old leader isolated", leaderIsolated: true, inject: func(c *cluster, _, _ int) { c.hangMachines() }},
	{name: "machines hang, old leader ends", inject: func(c *cluster, oldLeader, _ int) {
		c.hangMachines()
		c.kill(oldLeader)
	}},
	{name: "machines hang, old leader and confirming controller end", inject: func(c *cluster, oldLeader, confirming int) {
		c.hangMachines()
		c.kill(oldLeader)
		c.kill(confirming)
	}},
	{name: "machines hang, next leader has loaded no records", storeFailsOnElection: true, inject: func(c *cluster, oldLeader, _ int) {
		c.hangMachines()
		c.kill(oldLeader)
		c.waitForLeader(10 * time.Second)
		time.Sleep(5 * time.Second)
		if c.hasLoadedRecords(c.leader()) {
			c.t.Error("the next leader has loaded the records, want none loaded in the outage")
		}
	}},
	{name: "machines hang and resume, old leader isolated", leaderIsolated: true, inject: func(c *cluster, _, _ int) {
		c.hangMachines()
		time.Sleep(20 * time.Second)
		c.resumeMachines()
	}},
	{name: "machines are unresponsive", inject: func(c *cluster, _, _ int) {
		for _, machine := range c.cloud.Machines() {
			machine.SetFaults(fake.AgentFaults{DropIncoming: true})
		}
	}},
}

// thirdController returns the number of the controller that is neither a nor b.
func thirdController(a, b int) int { return 0 + 1 + 2 - a - b }

// Guards against cancelled tasks that run past the deadline because the store fails before the old
// leader has read the cancellation. The leader is separated from the store, and another controller
// confirms a cancellation. The store then fails for all controllers, for longer than the deadline,
// while agents still send their heartbeats to the old leader. Whichever further fault follows, the
// tasks are gone in time and do not start again. In the cases with otherJobSurvives, the machines
// respond and a controller that holds the cancellation can distinguish the two jobs. The job that is
// not cancelled must keep running there.
func TestCancelledTasksStopWhenStoreFailsAfterConfirmation(t *testing.T) {
	for _, outage := range cancellationOutages {
		t.Run(outage.name, func(t *testing.T) {
			simulate(t, func(c *cluster) { testCancellationOutage(t, c, outage) })
		})
	}
}

// testCancellationOutage checks the cancellation and the outage with one further fault.
func testCancellationOutage(t *testing.T, c *cluster, outage cancellationOutage) {
	const cancelled, other = "wk-000001", "wk-000002"
	c.waitForElection()
	c.runService(8)
	c.submitUntilAccepted(5*time.Second, 0, newJob(other, job.Service, 4, 0))
	c.waitUntilRunning(12, time.Minute)
	time.Sleep(8 * time.Second)

	oldLeader := c.leader()
	confirming := (oldLeader + 1) % controllers
	if outage.leaderIsolated {
		c.partitionFromStoreAndPeers(oldLeader)
	} else {
		c.partitionFromStore(oldLeader)
	}
	time.Sleep(300 * time.Millisecond)
	c.cancel(confirming, cancelled)
	confirmedAt := time.Now()
	if outage.storeFailsOnElection {
		c.store.SetFaults(fake.StoreFaults{DownAfterPrefix: "lead/holder"})
	} else {
		c.beginStoreOutage()
	}
	if !c.isLeader(oldLeader) {
		t.Error("the old leader has lost the leadership, want it to lead when the store fails")
	}
	outage.inject(c, oldLeader, confirming)

	for c.invariants.RunningTasksOf(cancelled) > 0 {
		if time.Since(confirmedAt) > cancelDeadline {
			t.Fatalf("cancelled tasks running after the deadline of %v: %d, want 0", cancelDeadline, c.invariants.RunningTasksOf(cancelled))
		}
		time.Sleep(100 * time.Millisecond)
	}
	for end := confirmedAt.Add(observationPeriod); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if n := c.invariants.RunningTasksOf(cancelled); n != 0 {
			t.Fatalf("cancelled tasks running again: %d, want 0", n)
		}
	}
	if n, returned := c.invariants.RunningTasksOf(other), c.cloud.Returned(); outage.otherJobSurvives && (n != 4 || len(returned) != 0) {
		t.Errorf("replicas running of the job that is not cancelled: %d, want 4; machines returned: %v, want none", n, returned)
	}

	c.restartEach()
	c.resumeMachines()
	c.heal()
	c.endStoreOutage()
	c.waitUntil("job reported as cancelled", 20*time.Second, func() bool { return c.status(oldLeader, cancelled) == jobstore.StatusCancelled })
	c.waitUntilRunningOf(other, 4, 2*time.Minute)
}

// observationPeriod is the period after a confirmation in which tests look for cancelled tasks. By its
// end, agents that have missed all messages have contacted a controller again or are gone.
const observationPeriod = 63 * time.Second

// Guards against tasks of a cancelled job that are started by commands in flight. The store fails for
// all controllers just after the confirmation. The old leader has recorded the starts, but the
// confirming controller may not have read them yet. Either the commands arrive after the confirmation,
// or they have arrived just before it, the machines hang, and the leader that sent the commands
// crashes.
func TestCancelledStartInFlightStopsWhenStoreFails(t *testing.T) {
	for name, hang := range map[string]bool{"command is delayed": false, "machines hang and the leader ends": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				c.waitForElection()
				c.runService(8)
				old := c.leader()
				running := func() int { return c.invariants.RunningTasksOf("wk-000002") }
				if !hang {
					c.delayCommands(8 * time.Second)
				}
				c.submitUntilAccepted(5*time.Second, old, newJob("wk-000002", job.Service, 4, 0))
				c.waitUntil("starts recorded", 5*time.Second, func() bool { return len(c.store.Keys("job/wk-000002/")) > 0 })
				if hang {
					c.waitUntil("tasks run", 5*time.Second, func() bool { return running() == 4 })
					c.hangMachines()
				}
				c.partitionFromStore(old)
				c.cancel((old+1)%controllers, "wk-000002")
				confirmedAt := time.Now()
				c.beginStoreOutage()
				if hang {
					c.kill(old)
				} else {
					if n := running(); n != 0 {
						t.Fatalf("tasks running before the delayed commands arrive: %d, want 0", n)
					}
					c.waitUntil("delayed starts executed", 12*time.Second, func() bool { return running() > 0 })
				}
				c.waitUntil("cancelled tasks gone", time.Until(confirmedAt.Add(cancelDeadline)), func() bool { return running() == 0 })
				time.Sleep(time.Until(confirmedAt.Add(observationPeriod)))
				if n := running(); n != 0 {
					t.Errorf("cancelled tasks running: %d, want 0", n)
				}
				if hang {
					c.start(old)
				}
			})
		})
	}
}
