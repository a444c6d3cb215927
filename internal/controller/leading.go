package controller

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/job"
	"tulipshelf/internal/leader"
	"tulipshelf/internal/leadership"
)

// runLeader leads for one term, until ctx ends or the leader finds that it is deposed.
func (n *Node) runLeader(ctx context.Context, term *leadership.Term) {
	l := n.newLeader(ctx, term)
	n.leader.Store(l) // from here on heartbeats come, also before it runs (TestHeartbeatsWaitForLeaderLoop)
	defer n.leader.CompareAndSwap(l, nil)
	err := l.Run()
	if err == nil || ctx.Err() != nil {
		return
	}
	if errors.Is(err, leader.ErrDeposed) {
		slog.Info("leadership lost: another term has begun, as a compare on the term failed", "term", term.Number())
	} else {
		slog.Error("leadership ended by an error", "term", term.Number(), "err", err)
	}
	term.Resign(context.WithoutCancel(ctx))
}

func (n *Node) newLeader(ctx context.Context, term *leadership.Term) *leader.Leader {
	cfg := leader.Config{Settings: n.settings, Operator: n.operator, Store: n.store, Cloud: n.cloud, Dial: n.dial, Node: n}
	return leader.New(ctx, cfg, term)
}

// The methods below make Node a leader.Node.

// MachineTypes returns the cloud's catalog, or nil as long as it is not known.
func (n *Node) MachineTypes() []cloud.Type {
	if types := n.types.Load(); types != nil {
		return *types
	}
	return nil
}

// ValueBytes returns how large a value the key-value store takes, as far as it has shown.
func (n *Node) ValueBytes() int { return int(n.valueBytes.Load()) }

// IsCancelled reports whether a job is known to be cancelled, durably.
func (n *Node) IsCancelled(jobID string) bool { return n.cancelled.Contains(jobID) }

// ConfirmedGone reports whether a recorded attempt of a cancelled job was shown to be gone.
func (n *Node) ConfirmedGone(attempt job.AttemptID) bool { return n.gone.contains(attempt) }

// ObserveToken takes a fencing token above this leader's, seen by a worker agent.
func (n *Node) ObserveToken(ctx context.Context, token uint64) { n.candidate.ObserveToken(ctx, token) }

// TransferLeadership ends the term so that another controller can be elected at once.
func (n *Node) TransferLeadership() { n.candidate.TransferLeadership() }

// RedirectedElsewhere returns the largest number of machines that another controller, which does not
// lead, has recently been contacted by.
func (n *Node) RedirectedElsewhere(within time.Duration) int { return n.peers.MostRedirected(within) }

// prefersOther reports whether another controller, which far more machines reach, had better be
// elected.
func (n *Node) prefersOther() bool {
	return n.peers.MostRedirected(leader.RedirectedWithin) > leader.TransferFactor*max(n.redirectedCount(), 1)
}
