package controller

import (
	"tulipshelf/internal/job"
	"tulipshelf/internal/peer"
)

// peerNode is what package peer needs of a Node: the state that it tells the other controllers,
// and the hooks for what they tell. It keeps those methods out of what Node exports.
type peerNode struct{ node *Node }

var _ peer.Node = peerNode{}

// newPeerGroup returns the group of controllers that the settings name, as n sees it.
func newPeerGroup(n *Node) *peer.Group {
	members := make([]peer.Member, 0, len(n.settings.Peers))
	for _, other := range n.settings.Peers {
		members = append(members, peer.Member{Node: other.Node, Addr: other.Addr})
	}
	return peer.New(peer.Config{Dial: n.dial, Node: n.settings.Node, Members: members, Register: n.cancelled}, peerNode{n})
}

func (p peerNode) Leadership() (leader string, term uint64) { return p.node.candidate.Leader() }

func (p peerNode) ObserveLeadership(leader string, term uint64) {
	p.node.candidate.ObserveTerm(leader, term)
}

func (p peerNode) JobsChanged(jobs []string) { p.node.onChanged(jobs) }

func (p peerNode) Redirected() int { return p.node.redirectedCount() }

func (p peerNode) StoreReachable() bool { return p.node.storeReachable() }

func (p peerNode) JobsCancelled(jobs []string) { p.node.onCancelled(jobs) }

func (p peerNode) ConfirmedGone() []job.AttemptID { return p.node.gone.all() }

func (p peerNode) ObserveConfirmedGone(attempts []job.AttemptID) { p.node.gone.merge(attempts) }
