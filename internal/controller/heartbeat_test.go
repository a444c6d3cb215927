package controller

// Heartbeats that are missing, late or duplicated, and what a new leader learns from the first ones.

import (
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
)

// A late copy of a report is no sign of life: neither to the leader that has
// returned the machine nor to a new one, which has never known it.
func TestDuplicateHeartbeatIsNoSignOfLife(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.submit(0, submission("wk-000001", job.Array, 8, 5))
		c.until("array done", time.Minute, c.done("wk-000001"))
		var copies [][]byte
		for _, w := range c.cloud.Machines() {
			copies = append(copies, w.CurrentHeartbeat())
		}
		c.until("machines returned", 2*time.Minute, func() bool { return len(c.cloud.Machines()) == 0 })
		deliver := func() {
			for _, body := range copies {
				c.ask(c.leader(), "POST", "/v1/report", body)
			}
		}
		deliver()
		if n := c.nodes[c.leader()].leader.Load().fleet.Size(); n > len(copies) {
			t.Errorf("%d machines known, %d were rented", n, len(copies))
		}
		c.nextLeader()
		time.Sleep(time.Second)
		deliver()
		begin := time.Now()
		c.submit(c.leader(), submission("wk-000002", job.Service, 2, 0))
		for time.Since(begin) < 16*time.Second && c.referee.RunningTasks() < 2 {
			time.Sleep(2 * time.Second)
			deliver() // ever again
		}
		// Booting takes 10 s; a start on a machine that is not there costs more.
		if c.referee.RunningTasks() < 2 {
			t.Errorf("service not running %v after its submission", time.Since(begin))
		}
	})
}

// Old reports reach every controller just as a new leader begins, before any newer one, or
// once it has acted: they bring back nothing that has ended, and end nothing that runs.
func TestNewLeaderIgnoresStaleHeartbeats(t *testing.T) {
	for name, acted := range map[string]bool{"as it begins": false, "once it has acted": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				time.Sleep(2 * time.Second)
				c.runService(4)
				c.accept(5*time.Second, 0, submission("wk-000002", job.Array, 8, 4))
				c.until("array runs", time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000002") > 0 })
				var old [][]byte
				for _, w := range c.cloud.Machines() {
					old = append(old, w.CurrentHeartbeat()) // its tasks run, and the next ones are not there
				}
				c.until("array done", time.Minute, c.done("wk-000002"))
				c.accept(5*time.Second, 0, submission("wk-000003", job.Array, 8, 25))
				c.until("the next one runs", time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000003") == 8 })
				if !acted {
					c.mute(func(string) bool { return true })
				}
				c.nextLeader()
				if acted {
					c.accept(5*time.Second, 0, submission("wk-000004", job.Array, 2, 25))
					c.until("it has acted", time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000004") == 2 })
				}
				taken := 0
				for i := range 3 {
					for _, body := range old {
						if c.send(i, "POST", "/v1/report", body).Status == 200 {
							taken++
						}
					}
				}
				if taken == 0 {
					t.Error("the new leader took no old report")
				}
				time.Sleep(3 * time.Second)
				c.net.Partition(nil)
				c.until("done", 2*time.Minute, c.done("wk-000003"))
				if n := c.referee.RunningTasksOf("wk-000001"); n != 4 {
					t.Errorf("%d of 4 replicas on", n)
				}
				c.startedOnce()
			})
		})
	}
}

// Machines reach no controller, while direct commands still reach them: a cancelled task
// there is gone in time, and what they could not keep runs elsewhere.
func TestCancelOnMachinesWithoutHeartbeats(t *testing.T) {
	for name, share := range map[string]int{"some": 2, "all": 1} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				c.large()
				c.runService(24)
				c.accept(5*time.Second, 0, submission("wk-000002", job.Service, 8, 0))
				c.until("both run", time.Minute, func() bool { return c.referee.RunningTasks() == 32 })
				_, half := c.withTasks()
				mute := map[string]bool{}
				for _, w := range c.cloud.Machines() {
					if share == 1 || w.Addr == half[len(mute)%len(half)].Addr {
						mute[w.Addr] = true
					}
				}
				for _, w := range half {
					mute[w.Addr] = true
				}
				asked := c.net.RequestsTo(half[0].Addr)
				c.mute(func(addr string) bool { return mute[addr] })
				time.Sleep(time.Second)
				c.abort(1, "wk-000001")
				c.until("cancelled tasks gone", 51*time.Second, func() bool { return c.referee.RunningTasksOf("wk-000001") == 0 })
				if c.net.RequestsTo(half[0].Addr) == asked {
					t.Error("no direct request came to a mute machine")
				}
				c.net.Partition(nil)
				c.until("the other runs", 2*time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000002") == 8 })
			})
		})
	}
}

// Machines that reach no controller are told by a leader that has never heard of them: it
// asks them, and so halts what is cancelled long before they would have to be returned.
func TestNewLeaderProbesMachinesWithoutHeartbeats(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(24)
		c.accept(5*time.Second, 0, submission("wk-000002", job.Service, 8, 0))
		c.until("both run", time.Minute, func() bool { return c.referee.RunningTasks() == 32 })
		c.mute(isWorker)
		c.nextLeader()
		c.until("cancelled", 10*time.Second, func() bool {
			return c.ask(c.leader(), "POST", "/v1/jobs/wk-000001/abort", nil).Status == 200
		})
		c.until("cancelled tasks gone", 20*time.Second, func() bool { return c.referee.RunningTasksOf("wk-000001") == 0 })
		if gone := c.cloud.Returned(); len(gone) > 0 {
			t.Errorf("machines returned: %v", gone)
		}
		c.startedOnce()
	})
}

// A new leader learns from a machine's first report which images it has, those of tasks
// that have ended there included.
func TestNewLeaderLearnsImagesFromHeartbeats(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		array := submission("wk-000001", job.Array, 100, 3)
		array["bundle"] = "img-array"
		c.submit(0, array)
		c.until("some tasks done", time.Minute, func() bool { return len(c.referee.StartsByTask()) >= 20 })
		service := submission("wk-000002", job.Service, 16, 0)
		service["rank"] = "high"
		c.submit(0, service) // takes all that the team may use
		c.until("only the service runs", 30*time.Second, func() bool {
			n := 0
			for task := range c.referee.StartsByTask() {
				if strings.HasPrefix(task, "wk-000002/") {
					n++
				}
			}
			return n == 16 && c.referee.RunningTasks() == 16
		})
		old := c.leader()
		c.kill(old)
		c.until("another leader", 20*time.Second, func() bool { return c.leader() >= 0 })
		time.Sleep(12 * time.Second)
		l := c.nodes[c.leader()].leader.Load()
		have := make(chan int, 1)
		l.post(func() {
			n := 0
			l.fleet.Each(func(m *agent.Machine) {
				if m.Images.Ready("img-array") {
					n++
				}
			})
			have <- n
		})
		if n := <-have; n == 0 {
			t.Error("no machine is known to have the image")
		}
		c.start(old)
	})
}
