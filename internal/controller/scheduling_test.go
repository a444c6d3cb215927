package controller

// Scheduling of arrays and services: priorities, quotas, zones, and jobs that always fail.

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

func TestArrayRunsOnce(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		if got := c.submit(0, submission("wk-000001", job.Array, 6, 5)); got != 201 {
			t.Fatalf("submission: %d", got)
		}
		c.until("array done", time.Minute, c.done("wk-000001"))
		c.startedOnce()
		// A retry, however broken by now, gets the state of the known job.
		bad := submission("wk-000001", job.Array, -1, 5)
		if got := c.submit(1, bad); got != 200 {
			t.Errorf("retry of a known job: %d", got)
		}
		if got := c.status(0, "wk-000002"); got != "404" {
			t.Errorf("unknown job: %s", got)
		}
		c.until("idle machines returned", 3*time.Minute, func() bool { return len(c.cloud.Machines()) == 0 })
		if keys := c.store.Keys("job/"); len(keys) != 0 {
			t.Errorf("left behind: %v", keys)
		}
	})
}

// The users' rule: a job begins within four minutes, though work of higher priority,
// or smaller arrays, never cease to wait.
func TestLowPriorityAndLargeJobsNotStarved(t *testing.T) {
	low := submission("wk-900000", job.Array, 40, 10)
	low["rank"] = "best_effort"
	large := submission("wk-900000", job.Array, 2000, 10)
	for name, late := range map[string]map[string]any{"of low priority": low, "large": large} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				time.Sleep(2 * time.Second)
				begin := time.Now()
				c.submit(0, submission("wk-000000", job.Array, 60, 10))
				c.submit(0, late)
				for i := 1; time.Since(begin) < 4*time.Minute; i++ {
					c.submit(i%3, submission(fmt.Sprintf("wk-%06d", i), job.Array, 24, 10))
					time.Sleep(10 * time.Second)
				}
				began := 0
				for task := range c.referee.StartsByTask() {
					if task[:9] == "wk-900000" {
						began++
					}
				}
				if began == 0 {
					t.Error("not begun within four minutes")
				}
			})
		})
	}
}

// A team without a guarantee or a limit runs on what others leave, gives it back to work
// within a guarantee, and is done in the end.
func TestTeamWithoutGuaranteeUsesIdleCapacity(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		guests := submission("wk-000001", job.Array, 40, 120)
		guests["crew"], guests["rank"] = "guests", "high"
		if s := c.submit(0, guests); s != 201 {
			t.Fatalf("guests' submission: %d", s)
		}
		c.until("guests have all machines", time.Minute, func() bool { return c.referee.RunningTasks() == 24 })
		own := submission("wk-000002", job.Array, 8, 20)
		own["rank"] = "best_effort"
		c.submit(0, own)
		c.until("work within the guarantee done", time.Minute, c.done("wk-000002"))
		c.until("guests done", 10*time.Minute, c.done("wk-000001"))
	})
}

// A team is at its limit, its jobs are cancelled while half of its machines hang or are cut
// off, and the leader changes: what can't be asked counts until it is proven gone (the
// referee adds up), and then others of the team run.
func TestQuotaHoldsAcrossFailover(t *testing.T) {
	for name, hang := range map[string]bool{"hang": true, "cut off": false} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				c.offer(24, c.limit)
				time.Sleep(2 * time.Second)
				for i := range 4 {
					c.accept(5*time.Second, i%3, submission(jobID(i), job.Service, 4, 0))
				}
				c.until("at the limit", time.Minute, func() bool { return c.referee.RunningTasks() == 16 })
				c.accept(5*time.Second, 0, submission("wk-000010", job.Array, 32, 10))
				_, half := c.withTasks()
				off := map[string]bool{}
				for _, w := range half {
					w.Hang(hang)
					off[w.Addr] = true
				}
				if !hang {
					c.net.Partition(func(from, to string) bool { return off[from] || off[to] })
				}
				for i := range 4 {
					c.abort(i%3, jobID(i))
				}
				term := c.nodes[c.leader()].leader.Load().term.Number()
				c.nextLeader()
				if on := c.referee.RunningTasks(); on == 0 {
					t.Error("nothing was left on the machines that can't be asked")
				}
				if now := c.nodes[c.leader()].leader.Load().term.Number(); now <= term {
					t.Errorf("term %d after %d", now, term)
				}
				c.until("array done", 3*time.Minute, c.done("wk-000010"))
				c.net.Partition(nil)
			})
		})
	}
}

