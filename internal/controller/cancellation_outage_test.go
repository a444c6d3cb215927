package controller

// Cancellations that are confirmed just before the key-value store fails for longer than the deadline
// in which their tasks must be gone.

import (
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// A leader is cut off from the state service and its peers, while workers still come to
// it; a job is cancelled through the new one, and then the state service is away for
// longer than a cancelled task may last. The new leader halts it all the same: a
// cancellation that is recorded needs nobody's leave (days of our own: ran_cancelled).
func TestCancelThenStoreOutage(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		old := c.cutLeader()
		time.Sleep(time.Second)
		c.abort((old+1)%3, "wk-000001")
		c.store.Down(true)
		c.until("cancelled tasks gone", 51*time.Second, func() bool { return c.referee.RunningTasks() == 0 })
		c.net.Partition(nil)
		c.store.Down(false)
		c.accept(20*time.Second, 0, submission("wk-000002", job.Array, 2, 5))
		c.until("array done", time.Minute, c.done("wk-000002"))
		c.startedOnce()
	})
}

// The state service refuses the leader alone, another controller confirms a cancellation,
// and at that moment the outage begins for all and outlasts the time in which the tasks
// must be gone, while workers report to the old leader. Whatever else happens, they are
// gone; and what nobody has cancelled goes on wherever somebody who knows that is left.
func TestCancelledTasksStopWhenStoreFailsAfterConfirmation(t *testing.T) {
	const (
		other                    = "wk-000002"
		nextLeaderHasReadNothing = "machines hang and the next leader has read nothing when the outage begins"
	)
	for _, x := range []struct {
		name  string
		peers bool                          // the leader is cut off from the others as well
		then  func(c *cluster, old, at int) // once node at has confirmed
		keeps bool                          // the other job goes on
	}{
		{"alone", false, func(*cluster, int, int) {}, true},
		{"the confirming controller ends", false, func(c *cluster, _, at int) {
			c.kill(at)
			time.Sleep(3 * time.Second)
			c.start(at)
		}, true},
		{"the old leader ends and is back within a second", false, func(c *cluster, old, _ int) {
			c.kill(old)
			time.Sleep(300 * time.Millisecond)
			c.start(old)
		}, true},
		{"the old leader is cut off from its peers", true, func(*cluster, int, int) {}, true},
		{"the same, and the confirming controller ends", true, func(c *cluster, _, at int) {
			c.kill(at)
			time.Sleep(3 * time.Second)
			c.start(at)
		}, false},
		{"the same, and both others end", true, func(c *cluster, old, at int) {
			for _, i := range []int{at, 3 - old - at} {
				c.kill(i)
				c.start(i)
			}
		}, false},
		{"workers come to one that has begun anew", false, func(c *cluster, old, at int) {
			c.kill(old)
			c.kill(at)
			third := 3 - old - at
			time.Sleep(2 * time.Second)
			c.start(at)
			time.Sleep(4 * time.Second) // it was told what the third knows
			c.kill(third)
		}, false},
		{"all end", false, func(c *cluster, _, _ int) {
			for i := range 3 {
				c.kill(i)
			}
			for i := range 3 {
				c.start(i)
			}
		}, false},
		{"machines hang", false, func(c *cluster, _, _ int) { c.hang(true) }, false},
		{"machines hang and the cloud is out for a while", false, func(c *cluster, _, _ int) {
			c.hang(true)
			c.cloud.Down(true)
			time.Sleep(35 * time.Second)
			c.cloud.Down(false)
		}, false},
		{"machines hang and the leader is cut off from its peers", true, func(c *cluster, _, _ int) { c.hang(true) }, false},
		{"machines hang and the leader ends", false, func(c *cluster, old, _ int) {
			c.hang(true)
			c.kill(old)
		}, false},
		{"machines hang and the confirming controller ends too", false, func(c *cluster, old, at int) {
			c.hang(true)
			c.kill(old)
			c.kill(at)
		}, false},
		{nextLeaderHasReadNothing, false, func(c *cluster, old, _ int) {
			c.hang(true)
			c.kill(old)
			c.until("another leader", 10*time.Second, func() bool { return c.leader() >= 0 })
			time.Sleep(5 * time.Second)
			if c.nodes[c.leader()].leader.Load().loaded.Load() {
				c.t.Error("the next leader has read the records")
			}
		}, false},
		{"machines hang and go on late", true, func(c *cluster, _, _ int) {
			c.hang(true)
			time.Sleep(20 * time.Second)
			c.hang(false)
		}, false},
		{"machines are deaf", false, func(c *cluster, _, _ int) {
			for _, w := range c.cloud.Machines() {
				w.DropIncoming(true)
			}
		}, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				time.Sleep(2 * time.Second)
				c.runService(8)
				c.accept(5*time.Second, 0, submission(other, job.Service, 4, 0))
				c.until("both run", time.Minute, func() bool { return c.referee.RunningTasks() == 12 })
				time.Sleep(8 * time.Second)
				old := c.leader()
				at := (old + 1) % 3
				c.refuse(old, x.peers)
				time.Sleep(300 * time.Millisecond)
				c.abort(at, "wk-000001")
				told := time.Now()
				if x.name == nextLeaderHasReadNothing {
					c.store.DownAfter("lead/holder")
				} else {
					c.store.Down(true)
				}
				if c.nodes[old].leader.Load() == nil {
					t.Error("the leader is not left with its workers")
				}
				x.then(c, old, at)
				for c.referee.RunningTasksOf("wk-000001") > 0 {
					if time.Since(told) > 51*time.Second {
						t.Fatalf("%d cancelled tasks on", c.referee.RunningTasksOf("wk-000001"))
					}
					time.Sleep(100 * time.Millisecond)
				}
				for end := told.Add(63 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					if n := c.referee.RunningTasksOf("wk-000001"); n != 0 {
						t.Fatalf("%d cancelled tasks are back", n)
					}
				}
				if n, gone := c.referee.RunningTasksOf(other), c.cloud.Returned(); x.keeps && (n != 4 || len(gone) != 0) {
					t.Errorf("%d of 4 replicas that nobody cancelled are left, %v returned", n, gone)
				}
				for i := range 3 {
					c.kill(i)
					c.start(i)
				}
				c.hang(false)
				c.net.Partition(nil)
				c.store.Down(false)
				c.until("answered", 20*time.Second, func() bool { return c.status(old, "wk-000001") == jobstore.StatusCancelled })
				c.until("the other job runs", 2*time.Minute, func() bool { return c.referee.RunningTasksOf(other) == 4 })
			})
		})
	}
}

