package controller

// Cancellations: once a user is told that a job is cancelled, its tasks are gone within the deadline
// and none of them starts again.

import (
	"strings"
	"sync"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// Safety 6: a cancelled task on a machine that cannot be reached is gone within
// the cancellation time, by returning the machine, also while the state service is
// away. So many hang that they are not given up for their silence alone.
func TestCancelledTasksStopOnHungMachines(t *testing.T) {
	for name, outage := range map[string]bool{"alone": false, "in an outage": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				time.Sleep(2 * time.Second)
				c.runService(12)
				for _, w := range c.cloud.Machines() {
					w.Hang(true)
				}
				c.abort(1, "wk-000001")
				c.store.Down(outage)
				c.until("task gone", 51*time.Second, func() bool { return c.referee.RunningTasks() == 0 })
				c.store.Down(false)
				c.until("answered", 5*time.Second, func() bool { return c.status(0, "wk-000001") == jobstore.StatusCancelled })
				time.Sleep(time.Minute)
				if n := c.referee.StartsByTask()["wk-000001/0"]; n != 1 {
					t.Errorf("started %d times", n)
				}
			})
		})
	}
}

// cancelWithoutLeader ends the leader, cancels wk-000001 through another node and begins
// an outage, before anybody can be elected.
func (c *cluster) cancelWithoutLeader() (old int) {
	c.t.Helper()
	old = c.leader()
	c.kill(old)
	c.abort((old+1)%3, "wk-000001")
	c.store.Down(true)
	return old
}

// A job is cancelled while nobody leads, and in the outage that follows nobody can be
// elected: the nodes that its workers come to halt what they know to be cancelled.
func TestCancelWithoutLeader(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		old := c.cancelWithoutLeader()
		c.until("cancelled tasks gone", 51*time.Second, func() bool { return c.referee.RunningTasks() == 0 })
		c.start(old)
		c.store.Down(false)
		c.until("answered", 15*time.Second, func() bool { return c.status(old, "wk-000001") == jobstore.StatusCancelled })
	})
}

// A leader elected long after a cancellation halts the tasks where they are; it does not
// return the machines before they had time to report to it. Until then the tasks were kept
// by one that could learn of the cancellation from nobody.
func TestCancelLongBeforeElection(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		old := c.leader()
		c.net.Partition(func(from, to string) bool {
			worker := func(addr string) bool { return strings.HasPrefix(addr, "10.1.") }
			node := func(addr string) bool { return strings.HasPrefix(addr, "10.0.") }
			mine := from == nodeAddr(old) || to == nodeAddr(old) || to == peerAddr(old)
			return mine && !worker(from) && !worker(to) && !strings.HasPrefix(from, "user") || !mine && (worker(from) && node(to) || node(from) && worker(to))
		})
		c.abort((old+1)%3, "wk-000001")
		c.store.Down(true)
		time.Sleep(32 * time.Second)
		if n := c.referee.RunningTasks(); n != 8 {
			t.Errorf("%d of 8 tasks on at the end of the outage", n)
		}
		c.net.Partition(func(from, to string) bool { return from == nodeAddr(old) && to == stateAddr })
		c.store.Down(false)
		c.until("cancelled tasks gone", 15*time.Second, func() bool { return c.referee.RunningTasks() == 0 })
		time.Sleep(3 * time.Second)
		if got := c.cloud.Returned(); len(got) != 0 {
			t.Errorf("returned %v", got)
		}
	})
}

// A job is cancelled while the starts of its tasks can't be recorded: they are taken back,
// unsent, the job ends, and others of its team have their room and limit.
func TestCancelBeforeStartsAreRecorded(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(80) // of 96 that the team may use
		c.store.DelayTransactions(20, jobstore.JobKey("wk-000002")+"/")
		c.accept(5*time.Second, 0, submission("wk-000002", job.Service, 16, 0))
		c.until("starts held back", 10*time.Second, func() bool { return c.store.Unanswered() > 0 })
		c.abort(1, "wk-000002")
		c.accept(5*time.Second, 2, submission("wk-000003", job.Array, 16, 5))
		// A new term proves in half a minute that they were never sent; it need not come to that.
		c.over(15*time.Second, map[string]string{"wk-000003": jobstore.StatusDone, "wk-000002": jobstore.StatusCancelled})
		c.until("the job ended", 20*time.Second, func() bool { return len(c.store.Keys(jobstore.EndKey("wk-000002"))) == 1 })
		if n := c.referee.StartsByTask()["wk-000002/0"]; n != 0 {
			t.Errorf("started %d times", n)
		}
		c.store.DelayTransactions(0, "")
		c.store.Release()
		time.Sleep(5 * time.Second)
		if keys := c.store.Keys(jobstore.JobKey("wk-000002")); len(keys) > 0 {
			t.Errorf("late writes brought back %v", keys)
		}
	})
}

