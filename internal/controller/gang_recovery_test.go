package controller

// Gangs that lose a machine or have to leave one: they save as a whole or not at all, and continue
// from the last checkpoint.

import (
	"strings"
	"testing"
	"time"
)

// A task that disappears while others wait, or run, ends the attempt; the next continues
// from the last checkpoint once all of it is gone.
func TestGangRestartsFromCheckpointAfterMachineLoss(t *testing.T) {
	for name, hang := range map[string]bool{"back at once": false, "hangs": true} {
		t.Run(name, func(t *testing.T) {
			bothWays(t, func(c *cluster, middle func()) {
				c.runGang(gang(10, 40))
				time.Sleep(25 * time.Second)
				w := c.gangMachines()[0]
				if hang {
					w.Hang(true)
				} else {
					w.Restart()
				}
				time.Sleep(3 * time.Second)
				middle()
				c.until("it runs again", time.Minute, func() bool { return c.cloud.Gangs.Counted().Began == 2 })
				if s := c.cloud.Gangs.Saved(gangID); s != 20*time.Second {
					t.Errorf("continues from %v", s)
				}
				begin := time.Now()
				c.until("done", time.Minute, c.done(gangID))
				if took := time.Since(begin); took > 25*time.Second {
					t.Errorf("the rest took %v", took)
				}
				if got := c.cloud.Gangs.Counted(); got.Incomplete != 0 || got.Done != 1 {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// A notice lets the whole gang save and go on elsewhere from where it was; if one of its
// machines can't be told in time nobody is, and the rest is not stopped for nothing.
func TestGangCheckpointsOnTerminationNotice(t *testing.T) {
	bothWays(t, func(c *cluster, middle func()) {
		c.runGang(gang(10, 60))
		time.Sleep(15 * time.Second)
		w := c.gangMachines()[0]
		w.TerminateIn(24 * time.Second)
		middle()
		c.until("saved", 24*time.Second, func() bool { return c.cloud.Gangs.Counted().Stored == 1 })
		saved := c.cloud.Gangs.Saved(gangID)
		if saved < 15*time.Second || saved%(10*time.Second) == 0 {
			t.Errorf("saved %v", saved)
		}
		c.until("it runs again", 30*time.Second, func() bool { return c.cloud.Gangs.Counted().Began == 2 })
		if w.Has(gangID) {
			t.Error("it is on the machine that is taken")
		}
		c.until("done", 90*time.Second, c.done(gangID))
		if got := c.cloud.Gangs.Counted(); got.MatesGone != 0 || got.Incomplete != 0 {
			t.Errorf("%+v", got)
		}
	})
}

func TestGangNotStoppedWhileMemberUnreachable(t *testing.T) {
	bothWays(t, func(c *cluster, middle func()) {
		c.runGang(gang(10, 30))
		time.Sleep(5 * time.Second)
		machines := c.gangMachines()
		off := machines[1].Addr
		c.net.Partition(func(from, to string) bool { return from == off || to == off })
		time.Sleep(9 * time.Second) // it has missed reports, and its tasks go on
		machines[0].TerminateIn(12 * time.Second)
		middle()
		time.Sleep(8 * time.Second)
		if got := c.cloud.Gangs.Counted(); got.Stored != 0 || got.MatesGone != 0 {
			t.Errorf("stopped in part: %+v", got)
		}
		c.net.Partition(nil)
		c.until("done", 2*time.Minute, c.done(gangID))
	})
}

// A gang in one zone loses a machine and moves only once nothing of it is left there; the
// referee watches zones.
func TestGangStaysInOneZoneAfterMachineLoss(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.zoned()
		m := gang(12, 60)
		m["same_place"] = true
		c.runGang(m)
		for range 3 {
			time.Sleep(12 * time.Second)
			machines := c.gangMachines()
			if len(machines) == 0 {
				continue
			}
			machines[0].Hang(true)
			c.nextLeader()
		}
		c.until("done", 4*time.Minute, c.done(gangID))
		zones := map[string]bool{}
		for task, z := range c.referee.Zones() {
			if strings.HasPrefix(task, gangID) {
				zones[z] = true
			}
		}
		if len(zones) != 1 {
			t.Errorf("it ended in %v", zones)
		}
	})
}
