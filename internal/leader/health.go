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

	// lastPartitioned is, by zone, when the zone was last seen to be cut off.
	lastPartitioned []time.Time
}

// When machines are given up.
const (
	// bootTimeoutFactor is after how many times the usual boot time a machine is given up, and
	// bootOverdueFactor after how many it is no longer counted on.
	bootTimeoutFactor = 4
	bootOverdueFactor = 1.6

	// unknownTypeBootTimeout is the time to boot of a machine whose type is not known.
	unknownTypeBootTimeout = time.Minute

	// partitionSilentDivisor is the share, one in so many, of silent machines from which the network is
	// more likely at fault than they are.
	partitionSilentDivisor = 3

	// inconclusiveMachines is the least number of machines from which anything is concluded.
	inconclusiveMachines = 2

	// partitionMissedHeartbeats is how many heartbeats of a zone in a row are missed before it
	// counts as cut off.
	partitionMissedHeartbeats = 10

	// partitionMinSilence is the least time without any heartbeat of a zone.
	partitionMinSilence = time.Second

	// partitionLeases is for how many leases the machines of a zone that is cut off are kept.
	partitionLeases = 3

	// unresponsiveTimeout is for how long an unresponsive machine is kept. In a partition late
	// copies of heartbeats look like that until other controllers relay them.
	unresponsiveTimeout = RelayAfterSilence + 3*time.Second

	// cancelOverdueShare is the share of the cancellation deadline after which a machine with a cancelled
	// task is given up, and cancelOverdueShareReconciling the same while a new leader reconciles.
	cancelOverdueShare            = 0.55
	cancelOverdueShareReconciling = 0.8
)

// RelayAfterSilence is for how long a leader must not have been heard from before another
// controller answers worker agents in its place.
const RelayAfterSilence = 5 * time.Second

func newMachineHealth(env *environment, topology *topology, registry *agent.Registry, recovery *recovery) *machineHealth {
	return &machineHealth{environment: env, topology: topology, registry: registry, recovery: recovery}
}

// begin is called once the zones are known.
func (h *machineHealth) begin() { h.lastPartitioned = make([]time.Time, len(h.topology.zones)) }

