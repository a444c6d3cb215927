package controller

// What is counted, sized or paced, at thousands of machines.

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// A node that was cut off while others wrote more than one response may carry, or more changes
// than the state service keeps, reads the records again and serves within seconds; so does a
// leader, which works on under a new term.
func TestNodeReloadsAfterMissingChanges(t *testing.T) {
	for name, written := range map[string]struct{ changes, bytes int }{
		"more bytes than a response carries": {1000, 6000},
		"more changes than are kept":         {10_500, 10},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, func(c *cluster) {
				time.Sleep(2 * time.Second)
				c.runService(2)
				cut := c.leader()
				c.net.Partition(func(from, to string) bool { return from == nodeAddr(cut) && to == stateAddr })
				c.until("another leader", 15*time.Second, func() bool { return c.leader() >= 0 && c.leader() != cut })
				before := c.term()
				c.write(written.changes, written.bytes)
				c.net.Partition(nil)
				c.until("the node cut off answers", 10*time.Second, func() bool { return c.status(cut, "wk-000001") == "running" })
				c.accept(10*time.Second, cut, submission("wk-000002", job.Array, 4, 5))
				c.until("done", time.Minute, func() bool { return c.status(cut, "wk-000002") == jobstore.StatusDone })
				if now := c.term(); now > before+2 {
					t.Errorf("terms %d to %d", before, now)
				}
				if n := c.begun("wk-000001"); n != 2 {
					t.Errorf("2 replicas were started %d times", n)
				}
			})
		})
	}
}

// write makes changes at once under the prefix of the records, in values of a size.
func (c *cluster) write(changes, bytes int) {
	c.t.Helper()
	store := kvstore.New(c.net.Dial("writer"), stateAddr, 1e6, 1e6)
	const each = 8
	for i := 0; i < changes; i += each {
		var ops []kvstore.Mutation
		for k := range each {
			ops = append(ops, kvstore.Mutation{Put: fmt.Sprintf("%s%06d", jobstore.JobKey("wk-900000")+"/", i+k), Value: wire.Marshal(strings.Repeat("x", bytes))})
		}
		if _, err := store.Txn(c.t.Context(), nil, ops, kvstore.PriorityLease); err != nil {
			c.t.Fatal(err)
		}
	}
}

// At 4,000 machines, of which a fifth dies together and the leader a moment later, the work done
// is bounded: requests and changes at the state service, requests to the cloud, messages from
// and to machines, and what is rented. Everything runs in the end.
func TestLoadBoundedAtFourThousandMachines(t *testing.T) {
	const machines, arrays, services = 4000, 48, 300
	simulate(t, func(c *cluster) {
		c.rps = 800
		c.anew(machines, 1e6)
		for i := range arrays {
			c.accept(10*time.Second, i%3, submission(jobID(i), job.Array, 500, 60))
		}
		for i := range services {
			c.accept(10*time.Second, i%3, submission(jobID(100+i), job.Service, 1, 0))
		}
		c.until("most tasks run", 3*time.Minute, func() bool { return c.referee.RunningTasks() > 10_000 })
		all := c.cloud.Machines()
		dead := 0
		for i, w := range all {
			if i%5 == 0 {
				w.Hang(true)
				dead++
			}
		}
		before, begin := c.messages(), time.Now()
		time.Sleep(2 * time.Second)
		old := c.leader()
		c.kill(old)
		c.until("another leader", 10*time.Second, func() bool { return c.leader() >= 0 && c.leader() != old })
		c.until("the dead returned", 90*time.Second, func() bool { return len(c.cloud.Returned()) >= dead })
		c.start(old)
		for i := range arrays {
			c.until("array done", 4*time.Minute, c.done(jobID(i)))
		}
		c.until("services run", time.Minute, func() bool { return c.referee.RunningTasks() >= services })
		seconds, after := time.Since(begin).Seconds(), c.messages()
		const tasks = arrays*500 + services
		for _, x := range []struct {
			what   string
			n      int
			atMost float64
		}{
			{"requests to the state service", after.state - before.state, 40 * seconds},
			{"requests to the cloud", after.cloud - before.cloud, 2 * seconds},
			{"changes at the state service", after.changes - before.changes, tasks / 10},
			{"messages to machines", after.toMachines - before.toMachines, tasks / 3},
			{"requests to controllers", after.toNodes - before.toNodes, machines * seconds / 4},
			{"machines rented", len(c.cloud.Machines()) + len(c.cloud.Returned()), machines},
		} {
			if float64(x.n) > x.atMost {
				t.Errorf("%d %s in %.0f s, at most %.0f expected", x.n, x.what, seconds, x.atMost)
			}
		}
	})
}

// messages counts what has been sent so far.
type messages struct{ state, cloud, changes, toMachines, toNodes int }

func (c *cluster) messages() messages {
	m := messages{state: c.net.RequestsTo(stateAddr), cloud: c.net.RequestsTo(cloudAddr), changes: c.store.Changes()}
	for addr, n := range c.net.Requests() {
		switch {
		case strings.HasPrefix(addr, "10.1."):
			m.toMachines += n
		case strings.HasSuffix(addr, ":8080"):
			m.toNodes += n
		}
	}
	return m
}
