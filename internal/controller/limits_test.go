package controller

// The key-value store lowers its limits at a moment that nobody announces.

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// lowered are the limits to come, of a small state service.
var lowered = &config.StoreLimits{RPS: 80, WriteRPS: 18, ValueBytes: 2 << 10, TxnOps: 4}

// The limits are lowered while large arrays and a large gang run and many cancellations wait to
// be recorded as ended; alone, in the middle of an election, and with answers lost: every job
// ends as it should, none of their tasks is started again once done, and nothing is left behind.
func TestStoreLimitsLoweredDuringCancellations(t *testing.T) {
	const cancelled = 24
	moments := map[string]func(c *cluster){
		"alone": func(*cluster) {},
		"in an election": func(c *cluster) {
			old := c.leader()
			c.kill(old)
			time.Sleep(1500 * time.Millisecond)
			c.start(old)
		},
		"with answers lost": func(c *cluster) { c.store.LoseOneResponseIn(4) },
	}
	for name, moment := range moments {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				c.next = lowered
				c.anew(60, 240)
				c.runService(8)
				want := map[string]string{"wk-000100": jobstore.StatusDone, "wk-000101": jobstore.StatusDone, gangID: jobstore.StatusDone}
				c.accept(10*time.Second, 0, submission("wk-000100", job.Array, 600, 10))
				c.accept(10*time.Second, 1, submission("wk-000101", job.Array, 300, 20))
				c.accept(10*time.Second, 2, gang(80, 60)) // more than one chunk of 2 KiB
				for i := range cancelled {
					c.accept(20*time.Second, i%3, submission(jobID(200+i), job.Array, 2, 300))
				}
				c.until("all have begun", 3*time.Minute, func() bool {
					for i := range cancelled {
						if c.referee.RunningTasksOf(jobID(200+i)) == 0 {
							return false
						}
					}
					return c.referee.RunningTasksOf(gangID) == 80
				})
				for i := range cancelled {
					id := jobID(200 + i)
					c.until("cancelled", 10*time.Second, func() bool { return c.ask(i%3, "POST", "/v1/jobs/"+id+"/abort", nil).Status == 200 })
					want[id] = jobstore.StatusCancelled
				}
				if n := len(c.store.Keys(jobstore.EndKey("wk-0002"))); n == cancelled {
					t.Error("no cancellation waits to be recorded as ended")
				}
				c.store.Limit(lowered.ValueBytes, lowered.TxnOps, lowered.WriteRPS)
				moment(c)
				c.over(8*time.Minute, want)
				c.store.LoseOneResponseIn(0)
				c.until("all ends are recorded", 2*time.Minute, func() bool { return len(c.store.Keys(jobstore.EndKey("wk-0002"))) == cancelled })
				for range 600 {
					if len(c.store.Keys(jobstore.JobPrefix)) == 2 {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				if left := c.store.Keys(jobstore.JobPrefix); len(left) != 2 { // the service and its tasks
					t.Errorf("left behind: %v", left)
				}
				if large, many := c.store.Refused(); large > 0 || many == 0 {
					t.Errorf("%d transactions refused as too large, %d as too many", large, many)
				}
				for i := range 600 {
					if n := c.referee.StartsByTask()[fmt.Sprintf("wk-000100/%d", i)]; n != 1 {
						t.Errorf("wk-000100/%d was started %d times", i, n)
					}
				}
			})
		})
	}
}