// Jobs that fail everywhere are not held against the machines, are tried one task at a
// time and ever less often, also by another leader, take neither room nor machines from
// good ones, and stay known until they are cancelled.
func TestAlwaysFailingJobIsThrottled(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		for i := range 2 {
			bad := submission(fmt.Sprintf("wk-00000%d", i), job.Array, 300, 5)
			bad["lane"] = fake.FailingClass
			c.submit(0, bad)
		}
		tries := func() (n int) {
			for task, k := range c.referee.StartsByTask() {
				if strings.HasPrefix(task, "wk-00000") {
					n += k
				}
			}
			return n
		}
		time.Sleep(20 * time.Second)
		first := tries() // some run at once before the mistake shows
		c.submit(0, submission("wk-000010", job.Array, 24, 5))
		c.until("the good job is done", 25*time.Second, c.done("wk-000010"))
		c.nextLeader()
		time.Sleep(2 * time.Minute)
		if n := tries() - first; n > 60 {
			t.Errorf("two jobs that fail everywhere were started %d times more", n)
		}
		if got := c.cloud.Returned(); len(got) > 24 {
			t.Errorf("returned for the jobs' mistake: %v", got)
		}
		if n := len(c.cloud.Machines()); n > 8 {
			t.Errorf("%d machines kept for jobs that fail everywhere", n)
		}
		for i := range 2 {
			if s := c.status(i, fmt.Sprintf("wk-00000%d", i)); s != "pending" && s != "running" {
				t.Errorf("a job that fails everywhere is %s", s)
			}
			c.abort(i, fmt.Sprintf("wk-00000%d", i))
		}
		c.until("all gone", 51*time.Second, func() bool { return c.referee.RunningTasks() == 0 })
	})
}

// More work than room, urgent and not, over slow links: limits hold, what is urgent runs
// first, and all is done in the end.
func TestOverloadOverSlowLinks(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		slow := func(from, to string) time.Duration {
			if isWorker(from) || isWorker(to) {
				return 1200 * time.Millisecond
			}
			return 0
		}
		c.net.DelayRequests(slow)
		c.net.DelayResponses(slow)
		want := map[string]string{}
		for i := range 6 {
			m := submission(jobID(i), job.Array, 20, 6)
			if i%2 == 1 {
				m["rank"] = "best_effort"
			}
			c.accept(10*time.Second, i%3, m)
			want[jobID(i)] = jobstore.StatusDone
		}
		time.Sleep(20 * time.Second)
		urgent := submission("wk-000010", job.Service, 8, 0)
		urgent["rank"] = "high"
		c.accept(10*time.Second, 0, urgent)
		c.until("the urgent service runs", 40*time.Second, func() bool { return c.referee.RunningTasksOf("wk-000010") == 8 })
		if c.status(0, jobID(0)) == jobstore.StatusDone && c.status(0, jobID(1)) == jobstore.StatusDone && c.status(0, jobID(5)) == jobstore.StatusDone {
			t.Error("there was room for all")
		}
		c.net.DelayRequests(nil)
		c.net.DelayResponses(nil)
		c.over(5*time.Minute, want)
	})
}

// Jobs bound to one zone, arrays too, lose machines: what is left goes on where its zone
// is, and nothing starts in another while anything of it may be left.
func TestZoneBoundJobsAfterMachineLoss(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.zoned()
		want := map[string]string{}
		for i := range 6 {
			shape, n, s := job.Array, 12, 20.0
			if i%3 == 2 {
				shape, n, s = job.Service, 4, 0
			}
			m := submission(jobID(i), shape, n, s)
			switch i % 2 {
			case 0:
				m["same_place"] = true
			case 1:
				m["depot"] = "b"
			}
			c.accept(5*time.Second, i%3, m)
			if shape == job.Array {
				want[jobID(i)] = jobstore.StatusDone
			}
		}
		c.until("they run", time.Minute, func() bool { return c.referee.RunningTasks() >= 24 })
		for round := range 3 {
			all, _ := c.withTasks()
			for k, w := range all {
				if k%3 == round {
					w.Hang(true)
				}
			}
			if round == 1 {
				c.nextLeader()
			}
			time.Sleep(12 * time.Second)
		}
		c.over(4*time.Minute, want)
		c.until("services whole", 2*time.Minute, func() bool { return c.referee.RunningTasksOf(jobID(2)) == 4 && c.referee.RunningTasksOf(jobID(5)) == 4 })
		if len(c.cloud.Returned()) == 0 {
			t.Error("no machine was lost")
		}
	})
}
