package controller

// Gangs, by each row of the operators' table, with and without a change of leader in the
// middle. The stand-in workers play them by the page (fake.Gangs).

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

const gangID = "wk-000500"

// gang returns a submission of a gang that saves its progress.
func gang(tasks int, seconds float64) map[string]any {
	m := submission(gangID, job.Gang, tasks, seconds)
	m["stash_every_s"], m["stash_s"] = 10.0, 2.0
	return m
}

// bothWays runs f with and without a change of leader in its middle.
func bothWays(t *testing.T, f func(c *cluster, middle func())) {
	for name, change := range map[string]bool{"one leader": false, "change of leader": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				c.large()
				c.runService(8) // machines are there
				f(c, func() {
					if change {
						c.nextLeader()
					}
				})
			})
		})
	}
}

// runGang submits a gang and waits until it runs.
func (c *cluster) runGang(m map[string]any) {
	c.t.Helper()
	began := c.cloud.Gangs.Counted().Began
	c.accept(10*time.Second, 0, m)
	c.until("gang runs", time.Minute, func() bool { return c.cloud.Gangs.Counted().Began > began })
}

// gangMachines returns the workers that have tasks of the gang.
func (c *cluster) gangMachines() (out []*fake.Agent) {
	for _, w := range c.cloud.Machines() {
		if w.Has(gangID) {
			out = append(out, w)
		}
	}
	return out
}

// All tasks run at the same time and once, and are done together.
func TestGangTasksRunAndCompleteTogether(t *testing.T) {
	bothWays(t, func(c *cluster, middle func()) {
		c.runGang(gang(10, 30))
		if n := c.referee.RunningTasksOf(gangID); n != 10 {
			t.Errorf("%d of 10 tasks on", n)
		}
		middle()
		c.until("done", time.Minute, c.done(gangID))
		c.startedOnce()
		if got := c.cloud.Gangs.Counted(); got != (fake.GangCount{Began: 1, Done: 1}) {
			t.Errorf("%+v", got)
		}
	})
}

// A gang that no team's limit allows whole is refused; one that others of its team leave no
// room waits as a whole, and holds nothing.
func TestGangExceedingQuotaIsRefusedOrWaitsWhole(t *testing.T) {
	bothWays(t, func(c *cluster, middle func()) {
		if s := c.submit(1, gang(97, 10)); s != 422 {
			t.Errorf("more than the limit of 96 CPUs: %d", s)
		}
		c.accept(10*time.Second, 0, submission("wk-000002", job.Service, 80, 0))
		c.until("service runs", time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000002") == 80 })
		c.accept(10*time.Second, 0, gang(12, 10))
		time.Sleep(10 * time.Second)
		middle()
		time.Sleep(10 * time.Second)
		if n := c.referee.RunningTasksOf(gangID); n != 0 {
			t.Errorf("%d tasks of a gang for which the team has no room are on", n)
		}
		c.abort(0, "wk-000002")
		c.until("done", 2*time.Minute, c.done(gangID))
	})
}

// Starts of which only some arrive, and the leader ends: the attempt is withdrawn by the
// next, long before its tasks stop waiting by themselves, and the gang runs whole.
func TestGangPartiallyDispatchedThenLeaderFails(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(30)
		c.accept(10*time.Second, 0, submission("wk-000002", job.Array, 24, 3))
		c.until("machines are there", time.Minute, c.done("wk-000002"))
		far := map[string]bool{}
		for i, w := range c.cloud.Machines() {
			far[w.Addr] = i%2 == 0
		}
		old := c.leader()
		c.net.Partition(func(from, to string) bool { return far[from] && isNode(to) || from == nodeAddr(old) && far[to] })
		c.accept(10*time.Second, old, gang(12, 10))
		c.until("a part waits", 10*time.Second, func() bool { n := c.referee.RunningTasksOf(gangID); return n > 0 && n < 12 })
		time.Sleep(time.Second)
		c.nextLeader()
		c.net.Partition(nil)
		begin := time.Now()
		c.until("gang runs", 40*time.Second, func() bool { return c.cloud.Gangs.Counted().Began == 1 })
		c.until("done", time.Minute, c.done(gangID))
		if got := c.cloud.Gangs.Counted(); got.Incomplete != 0 {
			t.Errorf("%d tasks waited in vain, %v after the change", got.Incomplete, time.Since(begin))
		}
	})
}