// The state service lowers its limits under load, while large arrays that were laid out for
// larger values run, some are cancelled, and the controllers are being replaced, with an
// end in the middle: all is done or cancelled, nothing is lost, nothing waits for ever.
func TestStoreLimitsLoweredDuringRestarts(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(8)
		many := submission("wk-000050", job.Service, 80, 0) // more than fit a chunk later
		many["cpus"], many["ram_gb"] = 0.25, 0.25
		c.accept(10*time.Second, 0, many)
		c.until("all replicas run", time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000050") == 80 })
		want := map[string]string{}
		for i := 2; i < 6; i++ {
			c.accept(10*time.Second, i%3, submission(jobID(i), job.Array, 200, 12))
			want[jobID(i)] = jobstore.StatusDone
		}
		c.next = &config.StoreLimits{RPS: 200, WriteRPS: 18, ValueBytes: 2 << 10, TxnOps: 4}
		for i := range 3 {
			time.Sleep(4 * time.Second)
			c.kill(i)
			c.start(i)
			if i == 1 {
				c.store.Limit(2<<10, 4, 18)
				c.kill(0)
				c.start(0)
			}
		}
		for i := 6; i < 10; i++ {
			c.accept(30*time.Second, i%3, submission(jobID(i), job.Array, 100, 8))
			want[jobID(i)] = jobstore.StatusDone
		}
		c.accept(30*time.Second, 0, gang(8, 10))
		want[gangID] = jobstore.StatusDone
		for _, i := range []int{3, 7} {
			c.until("cancelled", 30*time.Second, func() bool { return c.ask(1, "POST", "/v1/jobs/"+jobID(i)+"/abort", nil).Status == 200 })
			want[jobID(i)] = jobstore.StatusCancelled
		}
		c.until("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
		c.nextLeader()
		c.over(6*time.Minute, want)
		if n := c.referee.RunningTasksOf("wk-000001"); n != 8 {
			t.Errorf("%d of 8 replicas on", n)
		}
		for _, w := range c.cloud.Machines() {
			if w.Has("wk-000050") {
				w.Hang(true)
				break
			}
		}
		c.until("a replica is lost", 30*time.Second, func() bool { return c.referee.RunningTasksOf("wk-000050") < 80 })
		c.until("all replicas run again", 2*time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000050") == 80 })
		if large, many := c.store.Refused(); large > 30 || large+many == 0 {
			t.Errorf("%d transactions refused as too large, %d as too many", large, many)
		}
		c.until("nothing left behind", time.Minute, func() bool {
			return len(c.store.Keys(jobstore.JobPrefix)) == 2+5 // the services and their tasks, in one case of both layouts
		})
	})
}

// A gang that takes more than one chunk, and more than one transaction, at the limits of each
// deployment and at those to come, starts whole or not at all, also if the leader ends in the
// middle of recording it.
func TestGangLargerThanTransaction(t *testing.T) {
	limits := map[string]config.StoreLimits{
		"8 KiB and 8 changes":  {RPS: 80, ValueBytes: 8 << 10, TxnOps: 8, WriteRPS: 25},
		"32 KiB, 16 changes":   {RPS: 250, ValueBytes: 32 << 10, TxnOps: 16, WriteRPS: 20},
		"to come, 4 changes":   {RPS: 80, ValueBytes: 2 << 10, TxnOps: 4, WriteRPS: 18},
		"to come, 5 changes":   {RPS: 80, ValueBytes: 2 << 10, TxnOps: 5, WriteRPS: 15},
		"8 KiB, leader ends":   {RPS: 80, ValueBytes: 8 << 10, TxnOps: 8, WriteRPS: 25},
		"to come, leader ends": {RPS: 80, ValueBytes: 2 << 10, TxnOps: 4, WriteRPS: 18},
	}
	const tasks = 2000
	for name, limit := range limits {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				c.next = &limit
				c.anew(60, 240)
				c.store.Limit(limit.ValueBytes, limit.TxnOps, limit.WriteRPS)
				large := gang(tasks, 30)
				large["cpus"], large["ram_gb"] = 0.1, 0.3
				c.accept(10*time.Second, 0, large)
				if strings.HasSuffix(name, "leader ends") {
					chunks := func() int { return len(c.store.Keys(jobstore.JobKey(gangID) + "/")) }
					c.store.Delay(400 * time.Millisecond)
					c.until("a part is recorded", 2*time.Minute, func() bool { return chunks() > 0 })
					if n := c.referee.RunningTasksOf(gangID); n != 0 || chunks() > tasks/jobstore.TasksPerChunk(limit.ValueBytes) {
						t.Errorf("%d tasks on, %d chunks recorded", n, chunks())
					}
					c.nextLeader()
					c.store.Delay(0)
				}
				c.until("the gang runs", 5*time.Minute, func() bool { return c.cloud.Gangs.Counted().Began > 0 })
				if n := c.referee.RunningTasksOf(gangID); n != tasks {
					t.Errorf("%d tasks on as it runs", n)
				}
				c.over(3*time.Minute, map[string]string{gangID: jobstore.StatusDone})
				if got := c.cloud.Gangs.Counted(); got.Began != 1 || got.Incomplete != 0 {
					t.Errorf("%+v", got)
				}
				if large, _ := c.store.Refused(); large != 0 {
					t.Errorf("%d transactions refused as too large", large)
				}
			})
		})
	}
}
