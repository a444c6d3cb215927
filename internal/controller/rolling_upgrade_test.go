//go:build oldversions

package controller

// Rolling upgrades: controllers are replaced one at a time while they serve, so this version and an older
// one lead alternately, with the same records, machines and peers. Each test checks that its case has
// occurred.

import (
	"fmt"
	"testing"
	"time"

	"tulipshelf/internal/config"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/wire"
)

// upgrade ends controller i and, after a pause, starts it again with this version.
func (c *cluster) upgrade(i int, pause time.Duration) {
	c.kill(i)
	c.processes[i].olderVersion = nil
	time.Sleep(pause)
	c.start(i)
}

// runsOlderVersion reports whether controller i runs the older version.
func (c *cluster) runsOlderVersion(i int) bool { return c.processes[i].olderVersion != nil }

// makeOlderVersionLead restarts leaders until one leads that runs the older version or, if older is
// false, this version.
func (c *cluster) makeOlderVersionLead(older bool) {
	c.t.Helper()
	c.waitUntil(fmt.Sprintf("leader runs the older version: %v", older), 2*time.Minute, func() bool {
		leader := c.leader()
		if leader < 0 || c.runsOlderVersion(leader) == older {
			return leader >= 0
		}
		c.kill(leader)
		c.waitForLeaderOtherThan(leader, 20*time.Second)
		c.start(leader)
		return false
	})
}

// nodeOfOtherVersion returns the number of a controller that does not run the leader's version.
func (c *cluster) nodeOfOtherVersion() int {
	for i := range controllers {
		if c.runsOlderVersion(i) != c.runsOlderVersion(c.leader()) {
			return i
		}
	}
	c.t.Fatal("all controllers run the leader's version, want one of the other version")
	return -1
}

// upgradeOneNode restarts the controllers with a large fleet and upgrades controller 0. The other two run
// the older version.
func (c *cluster) upgradeOneNode() {
	c.t.Helper()
	c.waitForLeader(10 * time.Second)
	c.restartWithLargeFleet()
	c.upgrade(0, time.Second)
	c.waitForLeader(10 * time.Second)
	c.waitUntilReady(10 * time.Second)
}

// leaderOr returns the number of the leader, or other if no controller leads.
func (c *cluster) leaderOr(other int) int {
	if leader := c.leader(); leader >= 0 {
		return leader
	}
	return other
}

// replaceHungMachineOf makes one machine with tasks of a service hang. It waits until at least one of the
// service's tasks has been started since and the given number of replicas run.
func (c *cluster) replaceHungMachineOf(id string, replicas int) {
	c.t.Helper()
	startsBefore := c.startsOf(id)
	c.hangFirstMachineWith(id)
	c.waitUntil("replicas of "+id+" replaced", 2*time.Minute, func() bool {
		return c.startsOf(id) > startsBefore && c.invariants.RunningTasksOf(id) == replicas
	})
}

// upgradeAll upgrades all controllers one at a time, also those that run this version already.
func (c *cluster) upgradeAll() {
	for i := range controllers {
		c.upgrade(i, time.Second)
		time.Sleep(6 * time.Second)
	}
}

// Guards against work that is lost, repeated or revived when leadership passes between the versions, which
// happens when one misreads the other's records. The versions lead alternately, six times. Running tasks
// continue, ended jobs stay ended, and work accepted under either version is done once.
func TestRollingUpgradeLeadershipAlternates(t *testing.T) {
	withEachOlderVersion(t, func(c *cluster) {
		c.upgradeOneNode()
		c.runService(8)
		want := map[string]string{}
		c.makeOlderVersionLead(true) // so that the first turn changes the leader as well
		before := c.storedTerm()
		for turn := range 6 {
			c.makeOlderVersionLead(turn%2 == 1)
			finishing, cancelled := jobID(10+2*turn), jobID(11+2*turn)
			c.submitUntilAccepted(10*time.Second, turn%controllers, newJob(finishing, job.Array, 30, 6))
			c.submitUntilAccepted(10*time.Second, (turn+1)%controllers, newJob(cancelled, job.Array, 30, 60))
			c.waitUntil("tasks of "+finishing+" and "+cancelled+" started", time.Minute, func() bool { return c.startsOf(finishing) > 0 && c.startsOf(cancelled) > 0 })
			want[finishing] = jobstore.StatusDone
			if turn > 0 { // the version that does not lead cancels a job that was accepted while it led
				earlier := jobID(11 + 2*(turn-1))
				c.cancelUntilConfirmed(10*time.Second, c.nodeOfOtherVersion(), earlier)
				want[earlier] = jobstore.StatusCancelled
			}
		}
		if now := c.storedTerm(); now < before+6 {
			c.t.Errorf("term advanced from %d to %d in six turns, want by at least 6", before, now)
		}
		last := jobID(11 + 2*5)
		c.cancelUntilConfirmed(10*time.Second, 0, last)
		want[last] = jobstore.StatusCancelled
		c.waitForStatuses(3*time.Minute, want)
		c.upgradeAll()
		c.waitForStatuses(time.Minute, want)
		c.checkStartedOnce()
		if n := c.invariants.RunningTasksOf("wk-000001"); n != 8 {
			c.t.Errorf("wk-000001: %d replicas run, want 8", n)
		}
	})
}