// A gang whose record goes unanswered and is applied late, under an earlier leader, is
// neither sent by that nor left as it is by the next.
func TestGangPartiallyRecordedThenLeaderFails(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(8)
		c.store.DelayTransactions(20, jobstore.JobKey(gangID)+"/")
		c.accept(10*time.Second, 0, gang(8, 10))
		time.Sleep(4 * time.Second)
		if n := c.referee.RunningTasksOf(gangID); n != 0 {
			t.Errorf("%d tasks on whose starts are not recorded", n)
		}
		c.store.DelayTransactions(0, "")
		old := c.leader()
		c.kill(old)
		c.store.Release()
		c.start(old)
		c.until("done", 90*time.Second, c.done(gangID))
		c.startedOnce()
	})
}

// A task that disappears while others wait, or run, ends the attempt; the next continues
// from the last checkpoint once all of it is gone.
func TestGangRestartsFromCheckpointAfterMachineLoss(t *testing.T) {
	for name, hang := range map[string]bool{"back at once": false, "hangs": true} {
		t.Run(name, func(t *testing.T) {
			bothWays(t, func(c *cluster, middle func()) {
				c.runGang(gang(10, 40))
				time.Sleep(25 * time.Second)
				w := c.gangMachines()[0]
				if hang {
					w.Hang(true)
				} else {
					w.Restart()
				}
				time.Sleep(3 * time.Second)
				middle()
				c.until("it runs again", time.Minute, func() bool { return c.cloud.Gangs.Counted().Began == 2 })
				if s := c.cloud.Gangs.Saved(gangID); s != 20*time.Second {
					t.Errorf("continues from %v", s)
				}
				begin := time.Now()
				c.until("done", time.Minute, c.done(gangID))
				if took := time.Since(begin); took > 25*time.Second {
					t.Errorf("the rest took %v", took)
				}
				if got := c.cloud.Gangs.Counted(); got.Incomplete != 0 || got.Done != 1 {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// A notice lets the whole gang save and go on elsewhere from where it was; if one of its
// machines can't be told in time nobody is, and the rest is not stopped for nothing.
func TestGangCheckpointsOnTerminationNotice(t *testing.T) {
	bothWays(t, func(c *cluster, middle func()) {
		c.runGang(gang(10, 60))
		time.Sleep(15 * time.Second)
		w := c.gangMachines()[0]
		w.TerminateIn(24 * time.Second)
		middle()
		c.until("saved", 24*time.Second, func() bool { return c.cloud.Gangs.Counted().Stored == 1 })
		saved := c.cloud.Gangs.Saved(gangID)
		if saved < 15*time.Second || saved%(10*time.Second) == 0 {
			t.Errorf("saved %v", saved)
		}
		c.until("it runs again", 30*time.Second, func() bool { return c.cloud.Gangs.Counted().Began == 2 })
		if w.Has(gangID) {
			t.Error("it is on the machine that is taken")
		}
		c.until("done", 90*time.Second, c.done(gangID))
		if got := c.cloud.Gangs.Counted(); got.MatesGone != 0 || got.Incomplete != 0 {
			t.Errorf("%+v", got)
		}
	})
}

func TestGangNotStoppedWhileMemberUnreachable(t *testing.T) {
	bothWays(t, func(c *cluster, middle func()) {
		c.runGang(gang(10, 30))
		time.Sleep(5 * time.Second)
		machines := c.gangMachines()
		off := machines[1].Addr
		c.net.Partition(func(from, to string) bool { return from == off || to == off })
		time.Sleep(9 * time.Second) // it has missed reports, and its tasks go on
		machines[0].TerminateIn(12 * time.Second)
		middle()
		time.Sleep(8 * time.Second)
		if got := c.cloud.Gangs.Counted(); got.Stored != 0 || got.MatesGone != 0 {
			t.Errorf("stopped in part: %+v", got)
		}
		c.net.Partition(nil)
		c.until("done", 2*time.Minute, c.done(gangID))
	})
}

// A service that needs the room of a gang stops all of it in order, not one task.
func TestGangIsPreemptedWhole(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.anew(4, 96)
		m := gang(16, 60)
		m["rank"] = "best_effort"
		c.runGang(m)
		time.Sleep(15 * time.Second)
		urgent := submission("wk-000002", job.Service, 4, 0)
		urgent["rank"] = "high"
		c.accept(10*time.Second, 0, urgent)
		c.until("service runs", 30*time.Second, func() bool { return c.referee.RunningTasksOf("wk-000002") == 4 })
		if got := c.cloud.Gangs.Counted(); got.Stored != 1 || got.MatesGone != 0 {
			t.Errorf("%+v", got)
		}
		c.abort(0, "wk-000002")
		c.until("done", 2*time.Minute, c.done(gangID))
	})
}

// A running gang is cancelled while one of its machines hangs, and the leader changes.
func TestGangCancelledWithHungMachine(t *testing.T) {
	bothWays(t, func(c *cluster, middle func()) {
		c.runGang(gang(10, 300))
		c.gangMachines()[0].Hang(true)
		c.abort(1, gangID)
		middle()
		c.until("gone", 51*time.Second, func() bool { return c.referee.RunningTasksOf(gangID) == 0 })
		time.Sleep(time.Minute)
		if n := c.referee.StartsByTask()[gangID+"/0"]; n != 1 {
			t.Errorf("started %d times", n)
		}
	})
}

// Old reports, of the attempt before, end nothing of the one that runs.
func TestGangIgnoresHeartbeatsOfEarlierAttempt(t *testing.T) {
	bothWays(t, func(c *cluster, middle func()) {
		c.runGang(gang(10, 40))
		var old [][]byte
		for _, w := range c.gangMachines() {
			old = append(old, w.CurrentHeartbeat())
		}
		c.gangMachines()[0].Restart()
		c.until("it runs again", time.Minute, func() bool { return c.cloud.Gangs.Counted().Began == 2 })
		middle()
		for i := range 3 {
			for _, body := range old {
				c.send(i, "POST", "/v1/report", body)
			}
		}
		c.until("done", 2*time.Minute, c.done(gangID))
		if got := c.cloud.Gangs.Counted(); got.Began != 2 || got.Done != 1 {
			t.Errorf("%+v", got)
		}
	})
}

// The tasks complete together: one that can't say so, because its machine is gone, does not
// make the gang run again.
func TestGangCompletesWithUnreachableMember(t *testing.T) {
	bothWays(t, func(c *cluster, middle func()) {
		c.runGang(gang(10, 15))
		time.Sleep(12 * time.Second)
		last := c.gangMachines()[0]
		c.net.Partition(func(from, to string) bool { return from == last.Addr || to == last.Addr })
		c.until("done by itself", 10*time.Second, func() bool { return c.cloud.Gangs.Counted().Done == 1 })
		last.Hang(true)
		time.Sleep(time.Second)
		middle()
		c.until("done", 90*time.Second, c.done(gangID))
		if got := c.cloud.Gangs.Counted(); got.Began != 1 {
			t.Errorf("%+v", got)
		}
		c.net.Partition(nil)
	})
}

// A gang in one zone loses a machine and moves only once nothing of it is left there; the
// referee watches zones.
func TestGangStaysInOneZoneAfterMachineLoss(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.zoned()
		m := gang(12, 60)
		m["same_place"] = true
		c.runGang(m)
		for range 3 {
			time.Sleep(12 * time.Second)
			machines := c.gangMachines()
			if len(machines) == 0 {
				continue
			}
			machines[0].Hang(true)
			c.nextLeader()
		}
		c.until("done", 4*time.Minute, c.done(gangID))
		zones := map[string]bool{}
		for task, z := range c.referee.Zones() {
			if strings.HasPrefix(task, gangID) {
				zones[z] = true
			}
		}
		if len(zones) != 1 {
			t.Errorf("it ended in %v", zones)
		}
	})
}

// Small tasks of the same priority come without end and fill every gap; a large gang begins
// all the same, and room is not kept free for it for long.
func TestGangNotStarvedBySmallTasks(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.anew(6, 96)
		var stop atomic.Bool
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for i := 1; !stop.Load() && i < 400; i++ {
				c.accept(20*time.Second, i%3, submission(fmt.Sprintf("wk-%06d", i), job.Array, 12, 8))
				time.Sleep(3 * time.Second)
			}
		}()
		time.Sleep(40 * time.Second)
		if n := c.referee.RunningTasks(); n < 20 {
			t.Errorf("machines are not full: %d tasks on", n)
		}
		m := gang(16, 10)
		c.accept(10*time.Second, 0, m)
		c.until("gang runs", 40*time.Second, func() bool { return c.cloud.Gangs.Counted().Began == 1 })
		stop.Store(true)
		<-ended
		c.until("done", time.Minute, c.done(gangID))
	})
}

