package controller

// Transactions on the key-value store whose responses are lost, or that are applied late.

import (
	"fmt"
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// Safety 1: of a transaction whose answer is lost nothing is acknowledged
// before it is read back, and one that is applied late is not applied twice.
func TestUnacknowledgedTransactionsAreReadBack(t *testing.T) {
	simulate(t, func(c *cluster) {
		time.Sleep(2 * time.Second)
		c.store.LoseResponses(1)
		if got := c.submit(0, submission("wk-000001", job.Array, 4, 5)); got != 200 {
			t.Errorf("applied, answer lost: %d, want 200 after reading back", got)
		}
		c.store.DelayTransactions(1, jobstore.JobKey("wk-000002"))
		if got := c.submit(0, submission("wk-000002", job.Array, 4, 5)); got != 503 {
			t.Errorf("held back: %d, want 503", got)
		}
		if got := c.status(1, "wk-000002"); got != "404" {
			t.Errorf("not accepted yet: %s", got)
		}
		if got := c.submit(1, submission("wk-000002", job.Array, 4, 5)); got != 201 {
			t.Errorf("retry: %d", got)
		}
		c.store.Release()
		c.store.LoseResponses(2) // the leader's own writes
		c.until("first job done", 2*time.Minute, c.done("wk-000001"))
		c.until("second job done", 2*time.Minute, c.done("wk-000002"))
		c.startedOnce()
	})
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
