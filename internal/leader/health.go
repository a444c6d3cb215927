package leader

import (
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/cloud"
)

// machineHealth decides which unhealthy machines to retire, and tells lost machines from machines
// behind a network partition.
type machineHealth struct {
	*environment
	topology *topology
	registry *agent.Registry
	recovery *recovery

	// lastPartitioned is, by zone, the last time at which the zone was found partitioned; zero: never.
	lastPartitioned []time.Time
}

// Limits by which the health of machines is judged.
const (
	// bootTimeoutFactor is the multiple of the usual boot time after which a machine that has not
	// booted is retired, and bootOverdueFactor the multiple after which its capacity is no longer
	// counted on.
	bootTimeoutFactor = 4
	bootOverdueFactor = 1.6

	// unknownTypeBootTimeout is the time after which a machine of unknown type that has not booted is
	// retired.
	unknownTypeBootTimeout = time.Minute

	// unresponsiveTimeout is the time after which an unresponsive machine is retired. It exceeds
	// RelayAfterSilence: in a partition, late copies of heartbeats make a machine look unresponsive
	// until other controllers relay its heartbeats.
	unresponsiveTimeout = RelayAfterSilence + 3*time.Second

	// cancelOverdueShare is the share of the cancellation deadline after which a machine that holds a
	// cancelled task is retired, and cancelOverdueShareReconciling the share that applies until a new
	// leader's ReconcileTimeout has passed.
	cancelOverdueShare            = 0.55
	cancelOverdueShareReconciling = 0.8
)

// RelayAfterSilence is the time without contact with the leader after which another controller
// answers worker agents in its place.
const RelayAfterSilence = 5 * time.Second

func newMachineHealth(env *environment, topology *topology, registry *agent.Registry, recovery *recovery) *machineHealth {
	return &machineHealth{environment: env, topology: topology, registry: registry, recovery: recovery}
}

// initZones allocates the state of each zone. It is called once the zones are known.
func (h *machineHealth) initZones() { h.lastPartitioned = make([]time.Time, len(h.topology.zones)) }

// retire marks a machine to be returned to the cloud.
func retire(machine *agent.Machine, reason agent.RetireReason) {
	machine.RetireReason = reason
	slog.Info("machine marked to be returned to the cloud", "machine", machine.Name, "why", reason, "tasks", len(machine.Assignments))
}

// retireUnhealthy retires unhealthy machines. A machine with an overdue cancelled task is retired in any
// case, also if it is already retired for another reason. The others are retired only while the term is
// valid and missing machines may be replaced.
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

// retireReason returns why a machine is to be retired, or agent.NotRetired.
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

// hasBooted reports whether a machine is known to have booted: it has sent a heartbeat to this leader,
// or has tasks assigned, which for a machine without a heartbeat come from the records.
func hasBooted(machine *agent.Machine) bool {
	return machine.Registered || len(machine.Assignments) > 0
}

// reclaimed reports whether the cloud has presumably reclaimed a machine: its termination notice has
// expired, and it has been silent for at least UnhealthyAfter.
func (h *machineHealth) reclaimed(machine *agent.Machine, now time.Time) bool {
	noticeExpired := !machine.TerminationAt.IsZero() && now.After(machine.TerminationAt)
	return noticeExpired && h.silentFor(machine, now) >= h.Operator.UnhealthyAfter
}

// unusable reports whether a registered machine is empty and nothing can be placed on it, as its type
// or zone is unknown.
func unusable(machine *agent.Machine) bool {
	unknown := machine.Type == unknownIndex || machine.Zone == unknownIndex
	return unknown && machine.Registered && len(machine.Assignments) == 0
}

// unresponsive reports whether a machine has been unresponsive for at least unresponsiveTimeout.
func unresponsive(machine *agent.Machine, now time.Time) bool {
	return !machine.UnresponsiveSince.IsZero() && now.Sub(machine.UnresponsiveSince) >= unresponsiveTimeout
}

// silentFor returns the time since the last heartbeat of a machine, or since the start of this
// leadership if the machine has sent this leader none.
func (h *machineHealth) silentFor(machine *agent.Machine, now time.Time) time.Duration {
	if machine.Registered {
		return now.Sub(machine.LastHeartbeat)
	}
	return now.Sub(h.startedAt)
}

// lost reports whether a machine that has booted counts as lost: after ReplaceAfter without a heartbeat,
// or after UnhealthyAfter if it has also left a probe unanswered and a partition is ruled out.
//
// Machines in a partitioned zone are kept for longer, as they are not dead. A controller in the zone may
// extend their leases. Without such a controller their tasks end when the leases expire. Even then
// returning the machines gains nothing, since their replacements would be cut off too. The exception is
// a machine with a service: the service can start elsewhere once the machine is returned.
//
// When a partition has ended, the time limits count anew from its end. After an election a machine that
// has not sent a heartbeat to the new leader has at least a lease's time, as its agent may have to try
// every controller (docs/incidents/inc-2c92.md).
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

// bootTimeout returns the time from Machine.Created after which a machine is retired if it has not
// booted.
func (h *machineHealth) bootTimeout(machine *agent.Machine) time.Duration {
	if machine.Type == unknownIndex {
		return unknownTypeBootTimeout
	}
	return time.Duration(bootTimeoutFactor * h.topology.types[machine.Type].BootS * float64(time.Second))
}

// bootOverdue reports whether the time since Machine.Created is longer than any healthy machine of the
// type takes to boot; false if the type is unknown. Callers exclude machines that have registered.
// An overdue machine may never boot, so a replacement is rented if its capacity is still needed.
func (h *machineHealth) bootOverdue(machine *agent.Machine, now time.Time) bool {
	if machine.Type == unknownIndex {
		return false
	}
	return now.Sub(machine.Created).Seconds() > bootOverdueFactor*h.topology.types[machine.Type].BootS
}

// cancelOverdue reports whether a machine has held a cancelled task for too long. The limit is higher
// until a new leader's ReconcileTimeout has passed: most machines that have not sent it a heartbeat yet
// are up and only need to be sent the halt. Even the higher limit leaves time to return the others before
// the cancellation deadline.
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

// namesToReturn returns the names of the machines whose RetireReason selected accepts, at most
// cloud.MaxReturn, the limit of one request.
func (h *machineHealth) namesToReturn(selected func(agent.RetireReason) bool) (names []string) {
	h.registry.Each(func(machine *agent.Machine) {
		if len(names) < cloud.MaxReturn && selected(machine.RetireReason) {
			names = append(names, machine.Name)
		}
	})
	return names
}