// Guards against tasks that are lost or run twice when processes crash around their upgrade. A process
// that crashes before its upgrade restarts as the older version; one that crashes just after the start
// of this version restarts as this version. Each restart follows within a fraction of a second.
func TestRollingUpgradeProcessesCrash(t *testing.T) {
	withEachOlderVersion(t, func(c *cluster) {
		c.waitForLeader(10 * time.Second)
		c.restartWithLargeFleet()
		c.runService(8)
		want := map[string]string{"wk-000010": jobstore.StatusDone, "wk-000011": jobstore.StatusDone}
		c.submitUntilAccepted(10*time.Second, 0, newJob("wk-000010", job.Array, 200, 10))
		c.waitUntil("more than 20 tasks of wk-000010 started", time.Minute, func() bool { return c.startsOf("wk-000010") > 20 })
		before := c.storedTerm()
		for i := range controllers {
			early := (i + 1) % controllers // crashes before its upgrade, or once more after it
			wasOlder := c.runsOlderVersion(early)
			c.restartAfter(early, 300*time.Millisecond)
			if c.runsOlderVersion(early) != wasOlder {
				c.t.Errorf("controller %d runs the older version after its restart: %v, want %v", early, !wasOlder, wasOlder)
			}
			time.Sleep(2 * time.Second)
			c.upgrade(i, 3*time.Second)
			time.Sleep(200 * time.Millisecond) // during an election, if the controller led before
			c.restartAfter(i, 100*time.Millisecond)
			time.Sleep(6 * time.Second)
		}
		if now := c.storedTerm(); now < before+2 {
			c.t.Errorf("term advanced from %d to %d, want by at least 2: too few leaders crashed", before, now)
		}
		c.submitUntilAccepted(10*time.Second, 1, newJob("wk-000011", job.Array, 40, 5))
		c.waitForStatuses(3*time.Minute, want)
		c.checkStartedOnce()
	})
}

// Guards against a task that runs twice because the next leader starts it again while the first start is
// still on its way to a machine. The leader ends with starts to which neither the store nor the machines
// have responded, and the other version takes over.
func TestRollingUpgradeStartsUnacknowledged(t *testing.T) {
	for name, olderLeads := range map[string]bool{"older leader ends": true, "newer leader ends": false} {
		t.Run(name, func(t *testing.T) {
			withEachOlderVersion(t, func(c *cluster) {
				c.upgradeOneNode()
				c.runService(8)
				c.makeOlderVersionLead(olderLeads)
				time.Sleep(12 * time.Second)
				old := c.leader()
				// Commands arrive 3 s late, after their sender has ended, and responses of the store are lost.
				c.network.SetFaults(fake.NetworkFaults{RequestDelay: func(from, to string) time.Duration {
					if from == nodeAddr(old) && isMachine(to) {
						return 3 * time.Second
					}
					return 0
				}})
				c.store.SetFaults(fake.StoreFaults{LoseNextResponses: 3})
				c.submitUntilAccepted(10*time.Second, old, newJob("wk-000010", job.Array, 60, 8))
				recorded := func() int { return len(c.store.Keys(jobstore.JobKey("wk-000010") + "/")) }
				c.waitUntil("starts of wk-000010 recorded", 5*time.Second, func() bool { return recorded() > 0 })
				if n := c.startsOf("wk-000010"); n != 0 {
					c.t.Errorf("wk-000010: %d tasks started before the leader ended, want 0", n)
				}
				c.kill(old)
				// A controller of the version that led may take over first; makeOlderVersionLead restarts it.
				c.waitForLeader(10 * time.Second)
				c.makeOlderVersionLead(!olderLeads)
				c.network.SetFaults(fake.NetworkFaults{})
				c.start(old)
				c.waitForStatuses(3*time.Minute, map[string]string{"wk-000010": jobstore.StatusDone})
				c.checkStartedOnce()
			})
		})
	}
}

