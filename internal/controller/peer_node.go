package controller

import (
	"tulipshelf/internal/job"
	"tulipshelf/internal/peer"
)

// peerNode adapts a Node to peer.Node, so that Node itself does not export these methods. It supplies the
// state that is sent to the other controllers, and handles the state that they send.
type peerNode struct{ node *Node }

var _ peer.Node = peerNode{}

// newPeerGroup returns the peer group of n, whose members are the other controllers in its settings.
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