// Jobs are cancelled in the seconds in which one leader's work passes to the next.
func TestCancelDuringLeadershipTransfer(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		const jobs = 24
		for i := range jobs {
			c.accept(5*time.Second, i%3, submission(jobID(i), job.Service, 2, 0))
		}
		c.until("all run", time.Minute, func() bool { return c.referee.RunningTasks() == 2*jobs })
		time.Sleep(12 * time.Second)
		old := c.leader()
		c.store.Delay(100 * time.Millisecond) // so that starts are on their way for a while
		c.net.Partition(func(from, to string) bool {
			return isWorker(from) && to == nodeAddr(old) || from == nodeAddr(old) && isWorker(to)
		})
		under := map[int]int{} // cancellations by who led
		for i := range jobs {
			time.Sleep(500 * time.Millisecond)
			under[c.leader()]++
			c.until("cancelled", 10*time.Second, func() bool { return c.ask(i%3, "POST", "/v1/jobs/"+jobID(i)+"/abort", nil).Status == 200 })
			// And one that has only just come.
			small := submission(jobID(100+i), job.Array, 8, 60)
			small["cpus"], small["ram_gb"] = 0.25, 0.5
			if i%4 == 0 {
				c.store.DelayTransactions(3, jobstore.JobKey(jobID(100+i))+"/") // its starts are not recorded for a while
			}
			c.accept(10*time.Second, i%3, small)
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			c.until("cancelled", 10*time.Second, func() bool { return c.ask((i+1)%3, "POST", "/v1/jobs/"+jobID(100+i)+"/abort", nil).Status == 200 })
		}
		if under[old] < 5 || under[old] > jobs-5 {
			t.Errorf("cancelled by who led: %v, at first %d", under, old)
		}
		c.until("all halted, without waiting for machines to be returned", 15*time.Second, func() bool { return c.referee.RunningTasks() == 0 })
		c.net.Partition(nil)
		c.store.Delay(0)
		c.until("all ends recorded", time.Minute, func() bool { return len(c.store.Keys(jobstore.JobPrefix)) == 0 })
		if n := c.referee.StartsAfterCancellation(); n != 0 {
			t.Errorf("%d tasks were started after their cancellation was told", n)
		}
	})
}

// A cancellation, a question or a repeated submission meets the end of a job's last task:
// what is told first stands.
func TestCancelRacesWithCompletion(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.rps = 400
		c.restartAll()
		time.Sleep(2 * time.Second)
		c.runService(4) // machines are there
		states := map[string]int{}
		for i := 10; i < 60; i++ {
			id := jobID(i)
			m := submission(id, job.Array, 1, 3)
			c.accept(10*time.Second, i%3, m)
			c.until("it runs", 20*time.Second, func() bool { return c.referee.RunningTasksOf(id) == 1 })
			if i == 20 {
				c.store.Delay(60 * time.Millisecond) // so that more is on its way at once
			}
			time.Sleep(3*time.Second - 20*time.Millisecond + time.Duration(i%20)*40*time.Millisecond)
			var wg sync.WaitGroup
			for k := range 3 {
				wg.Add(2)
				go func() {
					defer wg.Done()
					c.ask(k, "POST", "/v1/jobs/"+id+"/abort", nil)
				}()
				go func() {
					defer wg.Done()
					c.status(k, id)
					c.submit(k, m)
				}()
			}
			wg.Wait()
			c.until("over", 20*time.Second, func() bool { return stage(c.status(i%3, id)) == 2 })
			states[c.status(i%3, id)]++
		}
		if states[jobstore.StatusDone] == 0 || states[jobstore.StatusCancelled] == 0 {
			t.Errorf("the end was not met: %v", states)
		}
	})
}

