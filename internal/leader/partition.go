package leader

// Network partitions between the leader and zones: how machineHealth detects them, and how long it then waits for
// machines.

import (
	"time"

	"tulipshelf/internal/agent"
)

// Limits by which a zone counts as partitioned.
const (
	// partitionSilentDivisor sets the share of silent machines, one in partitionSilentDivisor, above which
	// the network is more likely at fault than the machines.
	partitionSilentDivisor = 3

	// inconclusiveMachines is the largest number of machines that is too small to show a network
	// partition. suggestsPartition requires more silent machines, and noHeartbeats more machines of the
	// zone that have booted.
	inconclusiveMachines = 2

	// partitionMissedHeartbeats is the minimum number of heartbeats that must be missing from a zone
	// since its last one for the zone to count as partitioned. The number missing is computed from the
	// heartbeat interval and the number of machines in the zone.
	partitionMissedHeartbeats = 10

	// partitionMinSilence is the minimum time without any heartbeat from a zone for it to count as
	// partitioned.
	partitionMinSilence = time.Second

	// partitionLeases is the silence, in leases, after which a machine in a partitioned zone counts as
	// lost. The limit for machines with services may be lower (silenceLimitInPartition).
	partitionLeases = 3
)

// silentCount counts machines that have booted, and those among them that have been silent for at
// least UnhealthyAfter.
type silentCount struct{ total, silent int }

// suggestsPartition reports whether so many machines are silent that the network is more likely at
// fault than the machines.
func (c silentCount) suggestsPartition() bool {
	return c.silent > inconclusiveMachines && c.silent*partitionSilentDivisor > c.total
}

// clusterSilence holds the counts of silent machines in the cluster and in each zone.
type clusterSilence struct {
	all           silentCount
	byZone        []silentCount
	lastHeartbeat []time.Time // by zone: time of the newest heartbeat of any machine there; zero: none
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

// recordPartitions records which zones are partitioned now.
func (h *machineHealth) recordPartitions(silence clusterSilence, now time.Time) {
	for zone, count := range silence.byZone {
		if h.noHeartbeats(count, silence.lastHeartbeat[zone], now) || silence.all.suggestsPartition() || count.suggestsPartition() {
			h.lastPartitioned[zone] = now
		}
	}
}

// noHeartbeats reports whether a zone is partitioned, as none of its machines sends heartbeats. Zones
// that have sent this leader no heartbeat yet, and zones of up to inconclusiveMachines, do not count.
//
// Guards against retiring machines of the zone before suggestsPartition holds. The machines whose last
// heartbeats were the oldest when the partition began would be the first to count as lost. Hundreds of
// machines send dozens of heartbeats each second, so a zone without any is known to be partitioned long
// before a third of its machines are silent.
func (h *machineHealth) noHeartbeats(count silentCount, lastHeartbeat, now time.Time) bool {
	if lastHeartbeat.IsZero() || count.total <= inconclusiveMachines {
		return false
	}
	gap := now.Sub(lastHeartbeat)
	missed := float64(count.total) * gap.Seconds() / h.Settings.Workers.HeartbeatInterval.Seconds()
	return gap >= partitionMinSilence && missed >= partitionMissedHeartbeats
}

// silenceLimitInPartition returns the silence after which a machine in a zone that is partitioned now
// counts as lost; zone holds the counts of that zone. The limit is the highest that applies:
//
//   - ReplaceAfter for every machine,
//   - partitionLeases for a machine that runs no service, or whose zone has a controller,
//   - one lease for any other machine. This does not apply to a machine without a heartbeat to this
//     leader in a zone that is silent as a whole. The partition of such a zone began before this leader
//     was elected: otherwise its agents would have found this leader by now, as those of other zones
//     have.
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

// partitionRuledOut reports whether a partition is ruled out as the cause of the silence of a machine
// that has been silent for UnhealthyAfter. The zone must not have been partitioned within the last
// lease, and must have enough machines that noHeartbeats would have detected a partition by now. Up to
// 1.25 heartbeat intervals may lie between the machine's last heartbeat and the start of a partition.
func (h *machineHealth) partitionRuledOut(machine *agent.Machine, silence clusterSilence, now time.Time) bool {
	if machine.Zone == unknownIndex || now.Sub(h.lastPartitioned[machine.Zone]) <= h.Settings.Workers.Lease {
		return false
	}
	interval := h.Settings.Workers.HeartbeatInterval
	detectionSeconds := (h.Operator.UnhealthyAfter - interval*5/4).Seconds()
	machines := float64(silence.byZone[machine.Zone].total)
	return machines*detectionSeconds >= partitionMissedHeartbeats*interval.Seconds()
}
