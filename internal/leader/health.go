package leader

import (
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/cloud"
)

// machineHealth decides which machines are given up for what time has shown, and tells lost
// machines from a network partition.
type machineHealth struct {
	*environment
	topology *topology
	registry *agent.Registry
	recovery *recovery

	// partitionedUntil is, by zone, when the zone was last seen to be cut off.
	partitionedUntil []time.Time
}

// When machines are given up.
const (
	// bootGiveUpFactor is after how many times the usual boot time a machine is given up, and
	// bootOverdueFactor after how many it is no longer counted on.
	bootGiveUpFactor  = 4
	bootOverdueFactor = 1.6

	// unknownTypeBoot is the time to boot of a machine whose type is not known.
	unknownTypeBoot = time.Minute

	// partitionShare is the share, one in so many, of silent machines from which the network is
	// more likely at fault than they are.
	partitionShare = 3

	// partitionMinMachines is the least number of machines from which anything is concluded.
	partitionMinMachines = 2

	// partitionMissedHeartbeats is how many heartbeats of a zone in a row are missed before it
	// counts as cut off.
	partitionMissedHeartbeats = 10

	// partitionMinSilence is the least time without any heartbeat of a zone.
	partitionMinSilence = time.Second

	// partitionLeases is for how many leases the machines of a zone that is cut off are kept.
	partitionLeases = 3

	// unresponsivePatience is for how long an unresponsive machine is kept. In a partition late
	// copies of heartbeats look like that until other controllers relay them.
	unresponsivePatience = RelayAfterSilence + 3*time.Second

	// cancelLeeway is the share of the cancellation deadline after which a machine with a cancelled
	// task is given up, and cancelLeewayReconciling the same while a new leader reconciles.
	cancelLeeway            = 0.55
	cancelLeewayReconciling = 0.8
)

// RelayAfterSilence is for how long a leader must not have been heard from before another
// controller answers worker agents in its place.
const RelayAfterSilence = 5 * time.Second

func newMachineHealth(env *environment, topology *topology, registry *agent.Registry, recovery *recovery) *machineHealth {
	return &machineHealth{environment: env, topology: topology, registry: registry, recovery: recovery}
}

// begin is called once the zones are known.
func (h *machineHealth) begin() { h.partitionedUntil = make([]time.Time, len(h.topology.zones)) }

// retire marks a machine to be returned to the cloud.
func retire(machine *agent.Machine, reason agent.RetireReason) {
	machine.RetireReason = reason
	slog.Info("machine given up", "machine", machine.Name, "why", reason, "tasks", len(machine.Assignments))
}

// retireUnhealthy gives up machines for what time has shown.
func (h *machineHealth) retireUnhealthy(now time.Time) {
	h.registry.Each(func(machine *agent.Machine) {
		if machine.RetireReason != agent.RetireStuckCancelled && h.cancelOverdue(machine, now) {
			retire(machine, agent.RetireStuckCancelled)
		}
	})
	if !h.term.Valid() || !h.recovery.mayReplaceMissing(now) {
		return
	}
	silence := h.measureSilence(now)
	h.notePartitions(silence, now)
	h.registry.Each(func(machine *agent.Machine) {
		if machine.RetireReason != agent.NotRetired {
			return
		}
		if reason := h.retireReason(machine, silence, now); reason != agent.NotRetired {
			retire(machine, reason)
		}
	})
}

// retireReason returns why a machine is to be given up, or agent.NotRetired.
func (h *machineHealth) retireReason(machine *agent.Machine, silence clusterSilence, now time.Time) agent.RetireReason {
	switch {
	case machine.Failed:
		return agent.RetireFailed
	case machine.Quarantined:
		return agent.RetireQuarantined
	case !inUse(machine) && now.Sub(machine.Created) > h.bootLimit(machine):
		return agent.RetireNeverBooted
	case inUse(machine) && h.lost(machine, silence, now):
		return agent.RetireSilent
	case h.reclaimed(machine, now):
		return agent.RetireReclaimed
	case unusable(machine):
		return agent.RetireUnknownType
	case unresponsive(machine, now):
		return agent.RetireUnresponsive
	}
	return agent.NotRetired
}

