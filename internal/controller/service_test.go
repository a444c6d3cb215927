package controller

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/leadership"
	"tulipshelf/internal/wire"
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

func TestInvalidRequestsAreRefused(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		with := func(field string, v any) map[string]any {
			m := submission("wk-000009", job.Array, 2, 5)
			m[field] = v
			return m
		}
		without := with("lane", nil)
		for _, x := range []struct {
			name string
			body map[string]any
			want int
		}{
			{"bad id", with("uid", "job-1"), 400},
			{"negative", with("cpus", -1.0), 400},
			{"too many tasks", with("tickets", 100_001), 400},
			{"unknown shape", with("shape", "tree"), 400},
			{"unknown rank", with("rank", "top"), 400},
			{"missing field", without, 400},
			{"unknown team", with("crew", "others"), 422},
			{"too large", with("cpus", 5.0), 422},
			{"no such zone", with("depot", "z"), 422},
			{"unknown field", with("colour", "red"), 201},
		} {
			if got := c.submit(1, x.body); got != x.want {
				t.Errorf("%s: %d, want %d", x.name, got, x.want)
			}
		}
		for _, x := range []struct {
			method, path string
			body         string
			want         int
		}{
			{"POST", "/v1/jobs", "", 400},
			{"POST", "/v1/jobs", "\x80", 400},
			{"POST", "/v1/jobs", "\xa2\x63uid\x61x\x63uid\x61y", 400},
			{"POST", "/v1/jobs", strings.Repeat("\xa1\x61a", 40) + "\x01", 400},
			{"GET", "/v1/jobs", "", 405},
			{"DELETE", "/v1/jobs/wk-000001", "", 405},
			{"GET", "/v1/jobs/none", "", 404},
			{"GET", "/v2", "", 404},
			{"POST", "/ready", "", 405},
			{"GET", "/ready", "", 200},
		} {
			if got := c.ask(1, x.method, x.path, []byte(x.body)).Status; got != x.want {
				t.Errorf("%s %s %q: %d, want %d", x.method, x.path, x.body, got, x.want)
			}
		}
	})
}

// Polls that come together are confirmed by one read, and what another node has
// told a user is never answered over with an older state (grown deployments: a
// request a poll took more than the state service's rate).
func TestConcurrentPollsShareStoreReads(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		const jobs = 60
		id := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
		for i := range jobs {
			c.accept(10*time.Second, i%3, submission(id(i), job.Service, 1, 0))
		}
		time.Sleep(30 * time.Second)
		before := c.store.Requests()
		got := make(chan string, jobs)
		for i := range jobs {
			go func() { got <- c.status(1, id(i)) }()
		}
		for range jobs {
			if s := <-got; s != "pending" && s != "running" {
				t.Errorf("poll: %s", s)
			}
		}
		if n := c.store.Requests() - before; n > jobs/4 {
			t.Errorf("%d polls at once took %d requests", jobs, n)
		}
		for i := range 20 {
			if s := c.ask(i%3, "POST", "/v1/jobs/"+id(i)+"/abort", nil).Status; s != 200 {
				t.Errorf("abort: %d", s)
			}
			if s := c.status((i+1)%3, id(i)); s != jobstore.StatusCancelled {
				t.Errorf("another node says %s after the cancellation was told", s)
			}
		}
	})
}

// Safety 1: of a transaction whose answer is lost nothing is acknowledged
// before it is read back, and one that is applied late is not applied twice.
func TestUnacknowledgedTransactionsAreReadBack(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.store.LoseResponses(1)
		if got := c.submit(0, submission("wk-000001", job.Array, 4, 5)); got != 200 {
			t.Errorf("applied, answer lost: %d, want 200 after reading back", got)
		}
		c.store.DelayTransactions(1, jobstore.JobKey("wk-000002"))
		if got := c.submit(0, submission("wk-000002", job.Array, 4, 5)); got != 503 {
			t.Errorf("held back: %d, want 503", got)
		}
		if got := c.status(1, "wk-000002"); got != "404" {
			t.Errorf("not accepted yet: %s", got)
		}
		if got := c.submit(1, submission("wk-000002", job.Array, 4, 5)); got != 201 {
			t.Errorf("retry: %d", got)
		}
		c.store.Release()
		c.store.LoseResponses(2) // the leader's own writes
		c.until("first job done", 2*time.Minute, c.done("wk-000001"))
		c.until("second job done", 2*time.Minute, c.done("wk-000002"))
		c.startedOnce()
	})
}

// Safety 2: a new leader has a higher term, takes over what runs and restarts
// nothing that may still run.
func TestFailoverKeepsTasksRunning(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.submit(0, submission("wk-000001", job.Array, 8, 40))
		c.until("tasks run", time.Minute, func() bool { return c.referee.RunningTasks() >= 4 })
		old := c.leader()
		term := c.nodes[old].leader.Load().term.Number()
		c.kill(old)
		c.until("another leader", 10*time.Second, func() bool { return c.leader() >= 0 && c.leader() != old })
		if now := c.nodes[c.leader()].leader.Load().term.Number(); now <= term {
			t.Errorf("term %d after %d", now, term)
		}
		c.start(old)
		c.until("array done", 2*time.Minute, c.done("wk-000001"))
		c.startedOnce()
	})
}

