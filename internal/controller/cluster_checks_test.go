package controller

// Waits and checks of the cluster tests, and what they count.

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// waitUntil waits for a condition, at most limit of simulated time, and fails the test otherwise.
func (c *cluster) waitUntil(what string, limit time.Duration, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			c.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// waitForStatuses waits until each job has its final status, at most limit for each. It asks any
// controller.
func (c *cluster) waitForStatuses(limit time.Duration, want map[string]string) {
	c.t.Helper()
	for id, status := range want {
		c.waitUntil(id+" "+status, limit, func() bool { return c.status(rand.N(controllers), id) == status })
	}
}

// waitForLeader waits until a controller leads.
func (c *cluster) waitForLeader(limit time.Duration) {
	c.t.Helper()
	c.waitUntil("a leader", limit, func() bool { return c.leader() >= 0 })
}

// waitForLeaderOtherThan waits until another controller than the given one leads.
func (c *cluster) waitForLeaderOtherThan(old int, limit time.Duration) {
	c.t.Helper()
	c.waitUntil("another leader", limit, func() bool { return c.leader() >= 0 && c.leader() != old })
}

// waitUntilReady waits until all controllers take requests.
func (c *cluster) waitUntilReady(limit time.Duration) {
	c.t.Helper()
	c.waitUntil("all controllers ready", limit, func() bool { return c.isReady(0) && c.isReady(1) && c.isReady(2) })
}

// waitUntilRunning waits until so many tasks, of all jobs, are on machines.
func (c *cluster) waitUntilRunning(tasks int, limit time.Duration) {
	c.t.Helper()
	c.waitUntil("tasks run", limit, func() bool { return c.invariants.RunningTasks() == tasks })
}

// waitUntilRunningOf waits until so many tasks of a job are on machines.
func (c *cluster) waitUntilRunningOf(id string, tasks int, limit time.Duration) {
	c.t.Helper()
	c.waitUntil("tasks of "+id+" run", limit, func() bool { return c.invariants.RunningTasksOf(id) == tasks })
}

// waitUntilGone waits until no task of a cancelled job is left, at most for the deadline.
func (c *cluster) waitUntilGone(id string) {
	c.t.Helper()
	c.waitUntil("cancelled tasks of "+id+" gone", cancelDeadline, func() bool { return c.invariants.RunningTasksOf(id) == 0 })
}

// waitUntilReturned waits until a machine has been returned to the cloud.
func (c *cluster) waitUntilReturned(machine *fake.Agent, limit time.Duration) {
	c.t.Helper()
	c.waitUntil(machine.Name+" returned", limit, func() bool { return slices.Contains(c.cloud.Returned(), machine.Name) })
}

// checkStartedOnce checks that no task was started twice.
func (c *cluster) checkStartedOnce() {
	c.t.Helper()
	for task, n := range c.invariants.StartsByTask() {
		if n != 1 {
			c.t.Errorf("%s started %d times", task, n)
		}
	}
}

// startsOf returns how many starts there were of a job's tasks.
func (c *cluster) startsOf(id string) (starts int) {
	for task, n := range c.invariants.StartsByTask() {
		if strings.HasPrefix(task, id+"/") {
			starts += n
		}
	}
	return starts
}

// restartsOf returns how many starts of a job's tasks there were after the first of each.
func (c *cluster) restartsOf(id string) (restarts int) {
	for task, n := range c.invariants.StartsByTask() {
		if strings.HasPrefix(task, id+"/") {
			restarts += n - 1
		}
	}
	return restarts
}

// machinesWithTasks returns the machines that have tasks.
func (c *cluster) machinesWithTasks() (out []*fake.Agent) {
	for _, machine := range c.cloud.Machines() {
		if machine.TaskCount() > 0 {
			out = append(out, machine)
		}
	}
	return out
}

// halfOfMachinesWithTasks returns the first half of the machines that have tasks.
func (c *cluster) halfOfMachinesWithTasks() []*fake.Agent {
	all := c.machinesWithTasks()
	return all[:len(all)/2]
}

// heartbeats returns a copy of the heartbeat that each machine would send now.
func heartbeats(machines []*fake.Agent) (out [][]byte) {
	for _, machine := range machines {
		out = append(out, machine.CurrentHeartbeat())
	}
	return out
}

// storeClient returns a client of the store for the test itself, without a limit on its rate.
func (c *cluster) storeClient(host string) *kvstore.Client {
	const unlimited = 1e6
	return kvstore.New(c.network.Dial(host), storeAddr, unlimited, unlimited)
}

// storedItems returns all that the store holds.
func (c *cluster) storedItems() []kvstore.Item {
	c.t.Helper()
	page, err := c.storeClient("reader").List(context.Background(), "", "", 1000, kvstore.PriorityLease)
	if err != nil {
		c.t.Fatal(err)
	}
	if page.More {
		c.t.Fatal("the store holds more than one page")
	}
	return page.Items
}

// storedTerm returns the highest term given out so far, as the store says.
func (c *cluster) storedTerm() uint64 {
	var record struct {
		Term uint64 `cbor:"term"`
	}
	item, err := c.storeClient("reader").Get(c.t.Context(), "lead/term", kvstore.PriorityLease)
	if err != nil {
		c.t.Fatalf("no term: %v", err)
	}
	if err := wire.Unmarshal(item.Value, &record); err != nil {
		c.t.Fatalf("term: %v", err)
	}
	return record.Term
}

// messageCounts is how many messages have been sent so far.
type messageCounts struct{ toStore, toCloud, storeChanges, toMachines, toControllers int }

func (c *cluster) countMessages() messageCounts {
	counts := messageCounts{toStore: c.network.RequestsTo(storeAddr), toCloud: c.network.RequestsTo(cloudAddr), storeChanges: c.store.Changes("")}
	for addr, n := range c.network.Requests() {
		switch {
		case isMachine(addr):
			counts.toMachines += n
		case strings.HasSuffix(addr, ":8080"):
			counts.toControllers += n
		}
	}
	return counts
}
