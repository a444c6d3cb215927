package controller

import (
	"context"
	"log/slog"
	"slices"
	"sync"
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
// returns such machines to the cloud, at most cloud.MaxReturn each time, after it has asked for what it may
// have missed.
func (n *Node) reapCancelled(ctx context.Context) {
	for clock.Sleep(ctx, reaperInterval) {
		n.gone.watch(n.cancelledLocations(0))
		if len(n.machinesToReap()) == 0 {
			continue
		}
		machines := n.confirmMachinesToReap(ctx)
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

// machinesToReap returns the machines that this controller would return by what it knows now.
func (n *Node) machinesToReap() []string {
	if n.leaderReaps() {
		return nil
	}
	overdue := time.Duration(reapOverdueShare * float64(n.settings.Workers.CancelDeadline))
	return n.gone.machinesHolding(n.cancelledLocations(overdue), min(cloud.MaxReturn, n.maxStatusRequests()))
}

// confirmMachinesToReap returns the machines to return, after it has asked for what this controller may have
// missed: the other controllers and the records, then the machines themselves. Whoever does not answer changes
// nothing: the only controller that is left must still end the cancelled tasks. The result is empty if the cloud
// does not answer, which takes back no machine then, or if this process stood still after the last questions.
//
// Guards against healthy machines that are returned by old knowledge: this controller may have stood still, or
// was cut off from the others, while the leader stopped the cancelled tasks
// (docs/incidents/returned-by-old-knowledge.md).
func (n *Node) confirmMachinesToReap(ctx context.Context) []string {
	// The cloud comes first: if it does not answer, neither may the others, as just before the end of a cut.
	listed, err := n.cloud.List(ctx)
	if err != nil {
		slog.Info("machines with cancelled tasks not returned", "machines", n.machinesToReap(), "err", err)
		return nil
	}
	n.askControllersAndStore(ctx)
	n.gone.watch(n.cancelledLocations(0))
	asked := n.machinesToReap()
	if len(asked) == 0 {
		return nil
	}
	askedAt := time.Now()
	n.askMachines(ctx, listed, asked)
	if clock.Elapsed(time.Now(), askedAt) > maxAnswerAge {
		return nil
	}
	stillHolding := n.machinesToReap()
	return slices.DeleteFunc(asked, func(machine string) bool { return !slices.Contains(stillHolding, machine) })
}

// askControllersAndStore brings this controller's knowledge of leader, cancellations and records up to date, as
// far as the other controllers and the key-value store answer.
func (n *Node) askControllersAndStore(ctx context.Context) {
	var asking sync.WaitGroup
	asking.Go(func() { n.peers.Exchange(ctx) })
	asking.Go(func() {
		if err := n.readCancellations(ctx); err != nil {
			slog.Debug("reading the cancellations failed", "err", err)
		}
	})
	asking.Wait()
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
