package controller

// Faults of a test cluster: controllers that fail, network partitions and machines that hang.

import (
	"slices"
	"strings"
	"time"
)

func (c *cluster) leader() int {
	return slices.IndexFunc(c.leads, func(leads func() bool) bool { return leads() })
}

// nextLeader ends the leader, waits for another one and starts the old one again.
func (c *cluster) nextLeader() {
	c.t.Helper()
	old := c.leader()
	c.kill(old)
	c.until("another leader", 20*time.Second, func() bool { return c.leader() >= 0 && c.leader() != old })
	c.start(old)
}

// cutLeader cuts the leader off from the state service and the other controllers, not
// from its workers or users, and waits for another one.
func (c *cluster) cutLeader() (old int) {
	c.t.Helper()
	old = c.leader()
	c.net.Partition(func(from, to string) bool {
		worker := strings.HasPrefix(from, "10.1.") || strings.HasPrefix(to, "10.1.") || strings.HasPrefix(from, "user")
		return !worker && (from == nodeAddr(old) || to == nodeAddr(old) || to == peerAddr(old))
	})
	c.until("another leader", 10*time.Second, func() bool {
		for i, leads := range c.leads {
			if i != old && leads() {
				return true
			}
		}
		return false
	})
	return old
}

// cutZone cuts all workers and one other node off from the leader; the state
// service, the cloud and users belong to the region and reach everybody.
func (c *cluster) cutZone() { c.cutZoneOf((c.leader() + 1) % 3) }

// cutZoneOf does the same with a given node on the workers' side.
func (c *cluster) cutZoneOf(other int) {
	inside := func(addr string) bool {
		return strings.HasPrefix(addr, "10.1.") || addr == nodeAddr(other) || addr == peerAddr(other)
	}
	region := func(addr string) bool {
		return addr == stateAddr || addr == cloudAddr || strings.HasPrefix(addr, "user")
	}
	c.net.Partition(func(from, to string) bool { return !region(from) && !region(to) && inside(from) != inside(to) })
}

// refuse cuts a node off from the state service, and from the other nodes too if asked.
func (c *cluster) refuse(node int, peers bool) {
	c.net.Partition(func(from, to string) bool {
		if from == nodeAddr(node) && to == stateAddr {
			return true
		}
		between := strings.HasPrefix(from, "10.0.") && strings.HasPrefix(to, "10.0.")
		return peers && between && (from == nodeAddr(node) || to == peerAddr(node))
	})
}

// mute lets no report of the machines that f names through; what is sent to them arrives.
func (c *cluster) mute(f func(addr string) bool) {
	c.net.Partition(func(from, to string) bool { return isWorker(from) && isNode(to) && f(from) })
}

// hang lets all machines hang, or go on.
func (c *cluster) hang(hung bool) {
	for _, w := range c.cloud.Machines() {
		w.Hang(hung)
	}
}