// Two gangs that fit only one after the other never hold a part each.
func TestCompetingGangsHoldNoPartialAllocations(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.anew(6, 96)
		ids := []string{"wk-000501", "wk-000502", "wk-000503"}
		for i, id := range ids {
			m := gang(14, 15)
			m["uid"] = id
			c.accept(10*time.Second, i, m)
		}
		for !slices.ContainsFunc(ids, func(id string) bool { return c.status(0, id) == jobstore.StatusDone }) {
			on := 0
			for _, id := range ids {
				if n := c.referee.RunningTasksOf(id); n > 0 {
					on++
				}
			}
			if on > 1 {
				t.Fatalf("%d gangs hold room that fits one", on)
			}
			time.Sleep(200 * time.Millisecond)
		}
		for _, id := range ids {
			c.until("done", 3*time.Minute, c.done(id))
		}
		if got := c.cloud.Gangs.Counted(); got.Began != 3 || got.Incomplete != 0 {
			t.Errorf("%+v", got)
		}
	})
}

// Room that is kept free for gangs to come keeps no other job waiting for long, though
// machines are full of what came before.
func TestGangReservationsDoNotStarveOtherJobs(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.anew(6, 96)
		c.runGang(gang(16, 60)) // one as large may come again
		for i := 1; i <= 3; i++ {
			c.accept(10*time.Second, i%3, submission(jobID(i), job.Array, 8, 600))
		}
		low := submission("wk-000009", job.Array, 2, 600)
		low["rank"] = "best_effort"
		c.accept(10*time.Second, 0, low)
		for i := 1; i <= 3; i++ {
			c.until("begun", 90*time.Second, func() bool { return c.referee.RunningTasksOf(jobID(i)) > 0 })
		}
		c.until("the least urgent has begun", 90*time.Second, func() bool { return c.referee.RunningTasksOf("wk-000009") > 0 })
	})
}

