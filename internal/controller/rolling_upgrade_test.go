//go:build oldversions

package controller

// Controllers are replaced one at a time while they serve, so this version and an older one lead
// alternately, on the same records, machines and peers. Each test checks that the case it is about
// has occurred.

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

// upgrade ends controller i and starts this version in its place after a pause.
func (c *cluster) upgrade(i int, pause time.Duration) {
	c.kill(i)
	c.processes[i].olderVersion = nil
	time.Sleep(pause)
	c.start(i)
}

// runsOlderVersion reports whether controller i runs the older version.
func (c *cluster) runsOlderVersion(i int) bool { return c.processes[i].olderVersion != nil }

// makeOlderVersionLead makes a controller of the older version lead, or of this one, by restarting
// leaders of the other.
func (c *cluster) makeOlderVersionLead(older bool) {
	c.t.Helper()
	c.waitUntil(fmt.Sprintf("a leader of the older version: %v", older), 2*time.Minute, func() bool {
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

// nodeOfOtherVersion returns a controller of the version that does not lead.
func (c *cluster) nodeOfOtherVersion() int {
	for i := range controllers {
		if c.runsOlderVersion(i) != c.runsOlderVersion(c.leader()) {
			return i
		}
	}
	c.t.Fatal("all controllers run the same version")
	return -1
}

// upgradeOneNode starts a large fleet and upgrades one controller, so that two of the older version are left.
func (c *cluster) upgradeOneNode() {
	c.t.Helper()
	c.waitForLeader(10 * time.Second)
	c.restartWithLargeFleet()
	c.upgrade(0, time.Second)
	c.waitForLeader(10 * time.Second)
	c.waitUntilReady(10 * time.Second)
}

// leaderOr returns the leader, or another controller if there is none.
func (c *cluster) leaderOr(other int) int {
	if leader := c.leader(); leader >= 0 {
		return leader
	}
	return other
}

// replaceHungMachineOf makes a machine hang that has replicas of a service and waits until all run.
func (c *cluster) replaceHungMachineOf(id string, replicas int) {
	c.t.Helper()
	startsBefore := c.startsOf(id)
	c.hangFirstMachineWith(id)
	c.waitUntil("replicas run elsewhere", 2*time.Minute, func() bool {
		return c.startsOf(id) > startsBefore && c.invariants.RunningTasksOf(id) == replicas
	})
}

// upgradeAll upgrades the controllers one at a time.
func (c *cluster) upgradeAll() {
	for i := range controllers {
		c.upgrade(i, time.Second)
		time.Sleep(6 * time.Second)
	}
}

// The versions lead alternately, six times: what runs goes on, ended jobs stay ended, and work that was
// accepted under either version is done once.
func TestRollingUpgradeLeadershipAlternates(t *testing.T) {
	withEachOlderVersion(t, func(c *cluster) {
		c.upgradeOneNode()
		c.runService(8)
		want := map[string]string{}
		c.makeOlderVersionLead(true) // so that the first turn changes the leader, too
		before := c.storedTerm()
		for turn := range 6 {
			c.makeOlderVersionLead(turn%2 == 1)
			finishing, cancelled := jobID(10+2*turn), jobID(11+2*turn)
			c.submitUntilAccepted(10*time.Second, turn%controllers, newJob(finishing, job.Array, 30, 6))
			c.submitUntilAccepted(10*time.Second, (turn+1)%controllers, newJob(cancelled, job.Array, 30, 60))
			c.waitUntil("both have begun", time.Minute, func() bool { return c.startsOf(finishing) > 0 && c.startsOf(cancelled) > 0 })
			want[finishing] = jobstore.StatusDone
			if turn > 0 { // the version that does not lead cancels a job that it accepted as the leader
				earlier := jobID(11 + 2*(turn-1))
				c.cancelUntilConfirmed(10*time.Second, c.nodeOfOtherVersion(), earlier)
				want[earlier] = jobstore.StatusCancelled
			}
		}
		if now := c.storedTerm(); now < before+6 {
			c.t.Errorf("terms %d to %d in six turns", before, now)
		}
		last := jobID(11 + 2*5)
		c.cancelUntilConfirmed(10*time.Second, 0, last)
		want[last] = jobstore.StatusCancelled
		c.waitForStatuses(3*time.Minute, want)
		c.upgradeAll()
		c.waitForStatuses(time.Minute, want)
		c.checkStartedOnce()
		if n := c.invariants.RunningTasksOf("wk-000001"); n != 8 {
			c.t.Errorf("%d of 8 replicas run", n)
		}
	})
}

// Processes crash before their upgrade and restart as the older version, crash during it and restart as
// this version, within a fraction of a second: nothing is lost or runs twice.
func TestRollingUpgradeProcessesCrash(t *testing.T) {
	withEachOlderVersion(t, func(c *cluster) {
		c.waitForLeader(10 * time.Second)
		c.restartWithLargeFleet()
		c.runService(8)
		want := map[string]string{"wk-000010": jobstore.StatusDone, "wk-000011": jobstore.StatusDone}
		c.submitUntilAccepted(10*time.Second, 0, newJob("wk-000010", job.Array, 200, 10))
		c.waitUntil("tasks run", time.Minute, func() bool { return c.startsOf("wk-000010") > 20 })
		before := c.storedTerm()
		for i := range controllers {
			early := (i + 1) % controllers // crashes before its upgrade, or once more after it
			wasOlder := c.runsOlderVersion(early)
			c.restartAfter(early, 300*time.Millisecond)
			if c.runsOlderVersion(early) != wasOlder {
				c.t.Errorf("controller %d came back as another version", early)
			}
			time.Sleep(2 * time.Second)
			c.upgrade(i, 3*time.Second)
			time.Sleep(200 * time.Millisecond) // in the middle of an election, if it led
			c.restartAfter(i, 100*time.Millisecond)
			time.Sleep(6 * time.Second)
		}
		if now := c.storedTerm(); now < before+2 {
			c.t.Errorf("terms %d to %d: no leader crashed", before, now)
		}
		c.submitUntilAccepted(10*time.Second, 1, newJob("wk-000011", job.Array, 40, 5))
		c.waitForStatuses(3*time.Minute, want)
		c.checkStartedOnce()
	})
}

// The leader ends with starts of which it has no response, neither from the store nor from the machines,
// and the other version takes over. No task runs twice.
func TestRollingUpgradeStartsUnacknowledged(t *testing.T) {
	for name, olderLeads := range map[string]bool{"older leader ends": true, "newer leader ends": false} {
		t.Run(name, func(t *testing.T) {
			withEachOlderVersion(t, func(c *cluster) {
				c.upgradeOneNode()
				c.runService(8)
				c.makeOlderVersionLead(olderLeads)
				time.Sleep(12 * time.Second)
				old := c.leader()
				// Commands arrive 3 s late, when their sender has ended, and responses of the store are lost.
				c.network.SetFaults(fake.NetworkFaults{RequestDelay: func(from, to string) time.Duration {
					if from == nodeAddr(old) && isMachine(to) {
						return 3 * time.Second
					}
					return 0
				}})
				c.store.SetFaults(fake.StoreFaults{LoseNextResponses: 3})
				c.submitUntilAccepted(10*time.Second, old, newJob("wk-000010", job.Array, 60, 8))
				recorded := func() int { return len(c.store.Keys(jobstore.JobKey("wk-000010") + "/")) }
				c.waitUntil("starts are recorded", 5*time.Second, func() bool { return recorded() > 0 })
				if n := c.startsOf("wk-000010"); n != 0 {
					c.t.Errorf("%d starts were carried out before the leader ended", n)
				}
				c.kill(old)
				// Otherwise a controller of the version that led takes over at once.
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

// A cancellation is confirmed by one version while the other leads, and the confirming controller ends at
// once, in an outage of the store that outlasts the deadline; some of the machines hang.
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
					c.t.Errorf("%d tasks ran, gone after %v: no machine hung", tasksBefore, took)
				}
				c.start(confirming)
				c.endStoreOutage()
				c.waitUntil("cancellation answered", 10*time.Second, func() bool { return c.status(c.leaderOr(0), "wk-000010") == jobstore.StatusCancelled })
			})
		})
	}
}

// upgradeFaults are injected in the middle of an upgrade; each is over when its function returns.
var upgradeFaults = map[string]func(c *cluster){
	"zone partition": func(c *cluster) {
		inside := c.nodeOfOtherVersion()
		c.partitionZoneWith(inside)
		time.Sleep(15 * time.Second)
		c.submitUntilAccepted(10*time.Second, inside, newJob("wk-000012", job.Array, 4, 5))
		c.waitUntil("work goes on in the zone", time.Minute, c.isDone("wk-000012"))
		time.Sleep(35 * time.Second) // longer than a lease
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
			c.t.Error("a controller leads that has ended")
		}
		time.Sleep(3 * time.Second)
		c.startAll()
	},
}

// Faults in the middle of an upgrade, under a leader of either version: a partition between zones, an
// outage longer than a lease, a leader that is separated from the store, and the end of all
// controllers.
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
					c.waitUntil("tasks run", time.Minute, func() bool { return c.startsOf("wk-000010") > 10 })
					inject(c)
					c.upgradeAll()
					c.submitUntilAccepted(20*time.Second, 2, newJob("wk-000011", job.Array, 30, 5))
					c.waitForStatuses(3*time.Minute, map[string]string{"wk-000010": jobstore.StatusDone, "wk-000011": jobstore.StatusDone})
					c.checkStartedOnce()
					if n := c.startsOf("wk-000001"); n != 8 {
						c.t.Errorf("8 replicas were started %d times", n)
					}
				})
			})
		}
	}
}

