package controller

import (
	"context"
	"errors"
	"log/slog"

	"tulipshelf/internal/leader"
	"tulipshelf/internal/leadership"
)

// runLeader runs a leader for term until ctx ends or the leader returns an error, for example because
// another term has begun. After an error it resigns.
func (n *Node) runLeader(ctx context.Context, term *leadership.Term) {
	l := n.newLeader(ctx, term)
	n.leader.Store(l) // it receives heartbeats even before its loop runs (TestHeartbeatsWaitForLeaderLoop)
	defer n.leader.CompareAndSwap(l, nil)
	err := l.Run()
	if err == nil || ctx.Err() != nil {
		return
	}
	if errors.Is(err, leadership.ErrDeposed) {
		slog.Info("leadership lost: another term has begun, as a compare on the term failed", "term", term.Number())
	} else {
		slog.Error("leadership ended by an error", "term", term.Number(), "err", err)
	}
	term.Resign(context.WithoutCancel(ctx))
}

// Resign ends this controller's leadership, if it leads, so that another controller can be elected at once.
// It is called before an ordinary stop, and waits until that has been recorded or ctx ends.
func (n *Node) Resign(ctx context.Context) { n.candidate.Resign(ctx) }

func (n *Node) newLeader(ctx context.Context, term *leadership.Term) *leader.Leader {
	cfg := leader.Config{Settings: n.settings, Operator: n.operator, Store: n.store, Cloud: n.cloud, Dial: n.dial, Node: leaderNode{n}}
	return leader.New(ctx, cfg, term)
}

// prefersOther reports whether another controller should be elected, as far more machines reach it than
// this one.
func (n *Node) prefersOther() bool {
	return n.peers.MostRedirected(leader.RedirectionWindow) > leader.TransferMachineRatio*max(n.redirectedCount(), 1)
}
