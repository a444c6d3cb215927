package controller

// The rest of the meetings that the operators name. In all of them the referee watches
// limits, zones, double starts and cancelled tasks, and no answer about a job may be older
// than one that was there when it was asked for (cluster.ask).

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// jobID returns the id of the i-th job.
func jobID(i int) string { return fmt.Sprintf("wk-%06d", i) }

// isWorker tells whether an address is a worker's.
func isWorker(addr string) bool { return strings.HasPrefix(addr, "10.1.") }

// isNode tells whether an address is a controller's.
func isNode(addr string) bool { return strings.HasPrefix(addr, "10.0.") }

// mute lets no report of the machines that f names through; what is sent to them arrives.
func (c *cluster) mute(f func(addr string) bool) {
	c.net.Partition(func(from, to string) bool { return isWorker(from) && isNode(to) && f(from) })
}

// withTasks returns the workers that have tasks, and the first half of them.
func (c *cluster) withTasks() (all, half []*fake.Agent) {
	for _, w := range c.cloud.Machines() {
		if w.Tasks() > 0 {
			all = append(all, w)
		}
	}
	return all, all[:len(all)/2]
}

// over waits until each job is in its final state.
func (c *cluster) over(limit time.Duration, want map[string]string) {
	c.t.Helper()
	for id, s := range want {
		c.until(id+" "+s, limit, func() bool { return c.status(rand.N(3), id) == s })
	}
}

// Transactions are carried out at once and only their answers are lost, while other nodes
// read and tell what they wrote: submissions, cancellations, starts, ends, elections.
func TestLostTransactionResponses(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.store.LoseOneResponseIn(2)
		want := map[string]string{}
		for i := range 30 {
			id := jobID(i)
			sent := make(chan struct{})
			go func() {
				defer close(sent)
				c.accept(time.Minute, i%3, submission(id, job.Array, 3, 4))
			}()
			c.until("another node knows it", time.Minute, func() bool { return c.status((i+1)%3, id) != "404" })
			<-sent
			want[id] = jobstore.StatusDone
			if i%4 == 1 {
				c.until("cancelled or done", time.Minute, func() bool {
					return c.ask((i+2)%3, "POST", "/v1/jobs/"+id+"/abort", nil).Status == 200
				})
				c.until("told", time.Minute, func() bool { return stage(c.status(i%3, id)) == 2 })
				want[id] = c.status(i%3, id)
			}
			if i%8 == 7 {
				c.nextLeader()
			}
		}
		c.store.LoseOneResponseIn(0)
		if n := c.store.Unanswered(); n < 15 {
			t.Errorf("only %d transactions went unanswered", n)
		}
		c.over(2*time.Minute, want)
	})
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

// All controllers are away for longer than a lease: what ran is lost, nothing that was
// accepted is, and all runs again or is done.
func TestAllControllersDownLongerThanLease(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(6)
		c.accept(5*time.Second, 1, submission("wk-000002", job.Array, 8, 30))
		c.accept(5*time.Second, 1, submission("wk-000003", job.Service, 2, 0))
		c.until("all run", time.Minute, func() bool { return c.referee.RunningTasks() == 16 })
		c.abort(2, "wk-000003")
		for i := range 3 {
			c.kill(i)
		}
		time.Sleep(40 * time.Second)
		if n := c.referee.RunningTasks(); n != 0 {
			t.Errorf("%d tasks on after their leases", n)
		}
		for i := range 3 {
			c.start(i)
		}
		c.until("service whole", time.Minute, func() bool { return c.referee.RunningTasksOf("wk-000001") == 6 })
		c.over(2*time.Minute, map[string]string{"wk-000002": jobstore.StatusDone, "wk-000003": jobstore.StatusCancelled})
		if n := c.referee.StartsByTask()["wk-000003/0"]; n != 1 {
			t.Errorf("a cancelled task was started %d times", n)
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

// New machines are up at once and get work while writes lag, and the leader ends.
func TestDelayedTransactionsOnFastBootingMachines(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.cloud.Change(func(cl *fake.Cloud) { cl.Type.BootS, cl.Capacity = 0.5, 24 })
		time.Sleep(2 * time.Second)
		c.store.DelayOneWriteIn(3)
		want := map[string]string{}
		for i := range 6 {
			begin := time.Now()
			c.store.DelayTransactions(20, jobstore.JobKey(jobID(i))+"/")
			c.accept(time.Minute, i%3, submission(jobID(i), job.Array, 8, 6))
			want[jobID(i)] = jobstore.StatusDone
			time.Sleep(5 * time.Second)
			if n := c.referee.RunningTasksOf(jobID(i)); n != 0 {
				t.Errorf("%d tasks begun whose starts are not recorded", n)
			}
			c.store.DelayTransactions(0, "")
			c.until("tasks begin", time.Minute, func() bool { return c.referee.RunningTasksOf(jobID(i)) > 0 })
			// The next leader does not hear of them for a while, and has room elsewhere.
			busy := map[string]bool{}
			all, _ := c.withTasks()
			for _, w := range all {
				busy[w.Addr] = true
			}
			c.net.Partition(func(from, to string) bool { return busy[from] || busy[to] })
			if i == 0 && time.Since(begin) > 20*time.Second {
				t.Errorf("first tasks begin after %v", time.Since(begin))
			}
			c.nextLeader()
			time.Sleep(14 * time.Second)
			c.net.Partition(nil)
			c.store.Release() // what the earlier leader wrote of them
		}
		if n := c.store.Unanswered(); n < 10 {
			t.Errorf("only %d writes were late", n)
		}
		c.store.DelayOneWriteIn(0)
		c.over(3*time.Minute, want)
	})
}

