package controller

// Transactions on the key-value store whose responses are lost, or that the store applies late.

import (
	"testing"
	"time"

	"tulipshelf/internal/config"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// Safety rule 1: a transaction without a response is acknowledged to a user only after its result has
// been read back. Guards against tasks that start twice because a delayed submission is applied after
// the user's retry.
func TestUnacknowledgedTransactionsAreReadBack(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.store.SetFaults(fake.StoreFaults{LoseNextResponses: 1})
		if got := c.submit(0, newJob("wk-000001", job.Array, 4, 5)); got != 200 {
			t.Errorf("submission that is applied without a response: status %d, want 200 after reading back", got)
		}
		c.store.SetFaults(fake.StoreFaults{HoldNext: 1, HoldPrefix: jobstore.JobKey("wk-000002")})
		if got := c.submit(0, newJob("wk-000002", job.Array, 4, 5)); got != 503 {
			t.Errorf("submission that is delayed: status %d, want 503", got)
		}
		if got := c.status(1, "wk-000002"); got != "404" {
			t.Errorf("query for a job that is not accepted yet: status %s, want 404", got)
		}
		if got := c.submit(1, newJob("wk-000002", job.Array, 4, 5)); got != 201 {
			t.Errorf("retry of the delayed submission: status %d, want 201", got)
		}
		c.store.ReleaseHeld()
		c.store.SetFaults(fake.StoreFaults{LoseNextResponses: 2}) // affects the leader's own writes
		c.waitUntil("first job done", 2*time.Minute, c.isDone("wk-000001"))
		c.waitUntil("second job done", 2*time.Minute, c.isDone("wk-000002"))
		c.checkStartedOnce()
	})
}

// Guards against answers to users that contradict each other because transactions are applied at once but
// their responses are lost. This affects about half of all transactions: submissions, cancellations,
// starts, ends and elections. Meanwhile other controllers read what was written and answer users with it.
func TestLostTransactionResponses(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.store.SetFaults(fake.StoreFaults{LoseOneResponseIn: 2})
		want := map[string]string{}
		for i := range 30 {
			id := jobID(i)
			accepted := make(chan struct{})
			go func() {
				defer close(accepted)
				c.submitUntilAccepted(time.Minute, i%controllers, newJob(id, job.Array, 3, 4))
			}()
			c.waitUntil("job found by another controller", time.Minute, func() bool { return c.status((i+1)%controllers, id) != "404" })
			<-accepted
			want[id] = jobstore.StatusDone
			if i%4 == 1 {
				c.cancelUntilConfirmed(time.Minute, (i+2)%controllers, id)
				c.waitUntil("final status reported", time.Minute, func() bool { return progressOf(c.status(i%controllers, id)) == final })
				want[id] = c.status(i%controllers, id)
			}
			if i%8 == 7 {
				c.failOver()
			}
		}
		c.store.SetFaults(fake.StoreFaults{})
		if n := c.store.Unacknowledged(); n < 15 {
			t.Errorf("transactions without a response: %d, want at least 15", n)
		}
		c.waitForStatuses(2*time.Minute, want)
	})
}

// One in four transactions has no response and is applied seconds later, after newer ones of the same
// controller. Meanwhile jobs are submitted, end and are cancelled, and the leader changes. Every job is
// reported as cancelled if it was reported so before, and otherwise as done.
func TestDelayedTransactionsAcrossFailovers(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.store.SetFaults(fake.StoreFaults{DelayOneWriteIn: 4})
		cancelled := map[int]bool{}
		for i := range 12 {
			c.submitUntilAccepted(time.Minute, i%controllers, newJob(jobID(i), job.Array, 2, 8))
			if i%3 == 2 {
				c.cancelUntilConfirmed(time.Minute, 0, jobID(i))
				cancelled[i] = c.status((i+1)%controllers, jobID(i)) == jobstore.StatusCancelled
			}
			if i%5 == 4 {
				c.failOver()
			}
		}
		c.store.SetFaults(fake.StoreFaults{})
		time.Sleep(15 * time.Second) // until the last delayed transactions have been applied
		for i := range 12 {
			want := jobstore.StatusDone
			if cancelled[i] {
				want = jobstore.StatusCancelled
			}
			c.waitUntil(jobID(i)+" "+want, 3*time.Minute, func() bool { return c.status(i%controllers, jobID(i)) == want })
		}
	})
}

