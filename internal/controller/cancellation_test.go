package controller

// Cancellations: once a cancellation is confirmed to a user, the tasks of the job are gone within the
// deadline and none of them starts again.

import (
	"sync"
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// Safety rule 6: a cancelled task on a machine that cannot be reached is gone within the deadline,
// also in an outage of the store, because the machine is returned. All machines hang, which looks like
// a network partition, so they are not returned for missing heartbeats alone.
func TestCancelledTasksStopOnHungMachines(t *testing.T) {
	for name, outage := range map[string]bool{"alone": false, "in an outage": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				c.waitForElection()
				c.runService(12)
				c.hangMachines()
				c.cancel(1, "wk-000001")
				if outage {
					c.beginStoreOutage()
				}
				c.waitUntil("cancelled tasks gone", cancelDeadline, func() bool { return c.invariants.RunningTasks() == 0 })
				c.endStoreOutage()
				c.waitUntil("job reported as cancelled", 5*time.Second, func() bool { return c.status(0, "wk-000001") == jobstore.StatusCancelled })
				time.Sleep(time.Minute)
				if n := c.invariants.StartsByTask()["wk-000001/0"]; n != 1 {
					t.Errorf("cancelled task wk-000001/0 was started %d times, want 1", n)
				}
			})
		})
	}
}

// A job is cancelled while there is no leader, and the outage of the store that follows prevents an
// election. The controllers that receive the agents' heartbeats halt the tasks of jobs that they hold
// as cancelled.
func TestCancelWithoutLeader(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(8)
		old := c.leader()
		c.kill(old)
		c.cancel((old+1)%controllers, "wk-000001")
		c.beginStoreOutage()
		c.waitUntil("cancelled tasks gone", cancelDeadline, func() bool { return c.invariants.RunningTasks() == 0 })
		c.start(old)
		c.endStoreOutage()
		c.waitUntil("job reported as cancelled", 15*time.Second, func() bool { return c.status(old, "wk-000001") == jobstore.StatusCancelled })
	})
}

// Guards against a new leader that returns machines with cancelled tasks before the machines have had
// the time to send it a heartbeat. An outage of the store follows the cancellation and delays the
// election by 32 s. During the outage the machines reach only the old leader, which cannot receive the
// cancellation and keeps the tasks running. Afterwards the tasks are halted on the machines.
func TestCancelLongBeforeElection(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(8)
		old := c.leader()
		c.partition(func(from, to string) bool {
			ofOldLeader := from == nodeAddr(old) || to == nodeAddr(old) || to == peerAddr(old)
			if ofOldLeader { // reaches only machines and users
				return !isMachine(from) && !isMachine(to) && !isUser(from)
			}
			return isMachine(from) && isController(to) || isController(from) && isMachine(to)
		})
		c.cancel((old+1)%controllers, "wk-000001")
		c.beginStoreOutage()
		time.Sleep(32 * time.Second)
		if n := c.invariants.RunningTasks(); n != 8 {
			t.Errorf("tasks running at the end of the outage: %d, want 8", n)
		}
		c.partitionFromStore(old)
		c.endStoreOutage()
		c.waitUntil("cancelled tasks gone", 15*time.Second, func() bool { return c.invariants.RunningTasks() == 0 })
		time.Sleep(3 * time.Second)
		if got := c.cloud.Returned(); len(got) != 0 {
			t.Errorf("machines returned: %v, want none", got)
		}
	})
}

// A job is cancelled while the starts of its tasks cannot be recorded. Guards against a cancelled job
// that holds its part of the team's quota: the starts are dropped without being sent, the job ends,
// and other jobs of the team run. Transactions of the job that are applied late do not restore its
// records.
func TestCancelBeforeStartsAreRecorded(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithLargeFleet()
		c.runService(80) // 80 of the 96 CPUs that the team may use
		c.store.SetFaults(fake.StoreFaults{HoldNext: 20, HoldPrefix: jobstore.JobKey("wk-000002") + "/"})
		c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000002", job.Service, 16, 0))
		c.waitUntil("transactions that record the starts held back", 10*time.Second, func() bool { return c.store.Unacknowledged() > 0 })
		c.cancel(1, "wk-000002")
		c.submitUntilAccepted(5*time.Second, 2, newJob("wk-000003", job.Array, 16, 5))
		// Advancing the term would prove that the starts can no longer take effect, but only after half a
		// minute. Starts that were never sent do not need this proof.
		c.waitForStatuses(15*time.Second, map[string]string{"wk-000003": jobstore.StatusDone, "wk-000002": jobstore.StatusCancelled})
		c.waitUntil("end of the job recorded", 20*time.Second, func() bool { return len(c.store.Keys(jobstore.EndKey("wk-000002"))) == 1 })
		if n := c.invariants.StartsByTask()["wk-000002/0"]; n != 0 {
			t.Errorf("cancelled task wk-000002/0 was started %d times, want 0", n)
		}
		c.store.SetFaults(fake.StoreFaults{})
		c.store.ReleaseHeld()
		time.Sleep(5 * time.Second)
		if keys := c.store.Keys(jobstore.JobKey("wk-000002")); len(keys) > 0 {
			t.Errorf("records of the ended job after the late transactions: %v, want none", keys)
		}
	})
}

