package controller

// Elections and failovers: terms only increase, and tasks keep running under the next leader.

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Safety rule 2: a new leader has a higher term, takes over the running tasks, and does not start a
// task again that may still run. The leader crashes while tasks of an array run.
func TestFailoverKeepsTasksRunning(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.submit(0, newJob("wk-000001", job.Array, 8, 40))
		c.waitUntil("tasks run", time.Minute, func() bool { return c.invariants.RunningTasks() >= 4 })
		old := c.leader()
		term := c.termOf(old)
		c.kill(old)
		c.waitForLeaderOtherThan(old, 10*time.Second)
		if now := c.termOf(c.leader()); now <= term {
			t.Errorf("term after the failover: %d, want above %d", now, term)
		}
		c.start(old)
		c.waitUntil("array done", 2*time.Minute, c.isDone("wk-000001"))
		c.checkStartedOnce()
	})
}

// Guards against a crash of the process by a heartbeat that arrives between the election and the start
// of the leader's event loop, as happened once: a controller's servers hand heartbeats to the leader
// from its election on. Such heartbeats wait for the loop, and are refused if the leadership ends
// first.
func TestHeartbeatsWaitForLeaderLoop(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForLeader(10 * time.Second)
		unstarted := c.electWithoutLoop((c.leader() + 1) % controllers)
		defer unstarted.remove()
		var resp wire.Response
		go func() {
			resp = unstarted.heartbeat(agent.Heartbeat{Machine: "vm-000001", Incarnation: 1, Sequence: 1})
		}()
		synctest.Wait()
		if unstarted.queuedEvents() == 0 || resp.Status != 0 {
			t.Errorf("before the loop runs: %d heartbeats queued, want at least 1; response status %d, want 0 (none)", unstarted.queuedEvents(), resp.Status)
		}
		unstarted.end()
		synctest.Wait()
		if resp.Status != 503 {
			t.Errorf("heartbeat after the end of the leadership: status %d, want 503", resp.Status)
		}
	})
}

// Guards against a leader that steps down because of an invalid heartbeat: its fencing token is higher
// than the leader's, but was never issued.
func TestUnissuedFencingTokenDeposesNobody(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		leader := c.leader()
		leadershipBefore := c.leadershipOf(leader)
		for i := range 5 {
			body := wire.Marshal(agent.Heartbeat{Machine: "vm-000099", Incarnation: 1, Sequence: uint64(i + 1), FencingToken: 1 << 60})
			if status := c.heartbeat(leader, body); status != 421 {
				t.Errorf("heartbeat with a token that was never issued: status %d, want 421", status)
			}
			time.Sleep(time.Second)
		}
		if c.leadershipOf(leader) != leadershipBefore {
			t.Errorf("leadership of controller %d has ended, want it to continue after a token that was never issued", leader)
		}
	})
}

// Guards against a term that is used twice. A controller restarts at once, several times, during
// elections, while the transactions in which its earlier processes claimed the leadership have not
// been applied yet.
func TestRestartsDuringElection(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.submit(0, newJob("wk-000001", job.Array, 16, 60))
		c.waitUntil("tasks run", time.Minute, func() bool { return c.invariants.RunningTasks() >= 4 })
		last := c.termOf(c.leader())
		for range 4 {
			node := c.leader()
			c.store.SetFaults(fake.StoreFaults{HoldNext: 1, HoldPrefix: "lead/"})
			c.kill(node)
			c.start(node)
			time.Sleep(200 * time.Millisecond) // the claim is in flight
			c.kill(node)
			c.start(node)
			c.store.ReleaseHeld()
			c.waitForLeader(20 * time.Second)
			term := c.termOf(c.leader())
			if term <= last {
				t.Errorf("term after a restart during the election: %d, want above %d", term, last)
			}
			last = term
			time.Sleep(3 * time.Second)
		}
		c.waitUntil("array done", 4*time.Minute, c.isDone("wk-000001"))
		c.checkStartedOnce()
	})
}

// The leader changes ten times in two minutes, twice during an outage of the store, while jobs are
// submitted and cancelled: every job reaches its final status, and all replicas of a service still
// run.
func TestFrequentFailovers(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(6)
		want := map[string]string{}
		first := c.termOf(c.leader())
		begin := time.Now()
		for i := 2; i < 12; i++ {
			c.submitUntilAccepted(20*time.Second, i%controllers, newJob(jobID(i), job.Array, 4, 15))
			want[jobID(i)] = jobstore.StatusDone
			if i%3 == 0 {
				c.cancelUntilConfirmed(20*time.Second, i%controllers, jobID(i))
				want[jobID(i)] = c.status(i%controllers, jobID(i))
			}
			if i == 5 || i == 8 {
				// Two faults at once: the leader crashes during an outage, and restarts while the store
				// still names it as the leader.
				c.beginStoreOutage()
				c.restartAfter(c.leader(), 0)
				time.Sleep(4 * time.Second)
				c.endStoreOutage()
				c.waitForLeader(20 * time.Second)
			} else {
				c.failOver()
			}
			time.Sleep(time.Until(begin.Add(time.Duration(i-1) * 12 * time.Second)))
		}
		if took := time.Since(begin); took > 125*time.Second {
			t.Errorf("ten failovers took %v, want at most 125s", took)
		}
		if last := c.termOf(c.leader()); last < first+10 {
			t.Errorf("term after ten failovers: %d, want at least %d", last, first+10)
		}
		c.waitForStatuses(3*time.Minute, want)
		if n := c.invariants.RunningTasksOf("wk-000001"); n != 6 {
			t.Errorf("replicas running at the end: %d, want 6", n)
		}
	})
}