// Guards against tasks that run before their start is recorded. Machines boot in half a second, so
// they are ready for tasks while the transactions that record the starts are delayed. The leader then
// crashes, and the delayed transactions are applied under the next one.
func TestDelayedTransactionsOnFastBootingMachines(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.cloud.Change(func(cloud *fake.Cloud) { cloud.Type.BootS, cloud.Capacity = 0.5, 24 })
		c.waitForElection()
		c.store.SetFaults(fake.StoreFaults{DelayOneWriteIn: 3})
		want := map[string]string{}
		for i := range 6 {
			submittedAt := time.Now()
			c.store.SetFaults(fake.StoreFaults{DelayOneWriteIn: 3, HoldNext: 20, HoldPrefix: jobstore.JobKey(jobID(i)) + "/"})
			c.submitUntilAccepted(time.Minute, i%controllers, newJob(jobID(i), job.Array, 8, 6))
			want[jobID(i)] = jobstore.StatusDone
			time.Sleep(5 * time.Second)
			if n := c.invariants.RunningTasksOf(jobID(i)); n != 0 {
				t.Errorf("tasks running whose starts are not recorded: %d, want 0", n)
			}
			c.store.SetFaults(fake.StoreFaults{DelayOneWriteIn: 3})
			c.waitUntil("tasks run", time.Minute, func() bool { return c.invariants.RunningTasksOf(jobID(i)) > 0 })
			// The next leader receives no heartbeat of these machines for a while, and has capacity on others.
			busy := addresses(c.machinesWithTasks())
			c.partitionMachines(func(addr string) bool { return busy[addr] })
			if i == 0 && time.Since(submittedAt) > 20*time.Second {
				t.Errorf("first tasks run %v after their submission, want at most 20s", time.Since(submittedAt))
			}
			c.failOver()
			time.Sleep(14 * time.Second)
			c.heal()
			c.store.ReleaseHeld() // applies what the earlier leader wrote
		}
		if n := c.store.Unacknowledged(); n < 10 {
			t.Errorf("delayed transactions: %d, want at least 10", n)
		}
		c.store.SetFaults(fake.StoreFaults{})
		c.waitForStatuses(3*time.Minute, want)
	})
}

// Guards against a leader that starts nothing any more: all controllers are away until the leases of 150
// machines have expired, the tasks of five arrays then start again at the same time, and their records
// together exceed the store's limit on the size of a transaction, which it counts in JSON. Nothing waits for
// 90 s once the controllers are back, and no transaction is refused for its size.
func TestManyTasksRestartAfterLeasesExpired(t *testing.T) {
	const arrays, tasksPerArray, machines = 5, 580, 150
	simulate(t, func(c *cluster) {
		c.storeLimits = config.StoreLimits{RPS: 800, WriteRPS: 70, ValueBytes: 32 << 10, TxnOps: 16}
		c.restartWithCapacity(machines, 1000)
		c.enforceStoreLimits(c.storeLimits)
		for i := range arrays {
			array := newJob(jobID(i), job.Array, tasksPerArray, 600).withResources(0.2, 0.5)
			c.submitUntilAccepted(10*time.Second, i%controllers, array)
			c.waitUntilRunningOf(jobID(i), tasksPerArray, 2*time.Minute)
		}
		c.killAll()
		time.Sleep(agentLease + 2*time.Second)
		if n := c.invariants.RunningTasks(); n != 0 {
			t.Fatalf("%d tasks run after the leases have expired, want 0", n)
		}
		c.startAll()
		back := time.Now()
		c.submitUntilAccepted(10*time.Second, 0, newJob("wk-000100", job.Service, 1, 0))
		c.waitUntilRunning(arrays*tasksPerArray+1, 90*time.Second-time.Since(back))
		if refused := c.store.Refusals(); refused.TooLarge != 0 {
			t.Errorf("%d transactions refused for their size, want 0", refused.TooLarge)
		}
	})
}
