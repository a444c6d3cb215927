package controller

// What cluster tests read of a leader's own state. No other cluster test touches a leader's fields,
// so that a change of them changes this file only.

import (
	"context"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/leader"
	"tulipshelf/internal/leadership"
	"tulipshelf/internal/wire"
)

// leads reports whether a controller is the leader.
func leads(node *Node) bool { return node.leader.Load() != nil }

// reign identifies one period for which a controller leads; values are compared only.
type reign struct{ leader *leader.Leader }

// reignOf returns the period of leadership that controller i is in; the zero reign if it does not
// lead.
func (c *cluster) reignOf(i int) reign { return reign{c.processes[i].node.leader.Load()} }

// isLeader reports whether controller i, of this version, is the leader.
func (c *cluster) isLeader(i int) bool { return leads(c.processes[i].node) }

// termOf returns the term of controller i, which leads.
func (c *cluster) termOf(i int) uint64 { return c.processes[i].node.leader.Load().Term() }

// hasLoadedRecords reports whether controller i, which leads, has read the records in the store.
func (c *cluster) hasLoadedRecords(i int) bool {
	return c.processes[i].node.leader.Load().Loaded()
}

// registeredMachines returns how many machines controller i, which leads, has registered.
func (c *cluster) registeredMachines(i int) (count int) {
	c.processes[i].node.leader.Load().Inspect(func(machines *agent.Registry) { count = machines.Size() })
	return count
}

// machinesWithImage returns how many machines are known to controller i, which leads, to hold an
// image.
func (c *cluster) machinesWithImage(i int, image string) (count int) {
	c.processes[i].node.leader.Load().Inspect(func(machines *agent.Registry) {
		machines.Each(func(m *agent.Machine) {
			if m.Images.Ready(image) {
				count++
			}
		})
	})
	return count
}

// unstartedLeader is a controller's leader of which the event loop has not been started.
type unstartedLeader struct {
	node   *Node
	leader *leader.Leader
	end    context.CancelFunc // ends the leadership
}

// electWithoutLoop makes controller i the leader without starting its event loop. The caller
// removes it.
func (c *cluster) electWithoutLoop(i int) unstartedLeader {
	node := c.processes[i].node
	ctx, cancel := context.WithCancel(context.Background())
	l := node.newLeader(ctx, &leadership.Term{})
	node.leader.Store(l)
	return unstartedLeader{node: node, leader: l, end: cancel}
}

// remove makes the controller lead no longer.
func (u unstartedLeader) remove() { u.node.leader.CompareAndSwap(u.leader, nil) }

// queuedEvents returns how many events wait for the loop.
func (u unstartedLeader) queuedEvents() int { return u.leader.QueuedEvents() }

// heartbeat hands the controller a heartbeat and waits for its response.
func (u unstartedLeader) heartbeat(h agent.Heartbeat) wire.Response {
	return u.node.handleHeartbeat(context.Background(), wire.Marshal(h))
}
