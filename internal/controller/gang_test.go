package controller

// Gangs run whole or not at all, with and without a failover while they run.

import (
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

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
