package controller

// Gangs that compete for machines with each other and with other jobs.

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// A service that needs the room of a gang stops all of it in order, not one task.
func TestGangIsPreemptedWhole(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.anew(4, 96)
		m := gang(16, 60)
		m["rank"] = "best_effort"
		c.runGang(m)
		time.Sleep(15 * time.Second)
		urgent := submission("wk-000002", job.Service, 4, 0)
		urgent["rank"] = "high"
		c.accept(10*time.Second, 0, urgent)
		c.until("service runs", 30*time.Second, func() bool { return c.referee.RunningTasksOf("wk-000002") == 4 })
		if got := c.cloud.Gangs.Counted(); got.Stored != 1 || got.MatesGone != 0 {
			t.Errorf("%+v", got)
		}
		c.abort(0, "wk-000002")
		c.until("done", 2*time.Minute, c.done(gangID))
	})
}

// Small tasks of the same priority come without end and fill every gap; a large gang begins
// all the same, and room is not kept free for it for long.
func TestGangNotStarvedBySmallTasks(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.anew(6, 96)
		var stop atomic.Bool
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			for i := 1; !stop.Load() && i < 400; i++ {
				c.accept(20*time.Second, i%3, submission(fmt.Sprintf("wk-%06d", i), job.Array, 12, 8))
				time.Sleep(3 * time.Second)
			}
		}()
		time.Sleep(40 * time.Second)
		if n := c.referee.RunningTasks(); n < 20 {
			t.Errorf("machines are not full: %d tasks on", n)
		}
		m := gang(16, 10)
		c.accept(10*time.Second, 0, m)
		c.until("gang runs", 40*time.Second, func() bool { return c.cloud.Gangs.Counted().Began == 1 })
		stop.Store(true)
		<-ended
		c.until("done", time.Minute, c.done(gangID))
	})
}

// Two gangs that fit only one after the other never hold a part each.
func TestCompetingGangsHoldNoPartialAllocations(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.anew(6, 96)
		ids := []string{"wk-000501", "wk-000502", "wk-000503"}
		for i, id := range ids {
			m := gang(14, 15)
			m["uid"] = id
			c.accept(10*time.Second, i, m)
		}
		for !slices.ContainsFunc(ids, func(id string) bool { return c.status(0, id) == jobstore.StatusDone }) {
			on := 0
			for _, id := range ids {
				if n := c.referee.RunningTasksOf(id); n > 0 {
					on++
				}
			}
			if on > 1 {
				t.Fatalf("%d gangs hold room that fits one", on)
			}
			time.Sleep(200 * time.Millisecond)
		}
		for _, id := range ids {
			c.until("done", 3*time.Minute, c.done(id))
		}
		if got := c.cloud.Gangs.Counted(); got.Began != 3 || got.Incomplete != 0 {
			t.Errorf("%+v", got)
		}
	})
}

// Room that is kept free for gangs to come keeps no other job waiting for long, though
// machines are full of what came before.
func TestGangReservationsDoNotStarveOtherJobs(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.anew(6, 96)
		c.runGang(gang(16, 60)) // one as large may come again
		for i := 1; i <= 3; i++ {
			c.accept(10*time.Second, i%3, submission(jobID(i), job.Array, 8, 600))
		}
		low := submission("wk-000009", job.Array, 2, 600)
		low["rank"] = "best_effort"
		c.accept(10*time.Second, 0, low)
		for i := 1; i <= 3; i++ {
			c.until("begun", 90*time.Second, func() bool { return c.referee.RunningTasksOf(jobID(i)) > 0 })
		}
		c.until("the least urgent has begun", 90*time.Second, func() bool { return c.referee.RunningTasksOf("wk-000009") > 0 })
	})
}

// A gang of high priority stops as many tasks of lower priority as it needs and no more, and
// begins long before they would have ended.
func TestGangPreemptsNoMoreThanItNeeds(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.anew(6, 96)
		c.accept(10*time.Second, 0, submission("wk-000002", job.Array, 24, 60))
		c.until("machines are full", time.Minute, func() bool { return c.referee.RunningTasks() == 24 })
		time.Sleep(5 * time.Second)
		m := gang(4, 10)
		m["rank"] = "high"
		c.accept(10*time.Second, 0, m)
		c.until("gang runs", 10*time.Second, func() bool { return c.cloud.Gangs.Counted().Began == 1 })
		if n := c.referee.RunningTasksOf("wk-000002"); n != 20 {
			t.Errorf("%d of 24 tasks of lower priority left", n)
		}
		c.until("done", 30*time.Second, c.done(gangID))
		c.until("array done", 3*time.Minute, c.done("wk-000002"))
		again := 0
		for task, n := range c.referee.StartsByTask() {
			if strings.HasPrefix(task, "wk-000002/") {
				again += n - 1
			}
		}
		if again != 4 {
			t.Errorf("%d tasks of lower priority started again, not 4", again)
		}
	})
}

// Gangs of a team that is beyond its guarantee begin while arrays within another team's fill
// all machines, one after the other; what is guaranteed waits for no more than that.
func TestGangBeyondGuaranteeNotStarvedByArrays(t *testing.T) {
	simulate(t, func(c *cluster) {
		c.large()
		c.runService(10) // more than is guaranteed
		for i := range 4 {
			m := submission(jobID(100+i), job.Array, 250, 20)
			m["crew"] = "neighbours"
			c.accept(10*time.Second, 0, m)
		}
		c.until("all machines are full", time.Minute, func() bool { return c.referee.RunningTasks() == 96 })
		for i := range 3 {
			m := gang(8, 10)
			m["uid"] = jobID(500 + i)
			c.accept(10*time.Second, i, m)
		}
		begin := time.Now()
		c.until("the gangs begin", time.Minute, func() bool { return c.cloud.Gangs.Counted().Began == 3 })
		if c.begun(jobID(103)) == 250 {
			t.Errorf("the arrays were over after %v", time.Since(begin))
		}
		for i := range 4 {
			c.until("array done", 5*time.Minute, c.done(jobID(100+i)))
		}
	})
}