// Jobs are cancelled during the seconds in which the leadership is transferred from a controller that
// no machine reaches to another. Guards against tasks that are started after the confirmation, and
// against tasks that end only because their machines are returned.
func TestCancelDuringLeadershipTransfer(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithLargeFleet()
		const jobs = 24
		for i := range jobs {
			c.submitUntilAccepted(5*time.Second, i%controllers, newJob(jobID(i), job.Service, 2, 0))
		}
		c.waitUntil("all tasks run", time.Minute, func() bool { return c.invariants.RunningTasks() == 2*jobs })
		time.Sleep(12 * time.Second)
		old := c.leader()
		const delay = 100 * time.Millisecond // keeps starts in flight for a while
		c.store.SetFaults(fake.StoreFaults{Delay: delay})
		c.partitionFromMachines(old)
		cancelledUnder := map[int]int{} // cancellations by leader
		for i := range jobs {
			time.Sleep(500 * time.Millisecond)
			cancelledUnder[c.leader()]++
			c.cancelUntilConfirmed(10*time.Second, i%controllers, jobID(i))
			// A job that is cancelled just after it has been accepted.
			small := newJob(jobID(100+i), job.Array, 8, 60).withResources(0.25, 0.5)
			if i%4 == 0 {
				// The starts of its tasks stay unrecorded.
				c.store.SetFaults(fake.StoreFaults{Delay: delay, HoldNext: 3, HoldPrefix: jobstore.JobKey(jobID(100+i)) + "/"})
			}
			c.submitUntilAccepted(10*time.Second, i%controllers, small)
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			c.cancelUntilConfirmed(10*time.Second, (i+1)%controllers, jobID(100+i))
		}
		if cancelledUnder[old] < 5 || cancelledUnder[old] > jobs-5 {
			t.Errorf("cancellations by leader: %v, want 5 to %d under the old leader %d", cancelledUnder, jobs-5, old)
		}
		c.waitUntil("all tasks stopped, without waiting for machines to be returned", 15*time.Second, func() bool { return c.invariants.RunningTasks() == 0 })
		c.heal()
		c.store.UpdateFaults(func(faults *fake.StoreFaults) { faults.Delay = 0 })
		c.waitUntil("all ends recorded", time.Minute, func() bool { return len(c.store.Keys(jobstore.JobPrefix)) == 0 })
		if n := c.invariants.StartsAfterCancellation(); n != 0 {
			t.Errorf("tasks started after their cancellation was confirmed: %d, want 0", n)
		}
	})
}

// Cancellations, queries and repeated submissions race with the end of a job's last task. Guards
// against two different final statuses in answers to users: the one that is answered first stays.
func TestCancelRacesWithCompletion(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.storeLimits.RPS = 400
		c.restartEach()
		c.waitForElection()
		c.runService(4) // boots machines in advance
		jobsByStatus := map[string]int{}
		for i := 10; i < 60; i++ {
			id := jobID(i)
			request := newJob(id, job.Array, 1, 3)
			c.submitUntilAccepted(10*time.Second, i%controllers, request)
			c.waitUntilRunningOf(id, 1, 20*time.Second)
			if i == 20 {
				c.store.SetFaults(fake.StoreFaults{Delay: 60 * time.Millisecond}) // makes more requests overlap
			}
			// The task takes 3 s. The delay varies by job, so that the requests are sent from just before
			// the end of the task to just after it.
			time.Sleep(3*time.Second - 20*time.Millisecond + time.Duration(i%20)*40*time.Millisecond)
			var wg sync.WaitGroup
			for node := range controllers {
				wg.Add(2)
				go func() {
					defer wg.Done()
					c.requestCancel(node, id)
				}()
				go func() {
					defer wg.Done()
					c.status(node, id)
					c.submit(node, request)
				}()
			}
			wg.Wait()
			c.waitUntil("job has ended", 20*time.Second, func() bool { return progressOf(c.status(i%controllers, id)) == final })
			jobsByStatus[c.status(i%controllers, id)]++
		}
		if jobsByStatus[jobstore.StatusDone] == 0 || jobsByStatus[jobstore.StatusCancelled] == 0 {
			t.Errorf("jobs by final status: %v, want some of each of %s and %s", jobsByStatus, jobstore.StatusDone, jobstore.StatusCancelled)
		}
	})
}