// During the upgrade each controller of this version refuses gangs at once, with a time to retry after,
// also one that has just started and has had no heartbeat of its peers. Once all run this version a gang
// is accepted and runs whole.
func TestRollingUpgradeGangsRefusedUntilComplete(t *testing.T) {
	simulateFrom(t, newProductionController, func(c *cluster) {
		c.waitForLeader(10 * time.Second)
		c.restartWithLargeFleet()
		submissions := 0
		for i := range controllers {
			c.upgrade(i, time.Second)
			c.waitUntil("it listens", time.Second, func() bool { return c.request(i, "GET", "/ready", nil).Status != 0 })
			for range 40 {
				for node := range controllers {
					if c.runsOlderVersion(node) || i == 2 {
						continue
					}
					sentAt := time.Now()
					resp := c.request(node, "POST", "/v1/jobs", wire.Marshal(newGang(4, 5)))
					submissions++
					if resp.Status != 503 || resp.RetryAfter == 0 || time.Since(sentAt) > time.Second {
						c.t.Errorf("controller %d, %d replaced: %d, Retry-After %d, after %v", node, i+1, resp.Status, resp.RetryAfter, time.Since(sentAt))
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
		if submissions < 100 {
			c.t.Errorf("%d gangs were submitted during the upgrade", submissions)
		}
		c.submitUntilAccepted(10*time.Second, 1, newGang(4, 5))
		for i := range controllers { // each knows it, also one that has just started
			c.restartAfter(i, 0)
			c.waitUntil("known", 10*time.Second, func() bool { return c.status(i, gangID) != "503" })
		}
		c.waitForStatuses(time.Minute, map[string]string{gangID: jobstore.StatusDone})
	})
}

// Gangs keep running while controllers of the previous version, which runs them too, are upgraded.
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

// The limits of the store are lowered while either version leads, which rechunks the records that are
// too large by then; the other version takes them over.
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
				rechunked := func() bool { return len(c.store.Keys(jobstore.JobKey("wk-000050")+"/1")) > 1 }
				c.waitUntil("records rechunked", time.Minute, rechunked)
				startsBefore := c.startsOf("wk-000050")
				c.makeOlderVersionLead(!olderFirst)
				time.Sleep(12 * time.Second)
				if n := c.startsOf("wk-000050"); n != startsBefore || c.invariants.RunningTasksOf("wk-000050") != 80 {
					c.t.Errorf("%d replicas run, %d started by the next leader", c.invariants.RunningTasksOf("wk-000050"), n-startsBefore)
				}
				c.replaceHungMachineOf("wk-000050", 80)
				c.makeOlderVersionLead(olderFirst)
				c.cancel(0, "wk-000050")
				c.waitUntilGone("wk-000050")
				c.waitUntil("nothing left behind", time.Minute, func() bool { return len(c.store.Keys(jobstore.JobPrefix)) == 0 })
			})
		})
	}
}
