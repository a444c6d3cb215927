package controller

import (
	"context"
	"time"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/job"
	"tulipshelf/internal/leader"
)

// leaderNode adapts a Node to leader.Node, so that Node itself does not export these methods.
type leaderNode struct{ node *Node }

var _ leader.Node = leaderNode{}

func (l leaderNode) MachineTypes() []cloud.Type { return l.node.machineTypes() }

func (l leaderNode) ValueBytes() int { return int(l.node.valueBytes.Load()) }

func (l leaderNode) IsCancelled(jobID string) bool { return l.node.cancelled.Contains(jobID) }

func (l leaderNode) ConfirmedGone(attempt job.AttemptID) bool { return l.node.gone.contains(attempt) }

func (l leaderNode) MayExtendLeases() bool { return l.node.mayExtendLeases() }

func (l leaderNode) ObserveToken(ctx context.Context, token uint64) {
	l.node.candidate.ObserveToken(ctx, token)
}

func (l leaderNode) AskControllers(ctx context.Context) { l.node.peers.Exchange(ctx) }

func (l leaderNode) TransferLeadership() { l.node.candidate.TransferLeadership() }

func (l leaderNode) MostRedirectedByPeer(within time.Duration) int {
	return l.node.peers.MostRedirected(within)
}