// Users ask at all nodes, again and again within milliseconds, and repeat the submission,
// right after a job was accepted, ended or confirmed as cancelled; some cancel at once.
func TestReadsAreConsistentAfterWrites(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.rps = 400
		c.restartAll()
		time.Sleep(2 * time.Second)
		var wg sync.WaitGroup
		answered := 0
		var mu sync.Mutex
		look := func(id string, m map[string]any) {
			for k := range 12 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					time.Sleep(time.Duration(k/3) * 2 * time.Millisecond)
					ok := false
					if k%4 == 3 {
						s := c.submit(k%3, m)
						ok = s == 200
						if s == 201 || s == 404 {
							t.Errorf("repeated submission of %s: %d", id, s)
						}
					} else {
						s := c.status(k%3, id)
						ok = s != "503"
						if s == "404" {
							t.Errorf("%s is unknown", id)
						}
					}
					mu.Lock()
					defer mu.Unlock()
					if ok {
						answered++
					}
				}()
			}
		}
		for i := range 30 {
			id := jobID(i)
			m := submission(id, job.Array, 1, 2)
			c.accept(10*time.Second, i%3, m)
			look(id, m)
			if i%3 == 0 {
				if i%6 == 0 {
					time.Sleep(time.Second)
				}
				c.until("cancelled or done", 10*time.Second, func() bool { return c.ask((i+1)%3, "POST", "/v1/jobs/"+id+"/abort", nil).Status == 200 })
				look(id, m)
				continue
			}
			if i%3 == 1 {
				c.until("done", time.Minute, c.done(id))
				look(id, m)
			}
		}
		wg.Wait()
		if answered < 400 {
			t.Errorf("only %d looks were answered", answered)
		}
	})
}

// Leaders change ten times in two minutes, also inside an outage, while jobs come and are
// cancelled.
func TestFrequentFailovers(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(6)
		want := map[string]string{}
		first := c.nodes[c.leader()].leader.Load().term.Number()
		begin := time.Now()
		for i := 2; i < 12; i++ {
			c.accept(20*time.Second, i%3, submission(jobID(i), job.Array, 4, 15))
			want[jobID(i)] = jobstore.StatusDone
			if i%3 == 0 {
				c.until("cancelled", 20*time.Second, func() bool { return c.ask(i%3, "POST", "/v1/jobs/"+jobID(i)+"/abort", nil).Status == 200 })
				want[jobID(i)] = c.status(i%3, jobID(i))
			}
			if i == 5 || i == 8 {
				// Two leaders in an outage: the one that ends, and one that finds its own name.
				old := c.leader()
				c.store.Down(true)
				c.kill(old)
				c.start(old)
				time.Sleep(4 * time.Second)
				c.store.Down(false)
				c.until("a leader", 20*time.Second, func() bool { return c.leader() >= 0 })
			} else {
				c.nextLeader()
			}
			time.Sleep(time.Until(begin.Add(time.Duration(i-1) * 12 * time.Second)))
		}
		if took := time.Since(begin); took > 125*time.Second {
			t.Errorf("ten changes took %v", took)
		}
		if last := c.nodes[c.leader()].leader.Load().term.Number(); last < first+10 {
			t.Errorf("terms %d to %d", first, last)
		}
		c.over(3*time.Minute, want)
		if n := c.referee.RunningTasksOf("wk-000001"); n != 6 {
			t.Errorf("%d of 6 replicas on", n)
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
