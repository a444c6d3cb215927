package controller

// Gangs that lose a machine or have to leave one: they save as a whole or not at all, and continue
// from the last checkpoint.

import (
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/fake"
)

// A machine of a gang is lost, which ends the attempt; the next one continues from the last checkpoint
// once all of it is gone.
func TestGangRestartsFromCheckpointAfterMachineLoss(t *testing.T) {
	for name, hang := range map[string]bool{"machine restarts": false, "machine hangs": true} {
		t.Run(name, func(t *testing.T) {
			withAndWithoutFailover(t, func(c *cluster, failOver func()) {
				c.runGang(newGang(10, 40))
				time.Sleep(25 * time.Second)
				machine := c.gangMachines()[0]
				if hang {
					machine.SetFaults(fake.AgentFaults{Hung: true})
				} else {
					machine.Restart()
				}
				time.Sleep(3 * time.Second)
				failOver()
				c.waitForGangAttempts(2, time.Minute)
				if checkpoint := c.cloud.Gangs.Progress(gangID); checkpoint != 20*time.Second {
					t.Errorf("continues from %v", checkpoint)
				}
				resumedAt := time.Now()
				c.waitUntil("done", time.Minute, c.isDone(gangID))
				if took := time.Since(resumedAt); took > 25*time.Second {
					t.Errorf("the rest took %v", took)
				}
				if got := c.cloud.Gangs.Counts(); got.Incomplete != 0 || got.Done != 1 {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// After a termination notice for one machine the whole gang saves, and continues on other machines from
// where it was.
func TestGangCheckpointsOnTerminationNotice(t *testing.T) {
	withAndWithoutFailover(t, func(c *cluster, failOver func()) {
		c.runGang(newGang(10, 60))
		time.Sleep(15 * time.Second)
		machine := c.gangMachines()[0]
		machine.AnnounceTermination(24 * time.Second)
		failOver()
		c.waitUntil("saved", 24*time.Second, func() bool { return c.cloud.Gangs.Counts().Checkpointed == 1 })
		saved := c.cloud.Gangs.Progress(gangID)
		if saved < 15*time.Second || saved%(10*time.Second) == 0 {
			t.Errorf("saved %v", saved)
		}
		c.waitForGangAttempts(2, 30*time.Second)
		if machine.HasTasksOf(gangID) {
			t.Error("it runs on the machine that will be terminated")
		}
		c.waitUntil("done", 90*time.Second, c.isDone(gangID))
		if got := c.cloud.Gangs.Counts(); got.MembersGone != 0 || got.Incomplete != 0 {
			t.Errorf("%+v", got)
		}
	})
}

// If one of a gang's machines cannot be reached in time to save, no task is halted: a checkpoint that is
// not complete would stop the others for nothing.
func TestGangNotStoppedWhileMemberUnreachable(t *testing.T) {
	withAndWithoutFailover(t, func(c *cluster, failOver func()) {
		c.runGang(newGang(10, 30))
		time.Sleep(5 * time.Second)
		machines := c.gangMachines()
		unreachable := machines[1].Addr
		c.partitionMachines(func(addr string) bool { return addr == unreachable })
		time.Sleep(9 * time.Second) // its heartbeats are overdue, while its tasks run on
		machines[0].AnnounceTermination(12 * time.Second)
		failOver()
		time.Sleep(8 * time.Second)
		if got := c.cloud.Gangs.Counts(); got.Checkpointed != 0 || got.MembersGone != 0 {
			t.Errorf("stopped in part: %+v", got)
		}
		c.heal()
		c.waitUntil("done", 2*time.Minute, c.isDone(gangID))
	})
}

// A gang that is bound to one zone loses machines and moves only once nothing of it is left there; the
// invariant checker compares zones.
func TestGangStaysInOneZoneAfterMachineLoss(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.restartInTwoZones()
		c.runGang(newGang(12, 60).inOneZone())
		for range 3 {
			time.Sleep(12 * time.Second)
			machines := c.gangMachines()
			if len(machines) == 0 {
				continue
			}
			machines[0].SetFaults(fake.AgentFaults{Hung: true})
			c.failOver()
		}
		c.waitUntil("done", 4*time.Minute, c.isDone(gangID))
		zones := map[string]bool{}
		for task, zone := range c.invariants.Zones() {
			if strings.HasPrefix(task, gangID) {
				zones[zone] = true
			}
		}
		if len(zones) != 1 {
			t.Errorf("it ended in %v", zones)
		}
	})
}