// Guards against tasks that outlast the deadline of a cancellation that only one controller has confirmed.
// A controller confirms the cancellation while the other version leads, and ends at once. The store is
// down from then until the tasks are gone, and some of the machines hang.
func TestRollingUpgradeCancellationAcrossVersions(t *testing.T) {
	for name, olderLeads := range map[string]bool{"older leads": true, "newer leads": false} {
		t.Run(name, func(t *testing.T) {
			withEachOlderVersion(t, func(c *cluster) {
				c.upgradeOneNode()
				c.runService(8)
				c.submitUntilAccepted(10*time.Second, 0, newJob("wk-000010", job.Service, 20, 0))
				c.waitUntilRunning(28, time.Minute)
				c.makeOlderVersionLead(olderLeads)
				time.Sleep(12 * time.Second)
				confirming := c.nodeOfOtherVersion()
				for i, machine := range c.cloud.Machines() {
					machine.SetFaults(fake.AgentFaults{Hung: i%4 == 0})
				}
				tasksBefore := c.invariants.RunningTasksOf("wk-000010")
				c.cancelUntilConfirmed(5*time.Second, confirming, "wk-000010")
				confirmedAt := time.Now()
				c.beginStoreOutage()
				c.kill(confirming)
				c.waitUntilGone("wk-000010")
				if took := time.Since(confirmedAt); tasksBefore == 0 || took < time.Second {
					c.t.Errorf("wk-000010: %d tasks ran, gone after %v, want at least 1 task and, as machines hang, at least 1 s", tasksBefore, took)
				}
				c.start(confirming)
				c.endStoreOutage()
				c.waitUntil("wk-000010 answered as cancelled", 10*time.Second, func() bool { return c.status(c.leaderOr(0), "wk-000010") == jobstore.StatusCancelled })
			})
		})
	}
}

// upgradeFaults maps the names of faults during an upgrade to functions that inject them. Each fault has
// ended when its function returns.
var upgradeFaults = map[string]func(c *cluster){
	"zone partition": func(c *cluster) {
		inside := c.nodeOfOtherVersion()
		c.partitionZoneWith(inside)
		time.Sleep(15 * time.Second)
		c.submitUntilAccepted(10*time.Second, inside, newJob("wk-000012", job.Array, 4, 5))
		c.waitUntil("wk-000012, submitted in the separated zone, done", time.Minute, c.isDone("wk-000012"))
		time.Sleep(35 * time.Second) // longer than an agent's lease
		c.heal()
	},
	"store outage": func(c *cluster) {
		c.beginStoreOutage()
		time.Sleep(40 * time.Second)
		c.endStoreOutage()
	},
	"leader separated from store": func(c *cluster) {
		old := c.leader()
		c.partitionFromStore(old)
		c.waitForLeaderOtherThan(old, 15*time.Second)
		time.Sleep(20 * time.Second)
		c.heal()
	},
	"all controllers end": func(c *cluster) {
		c.killAll()
		if c.leader() >= 0 {
			c.t.Error("a controller leads after all controllers have ended")
		}
		time.Sleep(3 * time.Second)
		c.startAll()
	},
}

// Guards against work that is lost or repeated when a fault occurs during an upgrade, under a leader of
// either version. The faults are a partition between zones, an outage of the store that is longer than
// an agent's lease, a leader that is separated from the store, and the end of all controllers.
func TestRollingUpgradeFaults(t *testing.T) {
	for name, inject := range upgradeFaults {
		for version, olderLeads := range map[string]bool{"older leads": true, "newer leads": false} {
			t.Run(name+", "+version, func(t *testing.T) {
				withEachOlderVersion(t, func(c *cluster) {
					c.upgradeOneNode()
					c.runService(8)
					c.makeOlderVersionLead(olderLeads)
					time.Sleep(12 * time.Second)
					c.submitUntilAccepted(10*time.Second, 0, newJob("wk-000010", job.Array, 100, 20))
					c.waitUntil("more than 10 tasks of wk-000010 started", time.Minute, func() bool { return c.startsOf("wk-000010") > 10 })
					inject(c)
					c.upgradeAll()
					c.submitUntilAccepted(20*time.Second, 2, newJob("wk-000011", job.Array, 30, 5))
					c.waitForStatuses(3*time.Minute, map[string]string{"wk-000010": jobstore.StatusDone, "wk-000011": jobstore.StatusDone})
					c.checkStartedOnce()
					if n := c.startsOf("wk-000001"); n != 8 {
						c.t.Errorf("wk-000001: %d starts of 8 replicas, want 8", n)
					}
				})
			})
		}
	}
}