// inUse reports whether a machine has sent a heartbeat to this leader, or holds tasks by the records.
func inUse(machine *agent.Machine) bool { return machine.Registered || len(machine.Assignments) > 0 }

// reclaimed reports whether the cloud has taken a machine, as its termination notice said.
func (h *machineHealth) reclaimed(machine *agent.Machine, now time.Time) bool {
	noticeEnded := !machine.TerminationAt.IsZero() && now.After(machine.TerminationAt)
	return noticeEnded && h.silentFor(machine, now) >= h.Operator.UnhealthyAfter
}

// unusable reports whether a machine is empty and nothing can be placed on it.
func unusable(machine *agent.Machine) bool {
	unknown := machine.Type == unknownIndex || machine.Zone == unknownIndex
	return unknown && machine.Registered && len(machine.Assignments) == 0
}

// unresponsive reports whether nothing has reached a machine for too long.
func unresponsive(machine *agent.Machine, now time.Time) bool {
	return !machine.UnresponsiveSince.IsZero() && now.Sub(machine.UnresponsiveSince) >= unresponsivePatience
}

// silentFor returns for how long this leader has not heard from a machine.
func (h *machineHealth) silentFor(machine *agent.Machine, now time.Time) time.Duration {
	if machine.Registered {
		return now.Sub(machine.LastHeartbeat)
	}
	return now.Sub(h.startedAt)
}

// silentCount is how many machines there are, and how many of them are silent.
type silentCount struct{ total, silent int }

// suggestsPartition reports whether so many are silent that the network is more likely at fault.
func (c silentCount) suggestsPartition() bool {
	return c.silent > partitionMinMachines && c.silent*partitionShare > c.total
}

// clusterSilence is how many machines are silent.
type clusterSilence struct {
	all       silentCount
	byZone    []silentCount
	lastHeard []time.Time // by zone: the newest heartbeat of any machine there
}

func (h *machineHealth) measureSilence(now time.Time) clusterSilence {
	zones := len(h.topology.zones)
	silence := clusterSilence{byZone: make([]silentCount, zones), lastHeard: make([]time.Time, zones)}
	h.registry.Each(func(machine *agent.Machine) {
		if !inUse(machine) {
			return
		}
		silent := 0
		if h.silentFor(machine, now) >= h.Operator.UnhealthyAfter {
			silent = 1
		}
		silence.all.total++
		silence.all.silent += silent
		if machine.Zone == unknownIndex {
			return
		}
		silence.byZone[machine.Zone].total++
		silence.byZone[machine.Zone].silent += silent
		if machine.LastHeartbeat.After(silence.lastHeard[machine.Zone]) {
			silence.lastHeard[machine.Zone] = machine.LastHeartbeat
		}
	})
	return silence
}

// notePartitions notes which zones are cut off now.
func (h *machineHealth) notePartitions(silence clusterSilence, now time.Time) {
	for zone, count := range silence.byZone {
		if h.noHeartbeats(count, silence.lastHeard[zone], now) || silence.all.suggestsPartition() || count.suggestsPartition() {
			h.partitionedUntil[zone] = now
		}
	}
}

// noHeartbeats reports whether none of a zone's machines is heard from. Of hundreds of machines
// dozens send a heartbeat each second: where none does, the zone is cut off, long before a third of
// its machines count as silent. Those whose heartbeats came last before the partition would be
// given up until then.
func (h *machineHealth) noHeartbeats(count silentCount, lastHeard, now time.Time) bool {
	if lastHeard.IsZero() || count.total <= partitionMinMachines {
		return false
	}
	gap := now.Sub(lastHeard)
	missed := float64(count.total) * gap.Seconds() / h.Settings.Workers.HeartbeatInterval.Seconds()
	return gap >= partitionMinSilence && missed >= partitionMissedHeartbeats
}

