package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
)

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

// A machine on which jobs fail that do well elsewhere is returned.
func TestFailingMachineIsReturned(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(6)
		w := c.cloud.Machines()[0]
		for _, other := range c.cloud.Machines() {
			if other.Tasks() < w.Tasks() {
				w = other
			}
		}
		w.FailTasks()
		for i := range 4 {
			c.submit(0, submission(fmt.Sprintf("wk-00001%d", i), job.Array, 4, 5))
		}
		c.until("sick machine returned", 30*time.Second, func() bool {
			for _, name := range c.cloud.Returned() {
				if name == w.Name {
					return true
				}
			}
			return false
		})
		c.until("service whole", 30*time.Second, func() bool { return c.referee.RunningTasks() >= 6 })
	})
}

// Arrays of tiny tasks do not have machines rented for their number, to which those of
// larger tasks would then be entitled.
func TestSmallTasksDoNotOverprovision(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.anew(60, 1000)
		tiny := submission("wk-000002", job.Array, 800, 20)
		tiny["cpus"], tiny["ram_gb"] = 0.25, 0.5
		c.submit(0, submission("wk-000001", job.Array, 150, 20))
		c.submit(0, tiny)
		c.until("tiny tasks done", 3*time.Minute, c.done("wk-000002"))
		c.until("array done", 3*time.Minute, c.done("wk-000001"))
		if n := len(c.cloud.Machines()) + len(c.cloud.Returned()); n > 52 {
			t.Errorf("%d machines of 4 CPUs rented", n)
		}
		c.startedOnce()
	})
}

// A new leader that has rented machines goes on renting while they boot.
func TestScaleOutWhileMachinesBoot(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.cloud.Change(func(cl *fake.Cloud) { cl.Lag = 4 * time.Second })
		c.until("ready", 3*time.Second, func() bool { return c.submit(0, submission("wk-000001", job.Service, 4, 0)) == 201 })
		c.until("a machine rented", 3*time.Second, func() bool { return len(c.cloud.Machines()) > 0 })
		c.accept(time.Second, 0, submission("wk-000002", job.Service, 12, 0))
		c.until("more rented", 3*time.Second, func() bool { return len(c.cloud.Machines()) >= 4 })
	})
}

// While the cloud does not serve, nodes that start take submissions with the
// machine types that were kept, and what runs goes on.
func TestSubmissionsAcceptedInCloudOutage(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(2)
		time.Sleep(time.Minute) // the leader reads the catalog once a minute
		c.cloud.Down(true)
		c.restartAll()
		c.until("a submission is taken", 15*time.Second, func() bool {
			return c.submit(0, submission("wk-000002", job.Array, 2, 5)) == 201
		})
		c.until("array done on the machines there are", time.Minute, c.done("wk-000002"))
		c.cloud.Down(false)
		if n := c.referee.StartsByTask()["wk-000001/0"]; n != 1 {
			t.Errorf("replica started %d times", n)
		}
	})
}

// A machine with a notice is drained: services move at once, tasks that save
// progress are told to before it goes, the others run on.
func TestTerminationNoticeDrainsMachine(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		saving := submission("wk-000002", job.Array, 1, 300)
		saving["stash_every_s"], saving["stash_s"] = 10.0, 2.0
		c.submit(0, submission("wk-000001", job.Service, 1, 0))
		c.submit(0, saving)
		c.submit(0, submission("wk-000003", job.Array, 1, 40))
		c.until("all run", time.Minute, func() bool { return c.referee.RunningTasks() == 3 })
		begin := time.Now()
		for _, w := range c.cloud.Machines() {
			w.TerminateIn(30 * time.Second)
		}
		c.until("service moved", 25*time.Second, func() bool { return c.referee.StartsByTask()["wk-000001/0"] == 2 })
		if c.referee.StartsByTask()["wk-000002/0"] != 1 || time.Since(begin) > 20*time.Second {
			t.Errorf("task that saves was moved %v after the notice", time.Since(begin))
		}
		c.until("task that saves moved", 40*time.Second, func() bool { return c.referee.StartsByTask()["wk-000002/0"] == 2 })
		c.until("other task done where it was", time.Minute, func() bool { return c.referee.Ended("wk-000003/0") })
		if n := c.referee.StartsByTask()["wk-000003/0"]; n != 1 {
			t.Errorf("task that cannot save was started %d times", n)
		}
	})
}

// A machine whose reports arrive while answers and commands do not looks healthy.
// It is noticed, gets nothing more, and its tasks run elsewhere once it is returned.
func TestUnresponsiveMachineIsReturned(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		// With one controller left, the worker comes back to it soon after each report
		// that it thinks unanswered, and is never silent for long.
		leader := c.leader()
		c.kill((leader + 1) % 3)
		c.kill((leader + 2) % 3)
		var deaf *fake.Agent
		for _, w := range c.cloud.Machines() {
			if w.Tasks() > 0 {
				deaf = w
			}
		}
		deaf.DropIncoming(true)
		c.submit(leader, submission("wk-000002", job.Service, 8, 0))
		c.until("deaf machine returned", 45*time.Second, func() bool { return slices.Contains(c.cloud.Returned(), deaf.Name) })
		c.until("all replicas run", 30*time.Second, func() bool { return c.referee.RunningTasks() == 16 })
	})
}

// A machine that is back at once, under its name and with a new session, starts what
// was on it anew. It looks like a deaf one whose lease has ended, but answers.
func TestRestartedMachineIsKept(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(12)
		w := c.cloud.Machines()[0]
		w.Restart()
		c.until("service whole again", 15*time.Second, func() bool { return c.referee.RunningTasks() == 12 })
		time.Sleep(15 * time.Second)
		if got := c.cloud.Returned(); slices.Contains(got, w.Name) {
			t.Errorf("returned %v", got)
		}
	})
}

// A machine that hangs is given up as soon as it is silent and does not answer when
// asked, not only after the time that one has which may have lost its way.
func TestHungMachineIsReturnedPromptly(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(40)
		time.Sleep(10 * time.Second)
		w := c.cloud.Machines()[0]
		w.Hang(true)
		c.until("returned", 13*time.Second, func() bool { return slices.Contains(c.cloud.Returned(), w.Name) })
	})
}

// A cut is not taken for the loss of those machines that had reported longest before it.
func TestPartitionedMachinesAreKept(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(80)
		time.Sleep(10 * time.Second)
		c.net.Partition(func(from, to string) bool { return strings.HasPrefix(from, "10.1.") || strings.HasPrefix(to, "10.1.") })
		time.Sleep(11 * time.Second)
		c.net.Partition(nil)
		time.Sleep(20 * time.Second)
		if got := c.cloud.Returned(); len(got) != 0 {
			t.Errorf("returned %v", got)
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

// All machines are deaf from one moment on: their reports go round the nodes, as no answer
// comes back. They are found out and returned, and what ran there runs on others.
func TestAllUnresponsiveMachinesAreReplaced(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.runService(8)
		deaf := c.cloud.Machines()
		for _, w := range deaf {
			w.DropIncoming(true)
		}
		c.until("the service runs on other machines", 3*time.Minute, func() bool {
			for _, w := range deaf {
				if w.Has("wk-000001") {
					return false
				}
			}
			return c.referee.RunningTasksOf("wk-000001") == 8
		})
	})
}
