package controller

// Gangs that lose a machine or have to leave one: they save a checkpoint as a whole or not at all, and
// continue from the last one.

import (
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/fake"
)

// A gang loses a machine, which ends the attempt. The next attempt starts once no task of the first is
// left, and continues from the last checkpoint.
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
					t.Errorf("the second attempt continues from %v, want 20s", checkpoint)
				}
				resumedAt := time.Now()
				c.waitUntil(gangID+" done", time.Minute, c.isDone(gangID))
				if took := time.Since(resumedAt); took > 25*time.Second {
					t.Errorf("the second attempt took %v, want at most 25s", took)
				}
				if got := c.cloud.Gangs.Counts(); got.Incomplete != 0 || got.Done != 1 {
					t.Errorf("gang counts %+v, want Incomplete:0 Done:1", got)
				}
			})
		})
	}
}

// After a termination notice for one of its machines the whole gang saves a checkpoint, and
// continues from it on other machines.
func TestGangCheckpointsOnTerminationNotice(t *testing.T) {
	withAndWithoutFailover(t, func(c *cluster, failOver func()) {
		c.runGang(newGang(10, 60))
		time.Sleep(15 * time.Second)
		machine := c.gangMachines()[0]
		machine.AnnounceTermination(24 * time.Second)
		failOver()
		c.waitUntil("gang checkpointed", 24*time.Second, func() bool { return c.cloud.Gangs.Counts().Checkpointed == 1 })
		saved := c.cloud.Gangs.Progress(gangID)
		if saved < 15*time.Second || saved%(10*time.Second) == 0 {
			t.Errorf("checkpoint at %v, want at least 15s and no multiple of 10s, at which periodic checkpoints are saved", saved)
		}
		c.waitForGangAttempts(2, 30*time.Second)
		if machine.HasTasksOf(gangID) {
			t.Errorf("%s has tasks of the gang after its termination notice, want none", machine.Name)
		}
		c.waitUntil(gangID+" done", 90*time.Second, c.isDone(gangID))
		if got := c.cloud.Gangs.Counts(); got.MembersGone != 0 || got.Incomplete != 0 {
			t.Errorf("gang counts %+v, want MembersGone:0 Incomplete:0", got)
		}
	})
}

// Guards against a gang that stops without a checkpoint. One of its machines gets a termination notice
// while another is unreachable, so the tasks there cannot be told in time to save. No task is halted:
// the checkpoint would be incomplete, and the other tasks would stop for nothing.
func TestGangNotStoppedWhileMemberUnreachable(t *testing.T) {
	withAndWithoutFailover(t, func(c *cluster, failOver func()) {
		c.runGang(newGang(10, 30))
		time.Sleep(5 * time.Second)
		machines := c.gangMachines()
		unreachable := machines[1].Addr
		c.partitionMachines(func(addr string) bool { return addr == unreachable })
		time.Sleep(9 * time.Second) // its heartbeats are overdue, but its tasks still run
		machines[0].AnnounceTermination(12 * time.Second)
		failOver()
		time.Sleep(8 * time.Second)
		if got := c.cloud.Gangs.Counts(); got.Checkpointed != 0 || got.MembersGone != 0 {
			t.Errorf("gang stopped in part: counts %+v, want Checkpointed:0 MembersGone:0", got)
		}
		c.heal()
		c.waitUntil(gangID+" done", 2*time.Minute, c.isDone(gangID))
	})
}

// Guards against a zone-bound gang that has tasks in two zones: it loses machines, and may move to
// another zone only once no task of it is left in the first. The invariant checker compares zones.
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
		c.waitUntil(gangID+" done", 4*time.Minute, c.isDone(gangID))
		zones := map[string]bool{}
		for task, zone := range c.invariants.Zones() {
			if strings.HasPrefix(task, gangID) {
				zones[zone] = true
			}
		}
		if len(zones) != 1 {
			t.Errorf("zones of the last starts of the gang's tasks: %v, want one", zones)
		}
	})
}