// Guards against a controller without contact to the others that confirms a cancellation while a task
// of the job may still run. The first request gets status 503. A user who asks again is answered
// within seconds, once the tasks are gone.
func TestIsolatedNodeConfirmsCancellationOnlyOnceTasksAreGone(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(8)
		isolated := (c.leader() + 1) % controllers
		c.partitionControllers()
		time.Sleep(2 * time.Second)
		confirmed := func() bool {
			running := c.invariants.RunningTasks()
			if c.status(isolated, "wk-000001") != jobstore.StatusCancelled {
				return false
			}
			if running != 0 {
				t.Errorf("cancellation confirmed by the isolated controller with %d tasks running, want 0", running)
			}
			return true
		}
		first := make(chan int, 1)
		go func() { first <- c.requestCancel(isolated, "wk-000001").Status }()
		c.waitUntil("job reported as cancelled", 10*time.Second, confirmed)
		if status := <-first; status != 503 {
			t.Errorf("first cancellation at the isolated controller: status %d, want 503", status)
		}
		c.cancel(isolated, "wk-000001")
	})
}

// Guards against a new leader that returns machines for tasks of cancelled jobs that are gone already
// (docs/incidents/inc-b469.md). The end of the cancelled job could not be recorded, and the machines
// have not sent the new leader a heartbeat. It learns from the other controllers that the tasks are
// gone.
func TestNewLeaderLearnsEndedCancelledTasksFromPeers(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartWithLargeFleet()
		c.runService(8)
		c.submitUntilAccepted(5*time.Second, 0, newJob("wk-000002", job.Service, 8, 0))
		c.waitUntilRunning(16, time.Minute)
		c.store.SetFaults(fake.StoreFaults{HoldNext: 10_000, HoldPrefix: jobstore.EndKey("")})
		c.cancel(1, "wk-000002")
		c.waitUntilRunning(8, 10*time.Second)
		time.Sleep(45 * time.Second)
		c.dropHeartbeats(isMachine)
		time.Sleep(time.Second)
		returnedBefore := c.cloud.Returned()
		c.failOver()
		time.Sleep(5 * time.Second) // machines without heartbeats are returned only later
		if returned := c.cloud.Returned(); len(returned) > len(returnedBefore) {
			t.Errorf("machines returned after the failover: %v, want none; returned before it: %v", returned[len(returnedBefore):], returnedBefore)
		}
		c.heal()
		c.store.SetFaults(fake.StoreFaults{})
		c.waitForStatuses(20*time.Second, map[string]string{"wk-000002": jobstore.StatusCancelled})
		c.waitUntil("end of the job recorded", 20*time.Second, func() bool { return len(c.store.Keys(jobstore.EndKey("wk-000002"))) == 1 })
	})
}

// A zone with machines and a controller is separated from the rest for longer than a lease, while a
// job with tasks there is cancelled. The cancelled tasks are gone in time. Afterwards the other service
// in the zone runs, and so does the one outside the zone, without being started again.
func TestCancelInPartitionedZone(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartInTwoZones()
		for i, zone := range []string{"b", "b", "a"} {
			c.submitUntilAccepted(5*time.Second, i, newJob(jobID(i), job.Service, 8, 0).inZone(zone))
		}
		c.waitUntilRunning(24, time.Minute)
		c.waitUntil("a leader in zone a", 2*time.Minute, func() bool {
			if c.leader() == 1 {
				c.failOver()
			}
			return c.leader() >= 0 && c.leader() != 1
		})
		time.Sleep(15 * time.Second)
		inside := map[string]bool{nodeAddr(1): true, peerAddr(1): true}
		for _, machine := range c.cloud.Machines() {
			if machine.Zone == "b" {
				inside[machine.Addr] = true
			}
		}
		c.partition(func(from, to string) bool { return inside[from] != inside[to] })
		partitioned := time.Now()
		c.cancel(0, jobID(0))
		c.waitUntilGone(jobID(0))
		time.Sleep(time.Until(partitioned.Add(40 * time.Second)))
		c.heal()
		c.waitUntil("the other services run", 2*time.Minute, func() bool {
			return c.invariants.RunningTasksOf(jobID(1)) == 8 && c.invariants.RunningTasksOf(jobID(2)) == 8
		})
		if n := c.invariants.StartsByTask()[jobID(2)+"/0"]; n != 1 {
			t.Errorf("a replica outside the separated zone was started %d times, want 1", n)
		}
	})
}