// Guards against an array that is reported as done before all its tasks have completed, or whose tasks
// start twice. The tasks of each array end far apart in time, with failovers in between.
func TestSmallArraysCompleteOnceAcrossFailovers(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.teamCPUs = 4 // the third task of each array starts only after others have ended
		c.restartEach()
		c.waitForElection()
		for i := range 4 {
			c.submitUntilAccepted(5*time.Second, i%controllers, newJob(jobID(i), job.Array, 3, 20))
		}
		for range 3 {
			time.Sleep(15 * time.Second)
			c.failOver()
			for i := range 4 {
				ended := 0
				for task := range 3 {
					if c.invariants.Completed(fmt.Sprintf("%s/%d", jobID(i), task)) {
						ended++
					}
				}
				if status := c.status(i%controllers, jobID(i)); status == jobstore.StatusDone && ended < 3 {
					t.Errorf("%s is reported as done with %d tasks completed, want 3", jobID(i), ended)
				}
			}
		}
		for i := range 4 {
			c.waitUntil("array done", 2*time.Minute, c.isDone(jobID(i)))
		}
		c.checkStartedOnce()
	})
}

// Guards against the loss of accepted jobs when all controllers are down for longer than a lease. The
// tasks end with their leases; afterwards every job runs again, completes, or stays cancelled.
func TestAllControllersDownLongerThanLease(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(6)
		c.submitUntilAccepted(5*time.Second, 1, newJob("wk-000002", job.Array, 8, 30))
		c.submitUntilAccepted(5*time.Second, 1, newJob("wk-000003", job.Service, 2, 0))
		c.waitUntilRunning(16, time.Minute)
		c.cancel(2, "wk-000003")
		c.killAll()
		time.Sleep(40 * time.Second)
		if n := c.invariants.RunningTasks(); n != 0 {
			t.Errorf("tasks running after their leases have expired: %d, want 0", n)
		}
		c.startAll()
		c.waitUntilRunningOf("wk-000001", 6, time.Minute)
		c.waitForStatuses(2*time.Minute, map[string]string{"wk-000002": jobstore.StatusDone, "wk-000003": jobstore.StatusCancelled})
		if n := c.invariants.StartsByTask()["wk-000003/0"]; n != 1 {
			t.Errorf("cancelled task wk-000003/0 was started %d times, want 1", n)
		}
	})
}

// A controller that leads is separated from the store while so much is written that it cannot read the
// missed changes afterwards: more bytes than one response carries, or more changes than the store
// keeps. Once reconnected it reloads the records and serves users within seconds. A leader that misses
// changes in this way ends, and the next one has a new term: at most two further terms are issued. No
// replica is started again.
func TestNodeReloadsAfterMissingChanges(t *testing.T) {
	for name, written := range map[string]struct{ changes, bytes int }{
		"more bytes than a response carries": {1000, 6000},
		"more changes than are kept":         {10_500, 10},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				c.waitForElection()
				c.runService(2)
				separated := c.leader()
				c.partitionFromStore(separated)
				c.waitForLeaderOtherThan(separated, 15*time.Second)
				before := c.storedTerm()
				c.writeRecords(written.changes, written.bytes)
				c.heal()
				c.waitUntil("the separated controller reports the service as running", 10*time.Second, func() bool { return c.status(separated, "wk-000001") == "running" })
				c.submitUntilAccepted(10*time.Second, separated, newJob("wk-000002", job.Array, 4, 5))
				c.waitUntil("the separated controller reports the array as done", time.Minute, func() bool { return c.status(separated, "wk-000002") == jobstore.StatusDone })
				if now := c.storedTerm(); now > before+2 {
					t.Errorf("term after the partition: %d, want at most %d", now, before+2)
				}
				if n := c.startsOf("wk-000001"); n != 2 {
					t.Errorf("starts of 2 replicas: %d, want 2", n)
				}
			})
		})
	}
}

// writeRecords writes to the store the given number of keys, rounded up to a multiple of 8, under the
// prefix of the job records. Each value has the given size in bytes, before its encoding.
func (c *cluster) writeRecords(changes, bytes int) {
	c.t.Helper()
	store := c.storeClient("writer")
	const perTransaction = 8
	for first := 0; first < changes; first += perTransaction {
		var mutations []kvstore.Mutation
		for i := range perTransaction {
			key := fmt.Sprintf("%s%06d", jobstore.JobKey("wk-900000")+"/", first+i)
			mutations = append(mutations, kvstore.Mutation{Put: key, Value: wire.Marshal(strings.Repeat("x", bytes))})
		}
		if _, err := store.Txn(c.t.Context(), nil, mutations, kvstore.PriorityLease); err != nil {
			c.t.Fatalf("write of records %d to %d: %v", first, first+perTransaction-1, err)
		}
	}
}

// Guards against a time without a leader at an ordinary stop, as in an upgrade: a leader that resigns before
// it stops is followed at once. Its tasks run on.
func TestOrderlyStopIsFollowedAtOnce(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.waitForElection()
		c.runService(4)
		old := c.leader()
		c.processes[old].node.Resign(context.Background())
		c.kill(old)
		c.waitForLeaderOtherThan(old, time.Second)
		c.submitUntilAccepted(5*time.Second, c.leader(), newJob("wk-000002", job.Array, 2, 1))
		c.waitUntil("array done", time.Minute, func() bool { return c.status(c.leader(), "wk-000002") == "done" })
		c.checkStartedOnce()
	})
}
