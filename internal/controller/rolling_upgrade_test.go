//go:build oldversions

package controller

// Controllers are replaced one at a time while they serve, so this version and an older one lead
// alternately, on the same records, machines and peers. Each test checks that the case it is about
// has occurred.

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/wire"
)

// replace ends a controller and starts this version in its place after a pause.
func (c *cluster) replace(i int, pause time.Duration) {
	c.kill(i)
	c.older[i] = nil
	time.Sleep(pause)
	c.start(i)
}

// runsOlder tells whether a controller runs the older version.
func (c *cluster) runsOlder(i int) bool { return c.older[i] != nil }

// lead makes a controller of the wanted version lead, by ending those that do in its place.
func (c *cluster) lead(older bool) {
	c.t.Helper()
	c.until(fmt.Sprintf("a leader of the older version: %v", older), 2*time.Minute, func() bool {
		at := c.leader()
		if at < 0 || c.runsOlder(at) == older {
			return at >= 0
		}
		c.kill(at)
		c.until("another leader", 20*time.Second, func() bool { return c.leader() >= 0 && c.leader() != at })
		c.start(at)
		return false
	})
}

// otherVersion returns a controller of the version that does not lead.
func (c *cluster) otherVersion() int {
	for i := range 3 {
		if c.runsOlder(i) != c.runsOlder(c.leader()) {
			return i
		}
	}
	c.t.Fatal("all controllers run one version")
	return -1
}

// half replaces one controller, so that two of the older version are left.
func (c *cluster) half() {
	c.t.Helper()
	c.until("leader", 10*time.Second, func() bool { return c.leader() >= 0 })
	c.large()
	c.replace(0, time.Second)
	c.until("leader", 10*time.Second, func() bool { return c.leader() >= 0 })
	c.until("all serve", 10*time.Second, func() bool { return c.serves(0) && c.serves(1) && c.serves(2) })
}

// leaderOr returns the leader, or another controller if there is none.
func (c *cluster) leaderOr(other int) int {
	if at := c.leader(); at >= 0 {
		return at
	}
	return other
}

// loseReplica lets a machine with replicas of a service hang and waits until all run again.
func (c *cluster) loseReplica(id string, replicas int) {
	c.t.Helper()
	begun := c.begun(id)
	for _, w := range c.cloud.Machines() {
		if w.Has(id) {
			w.Hang(true)
			break
		}
	}
	c.until("replicas run elsewhere", 2*time.Minute, func() bool { return c.begun(id) > begun && c.referee.RunningTasksOf(id) == replicas })
}

// Versions lead in turns, six times: what runs goes on, what is done or cancelled stays so,
// and work that came under either is done once.
func TestRollingUpgradeLeadershipAlternates(t *testing.T) {
	withEachOlderVersion(t, func(c *cluster) {
		c.half()
		c.runService(8)
		want := map[string]string{}
		before := c.term()
		for turn := range 6 {
			c.lead(turn%2 == 1)
			kept, gone := jobID(10+2*turn), jobID(11+2*turn)
			c.accept(10*time.Second, turn%3, submission(kept, job.Array, 30, 6))
			c.accept(10*time.Second, (turn+1)%3, submission(gone, job.Array, 30, 60))
			c.until("both have begun", time.Minute, func() bool { return c.begun(kept) > 0 && c.begun(gone) > 0 })
			want[kept] = jobstore.StatusDone
			if turn > 0 { // by the version that does not lead, of a job that came under the other
				earlier := jobID(11 + 2*(turn-1))
				by := c.otherVersion()
				c.until("cancelled", 10*time.Second, func() bool { return c.ask(by, "POST", "/v1/jobs/"+earlier+"/abort", nil).Status == 200 })
				want[earlier] = jobstore.StatusCancelled
			}
		}
		if now := c.term(); now < before+6 {
			t := c.t
			t.Errorf("terms %d to %d in six turns", before, now)
		}
		last := jobID(11 + 2*5)
		c.until("cancelled", 10*time.Second, func() bool { return c.ask(0, "POST", "/v1/jobs/"+last+"/abort", nil).Status == 200 })
		want[last] = jobstore.StatusCancelled
		c.over(3*time.Minute, want)
		for i := range 3 {
			c.replace(i, time.Second)
			time.Sleep(6 * time.Second)
		}
		c.over(time.Minute, want)
		c.startedOnce()
		if n := c.referee.RunningTasksOf("wk-000001"); n != 8 {
			c.t.Errorf("%d of 8 replicas on", n)
		}
	})
}

