package controller

import (
	"context"
	"log/slog"
	"time"

	"tulipshelf/internal/clock"
)

const (
	// cancellationReadInterval is the pause between two reads of the cancellations, and the timeout of
	// one read. Users' requests cause further reads.
	cancellationReadInterval = 2 * time.Second

	// leaseExpiryMargin is the minimum time between the expiry of an extended lease and the
	// cancellation deadline of a job whose cancellation this controller does not know.
	leaseExpiryMargin = 2 * time.Second
)

// refreshCancellations reads the job records regularly until ctx ends, so that this controller knows
// which jobs are cancelled and where their tasks are. After a failed read it retries sooner.
func (n *Node) refreshCancellations(ctx context.Context) {
	for ctx.Err() == nil {
		pause := cancellationReadInterval
		if err := n.readCancellations(ctx); err != nil {
			slog.Debug("reading the cancellations failed", "err", err)
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

// onCancelled passes jobs that are newly known to be cancelled to the leader, if this controller leads.
func (n *Node) onCancelled(ids []string) {
	if l := n.leader.Load(); l != nil && len(ids) > 0 {
		l.JobsCancelled(ids)
	}
}

// mayExtendLeases reports whether this controller may extend the leases of worker agents by answering
// their heartbeats. It requires that the register of cancellations is fresh (Register.Staleness): a
// confirmed cancellation that the register lacks must be so recent that a lease extended now expires at
// least leaseExpiryMargin before the deadline of that cancellation.
//
// Guards against tasks of cancelled jobs that run past the deadline promised to users: a controller,
// leading or not, that cannot learn of cancellations would extend the leases of their machines. An agent
// whose lease it does not extend tries the other controllers. If none of them may extend the lease, the
// lease expires and the tasks end.
func (n *Node) mayExtendLeases() bool {
	staleness, known := n.cancelled.Staleness()
	workers := &n.settings.Workers
	// The limit is at least 2*cancellationReadInterval, even if a lease lasts almost as long as the
	// deadline, or longer. A lease may then expire too late for the tasks to end by the deadline.
	limit := max(workers.CancelDeadline-workers.Lease-leaseExpiryMargin, 2*cancellationReadInterval)
	return known && staleness < limit
}
