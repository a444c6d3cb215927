package controller

import (
	"context"
	"log/slog"
	"time"

	"tulipshelf/internal/clock"
)

const (
	// cancellationReadInterval is how fresh the knowledge of cancellations is kept, beside what
	// users' questions do for it.
	cancellationReadInterval = 2 * time.Second

	// leaseExpiryMargin is how much earlier than need be a lease is left to end.
	leaseExpiryMargin = 2 * time.Second
)

// refreshCancellations reads the records so often that this controller knows which jobs are
// cancelled, and where their tasks are.
func (n *Node) refreshCancellations(ctx context.Context) {
	for ctx.Err() == nil {
		pause := cancellationReadInterval
		if err := n.readCancellations(ctx); err != nil {
			slog.Debug("cancellations not read", "err", err)
			pause /= 4
		}
		clock.Sleep(ctx, pause)
	}
}

func (n *Node) readCancellations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, cancellationReadInterval)
	defer cancel()
	return n.api.Refresh(ctx)
}

// onCancelled hands jobs that are newly known to be cancelled to the leader, if this controller
// leads.
func (n *Node) onCancelled(ids []string) {
	if l := n.leader.Load(); l != nil && len(ids) > 0 {
		l.JobsCancelled(ids)
	}
}

// mayExtendLeases reports whether this controller may answer heartbeats so that leases go on. It
// must know every cancellation that was confirmed to a user before a lease's time ago and more:
// whatever it does not know of was confirmed so lately that a lease prolonged now ends in time.
//
// It guards against a controller, leading or not, that can learn of cancellations from nobody and
// keeps their tasks alive for longer than users were promised. Its agents try the other
// controllers, and where none may answer them their tasks end.
func (n *Node) mayExtendLeases() bool {
	staleness, known := n.cancelled.Staleness()
	workers := &n.settings.Workers
	// Where a lease leaves no time at all the promise cannot be kept by leases.
	limit := max(workers.CancelDeadline-workers.Lease-leaseExpiryMargin, 2*cancellationReadInterval)
	return known && staleness < limit
}
