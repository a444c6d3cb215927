package controller

// Waits and checks of the cluster tests, and what they count.

import (
	"math/rand/v2"
	"strings"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// until waits for cond, at most limit of simulated time.
func (c *cluster) until(what string, limit time.Duration, cond func() bool) {
	c.t.Helper()
	for end := time.Now().Add(limit); !cond(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// over waits until each job is in its final state.
func (c *cluster) over(limit time.Duration, want map[string]string) {
	c.t.Helper()
	for id, s := range want {
		c.until(id+" "+s, limit, func() bool { return c.status(rand.N(3), id) == s })
	}
}

// startedOnce checks that no task was started twice.
func (c *cluster) startedOnce() {
	c.t.Helper()
	for task, n := range c.referee.StartsByTask() {
		if n != 1 {
			c.t.Errorf("%s started %d times", task, n)
		}
	}
}

// begun returns how many starts there were of a job's tasks.
func (c *cluster) begun(id string) (n int) {
	for task, k := range c.referee.StartsByTask() {
		if strings.HasPrefix(task, id+"/") {
			n += k
		}
	}
	return n
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

// term returns the highest term given out so far, as the records say.
func (c *cluster) term() uint64 {
	var kept struct {
		Term uint64 `cbor:"term"`
	}
	store := kvstore.New(c.net.Dial("reader"), stateAddr, 1e6, 1e6)
	item, err := store.Get(c.t.Context(), "lead/term", kvstore.PriorityLease)
	if err != nil || wire.Unmarshal(item.Value, &kept) != nil {
		c.t.Fatalf("no term: %v", err)
	}
	return kept.Term
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
