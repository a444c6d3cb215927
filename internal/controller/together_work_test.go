package controller

import (
	"sync"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/wire"
)

// The state service answers slowly while users cancel and ask: they are answered all the
// same, leases go on, and cancelled tasks are gone in time.
func TestSlowStore(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		c.accept(5*time.Second, 0, submission("wk-000002", job.Service, 4, 0))
		c.until("both run", time.Minute, func() bool { return c.referee.RunningTasks() == 12 })
		c.store.Delay(350 * time.Millisecond)
		time.Sleep(40 * time.Second)
		c.until("cancelled", 10*time.Second, func() bool { return c.ask(1, "POST", "/v1/jobs/wk-000001/abort", nil).Status == 200 })
		answered := 0
		for i := range 20 {
			if s := c.status(i%3, "wk-000002"); s == "running" {
				answered++
			}
			time.Sleep(time.Second)
		}
		if answered < 15 {
			t.Errorf("%d of 20 questions answered", answered)
		}
		if n := c.referee.RunningTasksOf("wk-000001"); n != 0 {
			t.Errorf("%d cancelled tasks on", n)
		}
		c.store.Delay(0)
		if n := c.referee.RunningTasksOf("wk-000002"); n != 4 || c.referee.StartsByTask()["wk-000002/0"] != 1 {
			t.Errorf("%d of 4 replicas on, started %d times", n, c.referee.StartsByTask()["wk-000002/0"])
		}
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

// One-task jobs come four a second for minutes, a quarter of them cancelled.
func TestStreamOfSingleTaskJobs(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		const jobs = 480
		var wg sync.WaitGroup
		var mu sync.Mutex
		want := map[string]string{}
		for i := range jobs {
			wg.Add(1)
			go func() {
				defer wg.Done()
				id := jobID(i)
				c.accept(time.Minute, i%3, submission(id, job.Array, 1, 3))
				s := jobstore.StatusDone
				if i%4 == 0 {
					time.Sleep(time.Duration(i%5) * time.Second)
					var st struct {
						Status string `cbor:"status"`
					}
					c.until("cancelled or done", time.Minute, func() bool {
						resp := c.ask((i+1)%3, "POST", "/v1/jobs/"+id+"/abort", nil)
						return resp.Status == 200 && wire.Unmarshal(resp.Body, &st) == nil
					})
					s = st.Status
				}
				mu.Lock()
				defer mu.Unlock()
				want[id] = s
			}()
			time.Sleep(250 * time.Millisecond)
		}
		wg.Wait()
		c.over(2*time.Minute, want)
		cancelled := 0
		for _, s := range want {
			if s == jobstore.StatusCancelled {
				cancelled++
			}
		}
		if cancelled < jobs/10 {
			t.Errorf("only %d of %d were cancelled before they were done", cancelled, jobs)
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

// zoned starts the controllers anew in two zones: node i is in zone i%2.
func (c *cluster) zoned() {
	c.cloud.Type.Zones = []string{"a", "b"}
	c.zones = []string{"a", "b"}
	c.large()
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