// A node's servers find a new term before its loop runs: reports wait for it, and are
// refused if it ends first. One that came in that moment ended the whole process.
func TestHeartbeatsWaitForLeaderLoop(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.until("leader", 10*time.Second, func() bool { return c.leader() >= 0 })
		n := c.nodes[(c.leader()+1)%3]
		ctx, cancel := context.WithCancelCause(context.Background())
		l := newLeader(ctx, n, &leadership.Term{})
		n.leader.Store(l)
		defer n.leader.CompareAndSwap(l, nil)
		var resp wire.Response
		go func() {
			resp = n.report(context.Background(), wire.Marshal(agent.Heartbeat{Machine: "vm-000001", Incarnation: 1, Sequence: 1}))
		}()
		synctest.Wait()
		if len(l.events) == 0 || resp.Status != 0 {
			t.Errorf("%d reports wait, answered %d", len(l.events), resp.Status)
		}
		cancel(nil)
		synctest.Wait()
		if resp.Status != 503 {
			t.Errorf("answered %d", resp.Status)
		}
	})
}

// In an outage of the state service workers keep their leases, nothing starts
// and nobody is told anything that is not durable.
func TestStoreOutageKeepsTasksRunning(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(2)
		c.store.Down(true)
		if got := c.submit(0, submission("wk-000002", job.Array, 1, 1)); got != 503 {
			t.Errorf("submission in an outage: %d", got)
		}
		if got := c.status(1, "wk-000001"); got != "503" {
			t.Errorf("poll in an outage: %s", got)
		}
		time.Sleep(40 * time.Second) // longer than the workers' lease
		for i := range 3 {
			if got := c.ask(i, "GET", "/ready", nil).Status; got != 200 {
				t.Errorf("node %d is not ready in an outage: %d", i, got)
			}
		}
		if c.referee.RunningTasks() != 2 {
			t.Errorf("%d of 2 replicas left", c.referee.RunningTasks())
		}
		c.store.Down(false)
		c.accept(10*time.Second, 0, submission("wk-000002", job.Array, 1, 1))
		c.until("array done", time.Minute, c.done("wk-000002"))
		if n := c.referee.StartsByTask()["wk-000001/0"]; n != 1 {
			t.Errorf("replica started %d times", n)
		}
	})
}

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

// A leader that the state service alone refuses learns from its peers that it
// is deposed (seen on a hunted day: it kept its workers for 40 s).
func TestLeaderPartitionedFromStoreStepsDown(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(2)
		old := c.leader()
		c.net.Partition(func(from, to string) bool { return from == nodeAddr(old) && to == stateAddr })
		c.until("old leader stands down", 10*time.Second, func() bool {
			return c.nodes[old].leader.Load() == nil && c.leader() >= 0
		})
		c.until("workers follow", 10*time.Second, func() bool {
			for _, w := range c.cloud.Machines() {
				if w.Up() && w.Token() < 2 {
					return false
				}
			}
			return true
		})
		if got := c.status(old, "wk-000001"); got != "503" {
			t.Errorf("poll on the node cut off: %s, want 503", got)
		}
		if got := c.ask(old, "GET", "/ready", nil).Status; got != 503 {
			t.Errorf("ready on the node cut off: %d, want 503", got)
		}
		c.net.Partition(nil)
		if n := c.referee.StartsByTask()["wk-000001/0"]; n != 1 || c.referee.RunningTasks() != 2 {
			t.Errorf("started %d times, %d on", n, c.referee.RunningTasks())
		}
	})
}

// A node cut off from the leader keeps its workers' leases, so that a cut
// between zones stops nothing (troubles and rough days of kapana-orders).
func TestPartitionedZoneKeepsLeases(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(12)
		c.cutZone()
		time.Sleep(40 * time.Second) // longer than the lease
		c.net.Partition(nil)
		time.Sleep(20 * time.Second)
		if n := c.referee.StartsByTask()["wk-000001/0"]; n != 1 || c.referee.RunningTasks() != 12 {
			t.Errorf("started %d times, %d on", n, c.referee.RunningTasks())
		}
	})
}

// Machines on the far side of a cut go on being used: reports and commands go
// through the state service.
func TestPartitionedZoneServedThroughRelay(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(10)
		c.cutZone()
		time.Sleep(15 * time.Second)
		c.submit(0, submission("wk-000002", job.Array, 2, 5))
		c.until("array done on the machines cut off", 30*time.Second, c.done("wk-000002"))
		c.ask(0, "POST", "/v1/jobs/wk-000001/abort", nil)
		c.until("service stopped without returning machines", 15*time.Second, func() bool { return c.referee.RunningTasks() == 0 })
		if got := c.cloud.Returned(); len(got) != 0 {
			t.Errorf("returned %v", got)
		}
		c.net.Partition(nil)
	})
}
