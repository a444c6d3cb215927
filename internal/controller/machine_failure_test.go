package controller

// Machines that fail, hang, restart, do not respond or are about to be terminated.

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
)

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