// The gap with a start that the confirming controller has not heard of: the old leader
// has recorded it, and it is carried out once the job is called cancelled, or it was just
// before and the machine hangs while nobody is left who has sent it.
func TestCancelledStartInFlightStopsWhenStoreFails(t *testing.T) {
	for name, hang := range map[string]bool{"held up": false, "machines hang and the leader ends": true} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				time.Sleep(2 * time.Second)
				c.runService(8)
				old := c.leader()
				on := func() int { return c.referee.RunningTasksOf("wk-000002") }
				if !hang {
					c.net.DelayRequests(func(from, to string) time.Duration {
						if strings.HasPrefix(to, "10.1.") {
							return 8 * time.Second
						}
						return 0
					})
				}
				c.accept(5*time.Second, old, submission("wk-000002", job.Service, 4, 0))
				c.until("starts recorded", 5*time.Second, func() bool { return len(c.store.Keys("job/wk-000002/")) > 0 })
				if hang {
					c.until("tasks on", 5*time.Second, func() bool { return on() == 4 })
					c.hang(true)
				}
				c.refuse(old, false)
				c.abort((old+1)%3, "wk-000002")
				told := time.Now()
				c.store.Down(true)
				if hang {
					c.kill(old)
				} else {
					if n := on(); n != 0 {
						t.Fatalf("%d tasks on already", n)
					}
					c.until("the starts are carried out", 12*time.Second, func() bool { return on() > 0 })
				}
				c.until("cancelled tasks gone", time.Until(told.Add(51*time.Second)), func() bool { return on() == 0 })
				time.Sleep(time.Until(told.Add(63 * time.Second)))
				if n := on(); n != 0 {
					t.Errorf("%d cancelled tasks on", n)
				}
				if hang {
					c.start(old)
				}
			})
		})
	}
}
