package controller

import (
	"context"
	"log/slog"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/leader"
)

const (
	reaperInterval = time.Second

	// reapOverdueShare is the share of the cancellation deadline after which a controller itself returns
	// the machines that hold tasks of a cancelled job, if it knows of no leader that does: later
	// than any leader returns them.
	reapOverdueShare = 0.75
)

// reapCancelled looks after tasks of cancelled jobs where no leader does.
func (n *Node) reapCancelled(ctx context.Context) {
	for clock.Sleep(ctx, reaperInterval) {
		n.gone.watch(n.cancelledLocations(0))
		if n.leaderReaps() {
			continue
		}
		overdue := time.Duration(reapOverdueShare * float64(n.settings.Workers.CancelDeadline))
		machines := n.gone.machinesHolding(n.cancelledLocations(overdue), cloud.MaxReturn)
		if len(machines) == 0 {
			continue
		}
		if err := n.cloud.Return(ctx, machines); err != nil {
			slog.Info("machines with cancelled tasks not returned", "machines", machines, "err", err)
			continue
		}
		slog.Info("machines with cancelled tasks returned, nobody leads", "machines", machines)
		n.gone.confirmReturned(machines)
	}
}

// leaderReaps reports whether a leader is known that knows of the cancellations what this
// controller knows, and the locations better.
func (n *Node) leaderReaps() bool {
	if l := n.leader.Load(); l != nil && l.Loaded() {
		return true
	}
	name, _ := n.candidate.Leader()
	return n.peers.LeadingWithin(name, leader.RelayAfterSilence)
}

// cancelledLocations returns where tasks may be of jobs that were learned to be cancelled at least
// so long ago.
func (n *Node) cancelledLocations(age time.Duration) (locations []jobstore.Location) {
	for _, id := range n.cancelled.LearnedBefore(age) {
		locations = append(locations, n.api.Locations(id)...)
	}
	return locations
}
