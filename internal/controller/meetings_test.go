package controller

// Two troubles at once, as the operators have met them: the rules hold, and what was
// accepted runs. The referee watches for tasks that start while they are on a machine.

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// Small jobs whose tasks end far apart, with a change of leader in between: done once all
// tasks are, and neither sooner nor twice.
func TestSmallArraysCompleteOnceAcrossFailovers(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.limit = 4 // so that the third task of each begins when others have ended
		c.restartAll()
		time.Sleep(2 * time.Second)
		id := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
		for i := range 4 {
			c.accept(5*time.Second, i%3, submission(id(i), job.Array, 3, 20))
		}
		for range 3 {
			time.Sleep(15 * time.Second)
			c.nextLeader()
			for i := range 4 {
				ended := 0
				for task := range 3 {
					if c.referee.Ended(fmt.Sprintf("%s/%d", id(i), task)) {
						ended++
					}
				}
				if s := c.status(i%3, id(i)); s == jobstore.StatusDone && ended < 3 {
					t.Errorf("%s is called done with %d of 3 tasks", id(i), ended)
				}
			}
		}
		for i := range 4 {
			c.until("array done", 2*time.Minute, c.done(id(i)))
		}
		c.startedOnce()
	})
}

// One in four transactions goes unanswered and is applied seconds later, after newer
// ones of the same controller, while jobs come, end and are cancelled and leaders change.
func TestDelayedTransactionsAcrossFailovers(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.store.DelayOneWriteIn(4)
		id := func(i int) string { return fmt.Sprintf("wk-%06d", i) }
		cancelled := map[int]bool{}
		for i := range 12 {
			c.accept(time.Minute, i%3, submission(id(i), job.Array, 2, 8))
			if i%3 == 2 {
				c.until("cancelled or done", time.Minute, func() bool {
					return c.ask(0, "POST", "/v1/jobs/"+id(i)+"/abort", nil).Status == 200
				})
				cancelled[i] = c.status((i+1)%3, id(i)) == jobstore.StatusCancelled
			}
			if i%5 == 4 {
				c.nextLeader()
			}
		}
		c.store.DelayOneWriteIn(0)
		time.Sleep(15 * time.Second) // the last late ones are applied
		for i := range 12 {
			want := jobstore.StatusDone
			if cancelled[i] {
				want = jobstore.StatusCancelled
			}
			c.until(id(i)+" "+want, 3*time.Minute, func() bool { return c.status(i%3, id(i)) == want })
		}
	})
}

// Commands are held up for longer than their sender waits, and carried out then, while
// leaders change and jobs are cancelled.
func TestDelayedCommandsAcrossFailovers(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(4)
		c.net.DelayRequests(func(from, to string) time.Duration {
			if strings.HasPrefix(to, "10.1.") {
				return 6 * time.Second
			}
			return 0
		})
		c.submit(0, submission("wk-000002", job.Array, 8, 5))
		c.submit(0, submission("wk-000003", job.Service, 2, 0))
		time.Sleep(time.Second)
		c.nextLeader()
		c.abort(c.leader(), "wk-000003")
		c.until("array done", 2*time.Minute, c.done("wk-000002"))
		c.nextLeader()
		c.until("cancelled tasks gone", 51*time.Second, func() bool { return c.referee.RunningTasks() == 4 })
		c.net.DelayRequests(nil)
		time.Sleep(20 * time.Second)
		if n := c.referee.RunningTasks(); n != 4 {
			t.Errorf("%d replicas on, 4 wanted", n)
		}
	})
}

// A leader ends while machines with services don't hear the next one.
func TestFailoverWithUnresponsiveMachines(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(40)
		for i, w := range c.cloud.Machines() {
			if i%4 == 0 {
				w.DropIncoming(true)
			}
		}
		c.nextLeader()
		time.Sleep(26 * time.Second) // their leases end
		c.until("service whole", time.Minute, func() bool { return c.referee.RunningTasks() == 40 })
	})
}