// Guards against a gang that is accepted during an upgrade and then run as an array by a controller of the
// production version, which has no gangs. Each controller of this version refuses gangs within 1 s, with
// a Retry-After, even if it has just started and no peer has sent it a heartbeat. Once all controllers
// run this version, a gang is accepted and runs as a whole until it is done.
func TestRollingUpgradeGangsRefusedUntilComplete(t *testing.T) {
	simulateFrom(t, newProductionController, func(c *cluster) {
		c.waitForLeader(10 * time.Second)
		c.restartWithLargeFleet()
		submissions := 0
		for i := range controllers {
			c.upgrade(i, time.Second)
			c.waitUntil("upgraded controller listens", time.Second, func() bool { return c.request(i, "GET", "/ready", nil).Status != 0 })
			for range 40 {
				for node := range controllers {
					if c.runsOlderVersion(node) || i == 2 {
						continue
					}
					sentAt := time.Now()
					resp := c.request(node, "POST", "/v1/jobs", wire.Marshal(newGang(4, 5)))
					submissions++
					if resp.Status != 503 || resp.RetryAfter == 0 || time.Since(sentAt) > time.Second {
						c.t.Errorf("gang submitted to controller %d with %d controllers upgraded: status %d, Retry-After %d, after %v; "+
							"want 503 with a Retry-After within 1 s", node, i+1, resp.Status, resp.RetryAfter, time.Since(sentAt))
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
		if submissions < 100 {
			c.t.Errorf("%d gangs were submitted during the upgrade, want at least 100", submissions)
		}
		c.submitUntilAccepted(10*time.Second, 1, newGang(4, 5))
		for i := range controllers { // each answers about the gang, also after a restart
			c.restartAfter(i, 0)
			c.waitUntil("restarted controller answers about the gang", 10*time.Second, func() bool { return c.status(i, gangID) != "503" })
		}
		c.waitForStatuses(time.Minute, map[string]string{gangID: jobstore.StatusDone})
	})
}

// Guards against a gang that is stopped or restarted by an upgrade. Its tasks are started once while the
// controllers, which ran the previous version, are upgraded. The previous version runs gangs, too.
func TestRollingUpgradeGangsKeepRunning(t *testing.T) {
	simulateFrom(t, newPreviousController, func(c *cluster) {
		c.waitForLeader(10 * time.Second)
		c.restartWithLargeFleet()
		c.runGang(newGang(8, 60))
		c.upgradeAll()
		c.waitForStatuses(2*time.Minute, map[string]string{gangID: jobstore.StatusDone})
		c.checkStartedOnce()
	})
}

// Guards against replicas that are lost or restarted when one version takes over records that the other
// has rechunked. The store's limits are lowered while either version leads. That version rechunks the
// records that are now too large, and the other version takes over.
func TestRollingUpgradeRechunksRecords(t *testing.T) {
	for name, olderFirst := range map[string]bool{"older version chunks": true, "newer version chunks": false} {
		t.Run(name, func(t *testing.T) {
			simulateFrom(t, newPreviousController, func(c *cluster) {
				c.upgradeOneNode()
				c.submitUntilAccepted(10*time.Second, 0, newJob("wk-000050", job.Service, 80, 0).withResources(0.25, 0.25))
				c.waitUntilRunningOf("wk-000050", 80, time.Minute)
				c.nextStoreLimits = &config.StoreLimits{RPS: 200, WriteRPS: 18, ValueBytes: 2 << 10, TxnOps: 4}
				c.restartEach()
				c.waitForLeader(10 * time.Second)
				c.makeOlderVersionLead(olderFirst)
				c.enforceStoreLimits(*c.nextStoreLimits)
				c.replaceHungMachineOf("wk-000050", 80)
				// Chunk numbers have six digits; only a rechunk's, from 100000, begin with 1.
				rechunked := func() bool { return len(c.store.Keys(jobstore.JobKey("wk-000050")+"/1")) > 1 }
				c.waitUntil("records rechunked", time.Minute, rechunked)
				startsBefore := c.startsOf("wk-000050")
				c.makeOlderVersionLead(!olderFirst)
				time.Sleep(12 * time.Second)
				if n := c.startsOf("wk-000050"); n != startsBefore || c.invariants.RunningTasksOf("wk-000050") != 80 {
					c.t.Errorf("wk-000050: %d replicas run, want 80; %d started by the next leader, want 0", c.invariants.RunningTasksOf("wk-000050"), n-startsBefore)
				}
				c.replaceHungMachineOf("wk-000050", 80)
				c.makeOlderVersionLead(olderFirst)
				c.cancel(0, "wk-000050")
				c.waitUntilGone("wk-000050")
				c.waitUntil("no key of a job left in the store", time.Minute, func() bool { return len(c.store.Keys(jobstore.JobPrefix)) == 0 })
			})
		})
	}
}
