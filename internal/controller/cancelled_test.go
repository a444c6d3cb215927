package controller

// Cancellations that only one side of a trouble can learn of, and an outage of the state
// service that outlasts the time in which their tasks must be gone.

import (
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// refuse cuts a node off from the state service, and from the other nodes too if asked.
func (c *cluster) refuse(node int, peers bool) {
	c.net.Partition(func(from, to string) bool {
		if from == nodeAddr(node) && to == stateAddr {
			return true
		}
		between := strings.HasPrefix(from, "10.0.") && strings.HasPrefix(to, "10.0.")
		return peers && between && (from == nodeAddr(node) || to == peerAddr(node))
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

// hang lets all machines hang, or go on.
func (c *cluster) hang(hung bool) {
	for _, w := range c.cloud.Machines() {
		w.Hang(hung)
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
