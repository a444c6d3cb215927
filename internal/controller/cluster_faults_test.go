package controller

// Faults of a test cluster: controllers that fail, network partitions, outages of the store, delayed
// commands, and machines that hang.

import (
	"slices"
	"time"

	"tulipshelf/internal/config"
	"tulipshelf/internal/fake"
)

// leader returns the index of the first controller that leads, or -1 if none does.
func (c *cluster) leader() int {
	return slices.IndexFunc(c.processes[:], func(p process) bool { return p.leads() })
}

// failOver ends the leader, waits until another controller leads and starts the old one again.
func (c *cluster) failOver() {
	c.t.Helper()
	old := c.leader()
	c.kill(old)
	c.waitForLeaderOtherThan(old, 20*time.Second)
	c.start(old)
}

// partition separates the pairs of hosts for which separated returns true, and heals earlier partitions.
func (c *cluster) partition(separated func(from, to string) bool) {
	c.network.UpdateFaults(func(faults *fake.NetworkFaults) { faults.Partition = separated })
}

// heal ends all partitions.
func (c *cluster) heal() { c.partition(nil) }

// beginStoreOutage makes the store refuse all requests.
func (c *cluster) beginStoreOutage() {
	c.store.UpdateFaults(func(faults *fake.StoreFaults) { faults.Down = true })
}

// endStoreOutage ends the outage of the store. Its other faults stay.
func (c *cluster) endStoreOutage() {
	c.store.UpdateFaults(func(faults *fake.StoreFaults) { faults.Down = false })
}

// enforceStoreLimits makes the store enforce the given limits. It does not change the settings.
func (c *cluster) enforceStoreLimits(limits config.StoreLimits) {
	c.store.SetLimits(fake.StoreLimits{ValueBytes: limits.ValueBytes, TxnOps: limits.TxnOps, WriteRPS: limits.WriteRPS})
}

// partitionLeader separates the leader from the store, the cloud and the other controllers, but not from
// the machines or users. It waits until another controller leads and returns the separated one.
func (c *cluster) partitionLeader() (old int) {
	c.t.Helper()
	old = c.leader()
	c.partition(func(from, to string) bool {
		outside := isMachine(from) || isMachine(to) || isUser(from)
		return !outside && (from == nodeAddr(old) || to == nodeAddr(old) || to == peerAddr(old))
	})
	c.waitUntil("another leader", 10*time.Second, func() bool {
		for i, p := range c.processes {
			if i != old && p.leads() {
				return true
			}
		}
		return false
	})
	return old
}

// partitionFromStore separates one controller from the store.
func (c *cluster) partitionFromStore(node int) {
	c.partition(func(from, to string) bool { return from == nodeAddr(node) && to == storeAddr })
}

// partitionFromStoreAndPeers separates one controller from the store and the other controllers.
func (c *cluster) partitionFromStoreAndPeers(node int) {
	c.partition(func(from, to string) bool {
		if from == nodeAddr(node) && to == storeAddr {
			return true
		}
		betweenControllers := isController(from) && isController(to)
		return betweenControllers && (from == nodeAddr(node) || to == peerAddr(node))
	})
}

// partitionFromMachines separates one controller from all machines.
func (c *cluster) partitionFromMachines(node int) {
	c.partition(func(from, to string) bool {
		return isMachine(from) && to == nodeAddr(node) || from == nodeAddr(node) && isMachine(to)
	})
}

// partitionControllers separates the controllers from each other.
func (c *cluster) partitionControllers() {
	c.partition(func(from, to string) bool { return isController(from) && isController(to) })
}

// partitionMachines separates the machines for which separated returns true from all other hosts.
func (c *cluster) partitionMachines(separated func(addr string) bool) {
	c.partition(func(from, to string) bool { return separated(from) || separated(to) })
}

// partitionZone separates all machines and one controller from the leader and the third controller. The
// store, the cloud and users are regional and still reach all hosts.
func (c *cluster) partitionZone() { c.partitionZoneWith((c.leader() + 1) % controllers) }

// partitionZoneWith is partitionZone with the given controller on the machines' side.
func (c *cluster) partitionZoneWith(node int) {
	inside := func(addr string) bool {
		return isMachine(addr) || addr == nodeAddr(node) || addr == peerAddr(node)
	}
	regional := func(addr string) bool {
		return addr == storeAddr || addr == cloudAddr || isUser(addr)
	}
	c.partition(func(from, to string) bool { return !regional(from) && !regional(to) && inside(from) != inside(to) })
}

// dropHeartbeats separates the machines for which from returns true from the controllers in one direction:
// their heartbeats are lost, while requests of controllers reach them.
func (c *cluster) dropHeartbeats(from func(addr string) bool) {
	c.partition(func(source, target string) bool {
		return isMachine(source) && isController(target) && from(source)
	})
}

// delayCommands delays each request to a machine; 0 ends the delay.
func (c *cluster) delayCommands(delay time.Duration) {
	c.network.UpdateFaults(func(faults *fake.NetworkFaults) {
		faults.RequestDelay = func(_, to string) time.Duration {
			if isMachine(to) {
				return delay
			}
			return 0
		}
	})
}

// hangMachines makes all machines hang.
func (c *cluster) hangMachines() { c.setHung(true) }

// resumeMachines ends the hang of all machines, also if hangMachines did not cause it.
func (c *cluster) resumeMachines() { c.setHung(false) }

func (c *cluster) setHung(hung bool) {
	for _, machine := range c.cloud.Machines() {
		machine.UpdateFaults(func(faults *fake.AgentFaults) { faults.Hung = hung })
	}
}

// hangFirstMachineWith makes the first machine that has tasks of a job hang.
func (c *cluster) hangFirstMachineWith(id string) {
	for _, machine := range c.cloud.Machines() {
		if machine.HasTasksOf(id) {
			machine.SetFaults(fake.AgentFaults{Hung: true})
			return
		}
	}
}

// addresses returns the addresses of machines, as a set.
func addresses(machines []*fake.Agent) map[string]bool {
	set := map[string]bool{}
	for _, machine := range machines {
		set[machine.Addr] = true
	}
	return set
}