// Processes die before their turn and come back old, die in their turn and come back new, and
// are back within a fraction of a second: nothing is lost or runs twice.
func TestRollingUpgradeProcessesCrash(t *testing.T) {
	withEachOlderVersion(t, func(c *cluster) {
		c.until("leader", 10*time.Second, func() bool { return c.leader() >= 0 })
		c.large()
		c.runService(8)
		want := map[string]string{"wk-000010": jobstore.StatusDone, "wk-000011": jobstore.StatusDone}
		c.accept(10*time.Second, 0, submission("wk-000010", job.Array, 200, 10))
		c.until("tasks run", time.Minute, func() bool { return c.begun("wk-000010") > 20 })
		before := c.term()
		for i := range 3 {
			early := (i + 1) % 3 // dies before its turn, or again after it
			wasOld := c.runsOlder(early)
			c.kill(early)
			time.Sleep(300 * time.Millisecond)
			c.start(early)
			if c.runsOlder(early) != wasOld {
				c.t.Errorf("controller %d came back as another version", early)
			}
			time.Sleep(2 * time.Second)
			c.replace(i, 3*time.Second)
			time.Sleep(200 * time.Millisecond) // in the middle of an election, if it led
			c.kill(i)
			time.Sleep(100 * time.Millisecond)
			c.start(i)
			time.Sleep(6 * time.Second)
		}
		if now := c.term(); now < before+2 {
			c.t.Errorf("terms %d to %d: no leader died", before, now)
		}
		c.accept(10*time.Second, 1, submission("wk-000011", job.Array, 40, 5))
		c.over(3*time.Minute, want)
		c.startedOnce()
	})
}

// The leader ends with starts recorded of which it has no answer, neither from the state
// service nor from the machines; the other version takes over. No task runs twice.
func TestRollingUpgradeStartsUnacknowledged(t *testing.T) {
	for name, oldLeads := range map[string]bool{"older leader ends": true, "newer leader ends": false} {
		t.Run(name, func(t *testing.T) {
			withEachOlderVersion(t, func(c *cluster) {
				c.half()
				c.runService(8)
				c.lead(oldLeads)
				time.Sleep(12 * time.Second)
				old := c.leader()
				// Commands arrive 3 s late, when whoever sent them has ended, and answers are lost.
				c.net.DelayRequests(func(from, to string) time.Duration {
					if from == nodeAddr(old) && strings.HasPrefix(to, "10.1.") {
						return 3 * time.Second
					}
					return 0
				})
				c.store.LoseResponses(3)
				c.accept(10*time.Second, old, submission("wk-000010", job.Array, 60, 8))
				recorded := func() int { return len(c.store.Keys(jobstore.JobKey("wk-000010") + "/")) }
				c.until("starts are recorded", 5*time.Second, func() bool { return recorded() > 0 })
				if n := c.begun("wk-000010"); n != 0 {
					c.t.Errorf("%d starts were carried out before the leader ended", n)
				}
				c.kill(old)
				// Those of the version that led would take over at once otherwise.
				c.until("another leader", 10*time.Second, func() bool { return c.leader() >= 0 })
				c.lead(!oldLeads)
				c.net.DelayRequests(nil)
				c.start(old)
				c.over(3*time.Minute, map[string]string{"wk-000010": jobstore.StatusDone})
				c.startedOnce()
			})
		})
	}
}

