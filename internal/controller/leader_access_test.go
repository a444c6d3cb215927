package controller

// Access to the state of a leader for cluster tests. No other cluster test uses a leader's fields, so a
// change of them affects only this file.

import (
	"context"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/leader"
	"tulipshelf/internal/leadership"
	"tulipshelf/internal/wire"
)

// leads reports whether a controller is the leader.
func leads(node *Node) bool { return node.leader.Load() != nil }

// leadershipID identifies one leadership of a controller. Its values are only compared.
type leadershipID struct{ leader *leader.Leader }

// leadershipOf returns the present leadership of controller i, or the zero value if it does not lead.
func (c *cluster) leadershipOf(i int) leadershipID {
	return leadershipID{c.processes[i].node.leader.Load()}
}

// isLeader reports whether controller i leads. It must run this version.
func (c *cluster) isLeader(i int) bool { return leads(c.processes[i].node) }

// termOf returns the term of controller i, which must lead.
func (c *cluster) termOf(i int) uint64 { return c.processes[i].node.leader.Load().Term() }

// hasLoadedRecords reports whether controller i, which must lead, has read the records in the store.
func (c *cluster) hasLoadedRecords(i int) bool {
	return c.processes[i].node.leader.Load().Loaded()
}

// presentMachines returns the names of the machines that are not gone, according to the machine registry of
// controller i, which must lead.
func (c *cluster) presentMachines(i int) (names []string) {
	c.processes[i].node.leader.Load().Inspect(func(machines *agent.Registry) {
		machines.Each(func(machine *agent.Machine) { names = append(names, machine.Name) })
	})
	return names
}

// machinesWithImage returns the number of machines that have fetched an image, according to the machine
// registry of controller i, which must lead.
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

// unstartedLeader is a controller's leader whose event loop has not been started.
type unstartedLeader struct {
	node   *Node
	leader *leader.Leader
	end    context.CancelFunc // ends the leadership
}

// electWithoutLoop makes controller i the leader without starting its event loop. The caller must call
// remove.
func (c *cluster) electWithoutLoop(i int) unstartedLeader {
	node := c.processes[i].node
	ctx, cancel := context.WithCancel(context.Background())
	l := node.newLeader(ctx, &leadership.Term{})
	node.leader.Store(l)
	return unstartedLeader{node: node, leader: l, end: cancel}
}

// remove ends the controller's role as the leader.
func (u unstartedLeader) remove() { u.node.leader.CompareAndSwap(u.leader, nil) }

// queuedEvents returns the number of events that wait for the event loop.
func (u unstartedLeader) queuedEvents() int { return u.leader.QueuedEvents() }

// heartbeat passes a heartbeat to the controller and returns its response.
func (u unstartedLeader) heartbeat(h agent.Heartbeat) wire.Response {
	return u.node.handleHeartbeat(context.Background(), wire.Marshal(h))
}