// A gang of high priority stops as many tasks of lower priority as it needs and no more, and
// begins long before they would have ended.
func TestGangPreemptsNoMoreThanItNeeds(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.anew(6, 96)
		c.accept(10*time.Second, 0, submission("wk-000002", job.Array, 24, 60))
		c.until("machines are full", time.Minute, func() bool { return c.referee.RunningTasks() == 24 })
		time.Sleep(5 * time.Second)
		m := gang(4, 10)
		m["rank"] = "high"
		c.accept(10*time.Second, 0, m)
		c.until("gang runs", 10*time.Second, func() bool { return c.cloud.Gangs.Counted().Began == 1 })
		if n := c.referee.RunningTasksOf("wk-000002"); n != 20 {
			t.Errorf("%d of 24 tasks of lower priority left", n)
		}
		c.until("done", 30*time.Second, c.done(gangID))
		c.until("array done", 3*time.Minute, c.done("wk-000002"))
		again := 0
		for task, n := range c.referee.StartsByTask() {
			if strings.HasPrefix(task, "wk-000002/") {
				again += n - 1
			}
		}
		if again != 4 {
			t.Errorf("%d tasks of lower priority started again, not 4", again)
		}
	})
}

// Gangs of a team that is beyond its guarantee begin while arrays within another team's fill
// all machines, one after the other; what is guaranteed waits for no more than that.
func TestGangBeyondGuaranteeNotStarvedByArrays(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(10) // more than is guaranteed
		for i := range 4 {
			m := submission(jobID(100+i), job.Array, 250, 20)
			m["crew"] = "neighbours"
			c.accept(10*time.Second, 0, m)
		}
		c.until("all machines are full", time.Minute, func() bool { return c.referee.RunningTasks() == 96 })
		for i := range 3 {
			m := gang(8, 10)
			m["uid"] = jobID(500 + i)
			c.accept(10*time.Second, i, m)
		}
		begin := time.Now()
		c.until("the gangs begin", time.Minute, func() bool { return c.cloud.Gangs.Counted().Began == 3 })
		if c.begun(jobID(103)) == 250 {
			t.Errorf("the arrays were over after %v", time.Since(begin))
		}
		for i := range 4 {
			c.until("array done", 5*time.Minute, c.done(jobID(100+i)))
		}
	})
}