// A cancellation is confirmed by one version while the other leads, and the controller that
// told ends at once, in an outage that outlasts the time in which the tasks must be gone; some
// of the machines hang.
func TestRollingUpgradeCancellationAcrossVersions(t *testing.T) {
	for name, oldLeads := range map[string]bool{"older leads": true, "newer leads": false} {
		t.Run(name, func(t *testing.T) {
			withEachOlderVersion(t, func(c *cluster) {
				c.half()
				c.runService(8)
				c.accept(10*time.Second, 0, submission("wk-000010", job.Service, 20, 0))
				c.until("both run", time.Minute, func() bool { return c.referee.RunningTasks() == 28 })
				c.lead(oldLeads)
				time.Sleep(12 * time.Second)
				by := c.otherVersion()
				for i, w := range c.cloud.Machines() {
					w.Hang(i%4 == 0)
				}
				hung := c.referee.RunningTasksOf("wk-000010")
				c.until("told", 5*time.Second, func() bool { return c.ask(by, "POST", "/v1/jobs/wk-000010/abort", nil).Status == 200 })
				told := time.Now()
				c.store.Down(true)
				c.kill(by)
				c.until("tasks gone", 51*time.Second, func() bool { return c.referee.RunningTasksOf("wk-000010") == 0 })
				if took := time.Since(told); hung == 0 || took < time.Second {
					c.t.Errorf("%d tasks were on, gone after %v: no machine hung", hung, took)
				}
				c.start(by)
				c.store.Down(false)
				c.until("answered", 10*time.Second, func() bool { return c.status(c.leaderOr(0), "wk-000010") == jobstore.StatusCancelled })
			})
		})
	}
}

// Troubles in the middle of a roll, of either leader: a cut between zones, an outage longer
// than a lease, a refusal of the leader alone, and the end of all controllers.
func TestRollingUpgradeFaults(t *testing.T) {
	troubles := map[string]func(c *cluster){
		"zone cut": func(c *cluster) {
			inside := c.otherVersion()
			c.cutZoneOf(inside)
			time.Sleep(15 * time.Second)
			c.accept(10*time.Second, inside, submission("wk-000012", job.Array, 4, 5))
			c.until("work goes on in the zone", time.Minute, c.done("wk-000012"))
			time.Sleep(35 * time.Second) // longer than a lease
			c.net.Partition(nil)
		},
		"outage": func(c *cluster) {
			c.store.Down(true)
			time.Sleep(40 * time.Second)
			c.store.Down(false)
		},
		"leader refused": func(c *cluster) {
			old := c.leader()
			c.net.Partition(func(from, to string) bool { return from == nodeAddr(old) && to == stateAddr })
			c.until("another leader", 15*time.Second, func() bool { return c.leader() >= 0 && c.leader() != old })
			time.Sleep(20 * time.Second)
			c.net.Partition(nil)
		},
		"all end": func(c *cluster) {
			for i := range 3 {
				c.kill(i)
			}
			if c.leader() >= 0 {
				c.t.Error("a controller leads that has ended")
			}
			time.Sleep(3 * time.Second)
			for i := range 3 {
				c.start(i)
			}
		},
	}
	for name, trouble := range troubles {
		for version, oldLeads := range map[string]bool{"older leads": true, "newer leads": false} {
			t.Run(name+", "+version, func(t *testing.T) {
				withEachOlderVersion(t, func(c *cluster) {
					c.half()
					c.runService(8)
					c.lead(oldLeads)
					time.Sleep(12 * time.Second)
					c.accept(10*time.Second, 0, submission("wk-000010", job.Array, 100, 20))
					c.until("tasks run", time.Minute, func() bool { return c.begun("wk-000010") > 10 })
					trouble(c)
					for i := range 3 {
						c.replace(i, time.Second)
						time.Sleep(6 * time.Second)
					}
					c.accept(20*time.Second, 2, submission("wk-000011", job.Array, 30, 5))
					c.over(3*time.Minute, map[string]string{"wk-000010": jobstore.StatusDone, "wk-000011": jobstore.StatusDone})
					c.startedOnce()
					if n := c.begun("wk-000001"); n != 8 {
						c.t.Errorf("8 replicas were started %d times", n)
					}
				})
			})
		}
	}
}

