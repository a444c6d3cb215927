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

	// reapOverdueShare is the share of the cancellation deadline after which a controller returns the
	// machines that hold tasks of a cancelled job, if it knows of no leader that returns them
	// (leaderReaps). It is above the share that a leader uses, 0.55 (cancelOverdueShare in package
	// leader), but below the share of a leader that still reconciles, 0.8
	// (cancelOverdueShareReconciling).
	reapOverdueShare = 0.75
)

// reapCancelled runs until ctx ends. Each second it updates the attempts that n.gone watches. If no
// leader is known that returns machines with overdue tasks of cancelled jobs (leaderReaps), it also
// returns such machines to the cloud, at most cloud.MaxReturn each time.
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
		slog.Info("machines with cancelled tasks returned: no leader is known that returns them", "machines", machines)
		n.gone.confirmReturned(machines)
	}
}

// leaderReaps reports whether a leader is known that returns machines with overdue tasks of cancelled jobs:
// this controller leads and has read the records, or the last known leader has said within
// leader.RelayAfterSilence that it leads. Such a leader knows the cancellations that this controller
// knows, and more about the locations of tasks.
func (n *Node) leaderReaps() bool {
	if l := n.leader.Load(); l != nil && l.Loaded() {
		return true
	}
	name, _ := n.candidate.Leader()
	return n.peers.LeadingWithin(name, leader.RelayAfterSilence)
}

// cancelledLocations returns the locations at which tasks may run of jobs whose cancellation this
// controller learned at least age ago.
func (n *Node) cancelledLocations(age time.Duration) (locations []jobstore.Location) {
	for _, id := range n.cancelled.AddedBefore(age) {
		locations = append(locations, n.api.Locations(id)...)
	}
	return locations
}