// lost reports whether a machine that was there is taken for lost.
//
// Where a zone is cut off its machines are not dead. A controller there may keep their leases;
// without one their tasks end with those, and then nothing is gained by returning the machines
// either, unless services wait to start elsewhere: others in their place would be cut off too. Once
// the partition is over they have the usual time anew to come back, and after an election a lease's
// time, as they may have to try every controller (docs/incidents/inc-2c92.md).
func (h *machineHealth) lost(machine *agent.Machine, silence clusterSilence, now time.Time) bool {
	replaceAfter := h.Operator.ReplaceAfter
	silent := h.silentFor(machine, now)
	if machine.Zone != unknownIndex && !h.partitionedUntil[machine.Zone].IsZero() {
		if h.partitionedUntil[machine.Zone].Equal(now) {
			return silent >= h.partitionPatience(machine, silence.byZone[machine.Zone])
		}
		silent = min(silent, now.Sub(h.partitionedUntil[machine.Zone]))
	}
	if !machine.Registered {
		return silent >= max(replaceAfter, h.Settings.Workers.Lease)
	}
	if silent >= replaceAfter {
		return true
	}
	return machine.ProbeFailed && silent >= h.Operator.UnhealthyAfter && h.silentAlone(machine, silence, now)
}

// partitionPatience is for how long a machine in a zone that is cut off is kept. Those that serve
// in a zone from which a new leader has heard nobody were silent before it: the zone was cut off
// before, as others have found their way by then.
func (h *machineHealth) partitionPatience(machine *agent.Machine, zone silentCount) time.Duration {
	replaceAfter, lease := h.Operator.ReplaceAfter, h.Settings.Workers.Lease
	leasesKept := h.Settings.HasController(h.topology.zones[machine.Zone])
	switch {
	case !machine.RunsService() || leasesKept:
		return max(replaceAfter, partitionLeases*lease)
	case !machine.Registered && zone.silent == zone.total:
		return replaceAfter
	}
	return max(replaceAfter, lease)
}

// silentAlone reports whether the machine alone is silent: only where a partition would have shown
// by now.
func (h *machineHealth) silentAlone(machine *agent.Machine, silence clusterSilence, now time.Time) bool {
	if machine.Zone == unknownIndex || now.Sub(h.partitionedUntil[machine.Zone]) <= h.Settings.Workers.Lease {
		return false
	}
	interval := h.Settings.Workers.HeartbeatInterval
	shown := (h.Operator.UnhealthyAfter - interval*5/4).Seconds()
	machines := float64(silence.byZone[machine.Zone].total)
	return machines*shown >= partitionMissedHeartbeats*interval.Seconds()
}

func (h *machineHealth) bootLimit(machine *agent.Machine) time.Duration {
	if machine.Type == unknownIndex {
		return unknownTypeBoot
	}
	return time.Duration(bootGiveUpFactor * h.topology.types[machine.Type].BootS * float64(time.Second))
}

// bootOverdue reports whether a machine has taken longer to boot than any that is in order. It may
// never come up, so what it was rented for is rented again.
func (h *machineHealth) bootOverdue(machine *agent.Machine, now time.Time) bool {
	if machine.Type == unknownIndex {
		return false
	}
	return now.Sub(machine.Created).Seconds() > bootOverdueFactor*h.topology.types[machine.Type].BootS
}

// cancelOverdue reports whether a machine has held a cancelled task for too long. A new leader
// first reconciles, as most machines that it does not know yet are there and only have to be told,
// but not until it is too late to return the others.
func (h *machineHealth) cancelOverdue(machine *agent.Machine, now time.Time) bool {
	leeway := cancelLeeway
	if !h.recovery.timedOut(now) {
		leeway = cancelLeewayReconciling
	}
	limit := time.Duration(leeway * float64(h.Settings.Workers.CancelDeadline))
	for _, assignment := range machine.Assignments {
		if assignment.Job.Cancelled && now.Sub(assignment.Job.CancelledAt) > limit {
			return true
		}
	}
	return false
}

// retired returns the names of machines to return for which selected holds, as many as one request
// takes.
func (h *machineHealth) retired(selected func(agent.RetireReason) bool) (names []string) {
	h.registry.Each(func(machine *agent.Machine) {
		if len(names) < cloud.MaxReturn && selected(machine.RetireReason) {
			names = append(names, machine.Name)
		}
	})
	return names
}