// A controller that reaches none of the others confirms no cancellation before nothing is
// left of the job; users come back, and are answered soon.
func TestIsolatedNodeConfirmsCancellationOnlyOnceTasksAreGone(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		at := (c.leader() + 1) % 3
		c.net.Partition(func(from, to string) bool {
			return strings.HasPrefix(from, "10.0.") && strings.HasPrefix(to, "10.0.")
		})
		time.Sleep(2 * time.Second)
		told := func() bool {
			on := c.referee.RunningTasks()
			if c.status(at, "wk-000001") != jobstore.StatusCancelled {
				return false
			}
			if on != 0 {
				t.Errorf("told by one controller alone, with %d tasks on", on)
			}
			return true
		}
		first := make(chan int, 1)
		go func() { first <- c.ask(at, "POST", "/v1/jobs/wk-000001/abort", nil).Status }()
		c.until("answered", 10*time.Second, told)
		if s := <-first; s != 503 {
			t.Errorf("confirmed by one controller alone: %d", s)
		}
		c.abort(at, "wk-000001")
	})
}

// A new leader knows from the other controllers which tasks of cancelled jobs are gone,
// though their ends could not be recorded, and returns no machine for them.
func TestNewLeaderLearnsEndedCancelledTasksFromPeers(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(8)
		c.accept(5*time.Second, 0, submission("wk-000002", job.Service, 8, 0))
		c.until("both run", time.Minute, func() bool { return c.referee.RunningTasks() == 16 })
		c.store.DelayTransactions(10_000, jobstore.EndKey(""))
		c.abort(1, "wk-000002")
		c.until("cancelled tasks gone", 10*time.Second, func() bool { return c.referee.RunningTasks() == 8 })
		time.Sleep(45 * time.Second)
		c.mute(isWorker)
		time.Sleep(time.Second)
		idle := c.cloud.Returned()
		c.nextLeader()
		time.Sleep(5 * time.Second) // what is silent is given up later
		if gone := c.cloud.Returned(); len(gone) > len(idle) {
			t.Errorf("returned %v, and before that %v", gone[len(idle):], idle)
		}
		c.net.Partition(nil)
		c.store.DelayTransactions(0, "")
		c.over(20*time.Second, map[string]string{"wk-000002": jobstore.StatusCancelled})
		c.until("the end is recorded", 20*time.Second, func() bool { return len(c.store.Keys(jobstore.EndKey("wk-000002"))) == 1 })
	})
}

// A zone with workers and a controller is cut off for longer than a lease, while jobs there
// are cancelled: their tasks are gone in time, the others are kept.
func TestCancelInPartitionedZone(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.zoned()
		for i, z := range []string{"b", "b", "a"} {
			m := submission(jobID(i), job.Service, 8, 0)
			m["depot"] = z
			c.accept(5*time.Second, i, m)
		}
		c.until("all run", time.Minute, func() bool { return c.referee.RunningTasks() == 24 })
		c.until("a leader in zone a", 2*time.Minute, func() bool {
			if c.leader() == 1 {
				c.nextLeader()
			}
			return c.leader() >= 0 && c.leader() != 1
		})
		time.Sleep(15 * time.Second)
		inside := map[string]bool{nodeAddr(1): true, peerAddr(1): true}
		for _, w := range c.cloud.Machines() {
			if w.Zone == "b" {
				inside[w.Addr] = true
			}
		}
		c.net.Partition(func(from, to string) bool { return inside[from] != inside[to] })
		cut := time.Now()
		c.abort(0, jobID(0))
		c.until("cancelled tasks gone", 51*time.Second, func() bool { return c.referee.RunningTasksOf(jobID(0)) == 0 })
		time.Sleep(time.Until(cut.Add(40 * time.Second)))
		c.net.Partition(nil)
		c.until("the others whole", 2*time.Minute, func() bool { return c.referee.RunningTasksOf(jobID(1)) == 8 && c.referee.RunningTasksOf(jobID(2)) == 8 })
		if n := c.referee.StartsByTask()[jobID(2)+"/0"]; n != 1 {
			t.Errorf("a replica outside was started %d times", n)
		}
	})
}