// Gangs that come in the middle of the roll are told to come back, at once, by each
// controller of this version, also by one that has just started and knows none of its peers;
// once all run this version one is taken, and it runs whole.
func TestRollingUpgradeGangsRefusedUntilComplete(t *testing.T) {
	simulateFrom(t, startProduction, func(c *cluster) {
		c.until("leader", 10*time.Second, func() bool { return c.leader() >= 0 })
		c.large()
		asked := 0
		for i := range 3 {
			c.replace(i, time.Second)
			c.until("it listens", time.Second, func() bool { return c.ask(i, "GET", "/ready", nil).Status != 0 })
			for range 40 {
				for k := range 3 {
					if c.runsOlder(k) || i == 2 {
						continue
					}
					began := time.Now()
					resp := c.ask(k, "POST", "/v1/jobs", wire.Marshal(gang(4, 5)))
					asked++
					if resp.Status != 503 || resp.RetryAfter == 0 || time.Since(began) > time.Second {
						c.t.Errorf("controller %d, %d replaced: %d, Retry-After %d, after %v", k, i+1, resp.Status, resp.RetryAfter, time.Since(began))
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
		if asked < 100 {
			c.t.Errorf("%d gangs came in the roll", asked)
		}
		c.accept(10*time.Second, 1, gang(4, 5))
		for i := range 3 { // each knows it, also one that has just started
			c.kill(i)
			c.start(i)
			c.until("known", 10*time.Second, func() bool { return c.status(i, gangID) != "503" })
		}
		c.over(time.Minute, map[string]string{gangID: jobstore.StatusDone})
	})
}

// Gangs run on while controllers of the previous version, which runs them too, are replaced.
func TestRollingUpgradeGangsKeepRunning(t *testing.T) {
	simulateFrom(t, startPrevious, func(c *cluster) {
		c.until("leader", 10*time.Second, func() bool { return c.leader() >= 0 })
		c.large()
		c.runGang(gang(8, 60))
		for i := range 3 {
			c.replace(i, time.Second)
			time.Sleep(6 * time.Second)
		}
		c.over(2*time.Minute, map[string]string{gangID: jobstore.StatusDone})
		c.startedOnce()
	})
}

// The limits are lowered while either version leads, which lays out anew what it has kept in
// chunks that are too large by then; the other takes that over.
func TestRollingUpgradeRechunksRecords(t *testing.T) {
	for name, oldFirst := range map[string]bool{"older lays out": true, "newer lays out": false} {
		t.Run(name, func(t *testing.T) {
			simulateFrom(t, startPrevious, func(c *cluster) {
				c.half()
				many := submission("wk-000050", job.Service, 80, 0)
				many["cpus"], many["ram_gb"] = 0.25, 0.25
				c.accept(10*time.Second, 0, many)
				c.until("all replicas run", time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000050") == 80 })
				c.next = &config.StoreLimits{RPS: 200, WriteRPS: 18, ValueBytes: 2 << 10, TxnOps: 4}
				for i := range 3 {
					c.kill(i)
					c.start(i)
				}
				c.until("leader", 10*time.Second, func() bool { return c.leader() >= 0 })
				c.lead(oldFirst)
				c.store.Limit(2<<10, 4, 18)
				c.loseReplica("wk-000050", 80)
				laidOut := func() bool { return len(c.store.Keys(jobstore.JobKey("wk-000050")+"/1")) > 1 }
				c.until("laid out anew", time.Minute, laidOut)
				begun := c.begun("wk-000050")
				c.lead(!oldFirst)
				time.Sleep(12 * time.Second)
				if n := c.begun("wk-000050"); n != begun || c.referee.RunningTasksOf("wk-000050") != 80 {
					c.t.Errorf("%d replicas on, %d started by the next leader", c.referee.RunningTasksOf("wk-000050"), n-begun)
				}
				c.loseReplica("wk-000050", 80)
				c.lead(oldFirst)
				c.abort(0, "wk-000050")
				c.until("gone", 51*time.Second, func() bool { return c.referee.RunningTasksOf("wk-000050") == 0 })
				c.until("nothing left behind", time.Minute, func() bool { return len(c.store.Keys(jobstore.JobPrefix)) == 0 })
			})
		})
	}
}