// Questions come many times as often for a while, most of them about jobs that nobody has
// submitted or that are over: submissions are still taken at once, unfinished jobs are
// answered, and a job asked about before it is submitted is known afterwards.
func TestSubmissionsAcceptedUnderPollLoad(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.rps = 60
		c.restartAll()
		time.Sleep(2 * time.Second)
		c.runService(4)
		var mu sync.Mutex
		answered, asked := 0, 0
		stop := time.Now().Add(time.Minute)
		for k := range 40 { // 80 questions a second
			go func() {
				for i := 0; time.Now().Before(stop); i++ {
					s := c.status(k%3, fmt.Sprintf("wk-%06d", 500+(k*37+i)%400))
					if s != "404" && s != "503" {
						t.Errorf("nobody's job is %s", s)
					}
					if s = c.status(k%3, "wk-000001"); s == "running" {
						mu.Lock()
						answered++
						mu.Unlock()
					}
					mu.Lock()
					asked++
					mu.Unlock()
					time.Sleep(time.Second)
				}
			}()
		}
		for i := 2; i < 20; i++ {
			id := fmt.Sprintf("wk-%06d", i)
			if s := c.status(0, id); s != "404" && s != "503" {
				t.Errorf("%s before its submission: %s", id, s)
			}
			if s := c.submit(i%3, submission(id, job.Array, 1, 2)); s != 201 {
				t.Errorf("submission in the storm: %d", s)
			}
			if s := c.status((i+1)%3, id); s == "404" {
				t.Errorf("%s unknown after its submission", id)
			}
			time.Sleep(3 * time.Second)
		}
		mu.Lock()
		if answered < asked*9/10 {
			t.Errorf("%d of %d questions about a running job answered", answered, asked)
		}
		mu.Unlock()
		for i := 2; i < 20; i++ {
			c.until("array done", time.Minute, c.done(fmt.Sprintf("wk-%06d", i)))
		}
	})
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

// What a job of one task costs the state service from its acceptance to its end.
func TestStoreWritesPerSingleTaskJob(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(4)
		time.Sleep(10 * time.Second)
		before := c.store.Changes()
		const jobs = 40
		for i := range jobs {
			c.accept(10*time.Second, i%3, submission(fmt.Sprintf("wk-%06d", 10+i), job.Array, 1, 4))
		}
		for i := range jobs {
			c.until("done", 2*time.Minute, c.done(fmt.Sprintf("wk-%06d", 10+i)))
		}
		time.Sleep(10 * time.Second)
		// Accepted, started, ended, its record and its tasks' record deleted; and a few of
		// the leader's own.
		if n := c.store.Changes() - before; n > 5*jobs+10 {
			t.Errorf("%d changes for %d jobs", n, jobs)
		}
	})
}

// A large array of short tasks, a leader that ends in the middle of it, and a service that
// comes meanwhile: the changes a task costs are bounded, no task that is recorded as done
// runs again, and the service starts in time.
func TestLargeArrayWritesBoundedAcrossFailover(t *testing.T) {
	simulate(t, func(c *cluster) {
		const tasks = 6000
		c.large()
		large := submission("wk-000001", job.Array, tasks, 4)
		large["cpus"], large["ram_gb"], large["rank"] = 0.25, 0.5, "best_effort"
		before := c.store.Changes()
		c.submit(0, large)
		c.until("a third done", 3*time.Minute, func() bool { return len(c.referee.StartsByTask()) > tasks/3 })
		c.nextLeader()
		service := submission("wk-000002", job.Service, 4, 0)
		service["rank"] = "high"
		c.accept(10*time.Second, 1, service)
		c.until("service runs beside it", 20*time.Second, func() bool {
			begun := c.referee.StartsByTask()
			return begun["wk-000002/0"]+begun["wk-000002/1"]+begun["wk-000002/2"]+begun["wk-000002/3"] == 4
		})
		c.until("array done", 5*time.Minute, c.done("wk-000001"))
		again := 0
		for task, n := range c.referee.StartsByTask() {
			if strings.HasPrefix(task, "wk-000001/") {
				again += n - 1
			}
		}
		if again > tasks/20 {
			t.Errorf("%d of %d tasks ran again", again, tasks)
		}
		if n := c.store.Changes() - before; n > tasks/10 {
			t.Errorf("%d changes for %d tasks", n, tasks)
		}
	})
}