// retire marks a machine to be returned to the cloud.
func retire(machine *agent.Machine, reason agent.RetireReason) {
	machine.RetireReason = reason
	slog.Info("machine marked to be returned to the cloud", "machine", machine.Name, "why", reason, "tasks", len(machine.Assignments))
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
	h.recordPartitions(silence, now)
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
	case !hasBooted(machine) && now.Sub(machine.Created) > h.bootTimeout(machine):
		return agent.RetireNeverBooted
	case hasBooted(machine) && h.lost(machine, silence, now):
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

// hasBooted reports whether a machine has sent a heartbeat to this leader, or holds tasks by the records.
func hasBooted(machine *agent.Machine) bool {
	return machine.Registered || len(machine.Assignments) > 0
}

// reclaimed reports whether the cloud has taken a machine, as its termination notice said.
func (h *machineHealth) reclaimed(machine *agent.Machine, now time.Time) bool {
	noticeExpired := !machine.TerminationAt.IsZero() && now.After(machine.TerminationAt)
	return noticeExpired && h.silentFor(machine, now) >= h.Operator.UnhealthyAfter
}

// unusable reports whether a machine is empty and nothing can be placed on it.
func unusable(machine *agent.Machine) bool {
	unknown := machine.Type == unknownIndex || machine.Zone == unknownIndex
	return unknown && machine.Registered && len(machine.Assignments) == 0
}

// unresponsive reports whether nothing has reached a machine for too long.
func unresponsive(machine *agent.Machine, now time.Time) bool {
	return !machine.UnresponsiveSince.IsZero() && now.Sub(machine.UnresponsiveSince) >= unresponsiveTimeout
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
	return c.silent > inconclusiveMachines && c.silent*partitionSilentDivisor > c.total
}

// clusterSilence is how many machines are silent.
type clusterSilence struct {
	all           silentCount
	byZone        []silentCount
	lastHeartbeat []time.Time // by zone: the newest heartbeat of any machine there
}

func (h *machineHealth) measureSilence(now time.Time) clusterSilence {
	zones := len(h.topology.zones)
	silence := clusterSilence{byZone: make([]silentCount, zones), lastHeartbeat: make([]time.Time, zones)}
	h.registry.Each(func(machine *agent.Machine) {
		if !hasBooted(machine) {
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
		if machine.LastHeartbeat.After(silence.lastHeartbeat[machine.Zone]) {
			silence.lastHeartbeat[machine.Zone] = machine.LastHeartbeat
		}
	})
	return silence
}

// recordPartitions notes which zones are cut off now.
func (h *machineHealth) recordPartitions(silence clusterSilence, now time.Time) {
	for zone, count := range silence.byZone {
		if h.noHeartbeats(count, silence.lastHeartbeat[zone], now) || silence.all.suggestsPartition() || count.suggestsPartition() {
			h.lastPartitioned[zone] = now
		}
	}
}

// noHeartbeats reports whether none of a zone's machines is heard from. Of hundreds of machines
// dozens send a heartbeat each second: where none does, the zone is cut off, long before a third of
// its machines count as silent. Those whose heartbeats came last before the partition would be
// given up until then.
func (h *machineHealth) noHeartbeats(count silentCount, lastHeartbeat, now time.Time) bool {
	if lastHeartbeat.IsZero() || count.total <= inconclusiveMachines {
		return false
	}
	gap := now.Sub(lastHeartbeat)
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
	if machine.Zone != unknownIndex && !h.lastPartitioned[machine.Zone].IsZero() {
		if h.lastPartitioned[machine.Zone].Equal(now) {
			return silent >= h.silenceLimitInPartition(machine, silence.byZone[machine.Zone])
		}
		silent = min(silent, now.Sub(h.lastPartitioned[machine.Zone]))
	}
	if !machine.Registered {
		return silent >= max(replaceAfter, h.Settings.Workers.Lease)
	}
	if silent >= replaceAfter {
		return true
	}
	return machine.ProbeFailed && silent >= h.Operator.UnhealthyAfter && h.partitionRuledOut(machine, silence, now)
}

// silenceLimitInPartition is for how long a machine in a zone that is cut off is kept. Those that serve
// in a zone from which a new leader has heard nobody were silent before it: the zone was cut off
// before, as others have found their way by then.
func (h *machineHealth) silenceLimitInPartition(machine *agent.Machine, zone silentCount) time.Duration {
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

// partitionRuledOut reports whether the machine alone is silent: only where a partition would have shown
// by now.
func (h *machineHealth) partitionRuledOut(machine *agent.Machine, silence clusterSilence, now time.Time) bool {
	if machine.Zone == unknownIndex || now.Sub(h.lastPartitioned[machine.Zone]) <= h.Settings.Workers.Lease {
		return false
	}
	interval := h.Settings.Workers.HeartbeatInterval
	detectionSeconds := (h.Operator.UnhealthyAfter - interval*5/4).Seconds()
	machines := float64(silence.byZone[machine.Zone].total)
	return machines*detectionSeconds >= partitionMissedHeartbeats*interval.Seconds()
}

func (h *machineHealth) bootTimeout(machine *agent.Machine) time.Duration {
	if machine.Type == unknownIndex {
		return unknownTypeBootTimeout
	}
	return time.Duration(bootTimeoutFactor * h.topology.types[machine.Type].BootS * float64(time.Second))
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
	share := cancelOverdueShare
	if !h.recovery.timedOut(now) {
		share = cancelOverdueShareReconciling
	}
	limit := time.Duration(share * float64(h.Settings.Workers.CancelDeadline))
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
