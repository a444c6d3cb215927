package controller

import (
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/cloud"
)

// When machines are given up.
const (
	bootPatience = 4                            // times the usual boot time, after which a machine is given up
	bootOverdue  = 1.6                          // times the usual boot time, after which it is not counted on
	maxDeadShare = 3                            // one in so many silent machines at once: rather our own network
	cutMissed    = 10                           // reports missed in a row of a zone: it is cut off
	cutPatience  = 3                            // leases for which the machines of a zone that is cut off are kept
	deafPatience = proxyUnheard + 3*time.Second // in a cut late copies of reports look like that until others pass them on
	cancelLeeway = 0.55                         // share of the cancellation time after which a machine is given up
	cancelLast   = 0.8                          // the same while a new leader gathers reports
)

func giveUp(m *agent.Machine, why agent.RetireReason) {
	m.RetireReason = why
	slog.Info("machine given up", "machine", m.Name, "why", why, "tasks", len(m.Assignments))
}

// retire decides which machines are given up for what time has shown.
func (l *leader) retire(now time.Time) {
	l.fleet.Each(func(m *agent.Machine) {
		if m.RetireReason != agent.RetireStuckCancelled && l.overdueCancel(m, now) {
			giveUp(m, agent.RetireStuckCancelled)
		}
	})
	if !l.term.Valid() || !l.surveyed(now) {
		return
	}
	zones := l.silence(now)
	l.noteCuts(zones, now)
	l.fleet.Each(func(m *agent.Machine) {
		if why := l.retireReason(m, zones, now); m.RetireReason == agent.NotRetired && why != agent.NotRetired {
			giveUp(m, why)
		}
	})
}

// retireReason returns why a machine is to be given up, or agent.NotRetired.
func (l *leader) retireReason(m *agent.Machine, zones zoneSilence, now time.Time) agent.RetireReason {
	inUse := m.Registered || len(m.Assignments) > 0
	switch {
	case m.Failed:
		return agent.RetireFailed
	case m.Quarantined:
		return agent.RetireQuarantined
	case !inUse && now.Sub(m.Created) > l.bootLimit(m):
		return agent.RetireNeverBooted
	case inUse && l.lost(m, zones, now):
		return agent.RetireSilent
	case !m.TerminationAt.IsZero() && now.After(m.TerminationAt) && l.quiet(m, now) >= l.node.operator.UnhealthyAfter:
		return agent.RetireReclaimed
	case m.Registered && len(m.Assignments) == 0 && (m.Type < 0 || m.Zone < 0):
		return agent.RetireUnknownType
	case !m.UnresponsiveSince.IsZero() && now.Sub(m.UnresponsiveSince) >= deafPatience:
		return agent.RetireUnresponsive
	}
	return agent.NotRetired
}

// quiet returns for how long a machine has not been heard by this leader.
func (l *leader) quiet(m *agent.Machine, now time.Time) time.Duration {
	if m.Registered {
		return now.Sub(m.LastHeartbeat)
	}
	return now.Sub(l.started)
}

// silentCount is how many machines there are, and how many of them are silent.
type silentCount struct{ all, silent int }

// cut tells whether so many are silent that the network is more likely to be at fault.
func (c silentCount) cut() bool { return c.silent > 2 && c.silent*maxDeadShare > c.all }

// zoneSilence is which machines are silent.
type zoneSilence struct {
	all    silentCount
	byZone []silentCount
	heard  []time.Time // by zone: when any machine there was last heard
}

// silence counts the machines that are silent.
func (l *leader) silence(now time.Time) zoneSilence {
	z := zoneSilence{byZone: make([]silentCount, len(l.zones)), heard: make([]time.Time, len(l.zones))}
	l.fleet.Each(func(m *agent.Machine) {
		if !m.Registered && len(m.Assignments) == 0 {
			return
		}
		silent := 0
		if l.quiet(m, now) >= l.node.operator.UnhealthyAfter {
			silent = 1
		}
		z.all.all++
		z.all.silent += silent
		if m.Zone < 0 {
			return
		}
		z.byZone[m.Zone].all++
		z.byZone[m.Zone].silent += silent
		if m.LastHeartbeat.After(z.heard[m.Zone]) {
			z.heard[m.Zone] = m.LastHeartbeat
		}
	})
	return z
}

// noteCuts notes which zones are cut off now. Of hundreds of machines dozens report each
// second: where none does, the zone is cut off, long before a third of its machines count as
// silent; those that reported last before the cut would be given up until then.
func (l *leader) noteCuts(zones zoneSilence, now time.Time) {
	for z, count := range zones.byZone {
		gap := now.Sub(zones.heard[z])
		missed := float64(count.all) * gap.Seconds() / l.node.settings.Workers.HeartbeatInterval.Seconds()
		none := !zones.heard[z].IsZero() && count.all > 2 && gap >= time.Second && missed >= cutMissed
		if none || zones.all.cut() || count.cut() {
			l.cutUntil[z] = now
		}
	}
}

// lost tells whether a machine that was there is taken for lost.
//
// Where a zone is cut off its machines are not dead. A controller there may keep
// their leases; without one their tasks end with those, and then nothing is gained
// by returning them either, unless services wait to start elsewhere: others in
// their place would be cut off too (rough of omaruru-fares-grown: 129 machines
// given up with 516 tasks in a cut of 55 s, in which no zone had room for others).
// Once the cut is over they have the usual time anew to come back, and after an
// election a lease's time, as they may have to try every node (inc-2c92: 77 given
// up as soon as two thirds were back).
func (l *leader) lost(m *agent.Machine, zones zoneSilence, now time.Time) bool {
	abandon, lease := l.node.operator.ReplaceAfter, l.node.settings.Workers.Lease
	silent := l.quiet(m, now)
	if m.Zone >= 0 && !l.cutUntil[m.Zone].IsZero() {
		if l.cutUntil[m.Zone].Equal(now) {
			return silent >= l.cutPatience(m, zones.byZone[m.Zone])
		}
		silent = min(silent, now.Sub(l.cutUntil[m.Zone]))
	}
	if !m.Registered {
		return silent >= max(abandon, lease)
	}
	return silent >= abandon || m.ProbeFailed && silent >= l.node.operator.UnhealthyAfter && l.alone(m, zones, now)
}

// cutPatience is for how long a machine in a zone that is cut off is kept. Those that serve in
// a zone of which a new leader has heard nobody were silent before it: the zone was cut off,
// as others have found their way by then (zone of omaruru-fares-fleet: replicas of a quarter
// of the fleet were gone for 15 s more than need be).
func (l *leader) cutPatience(m *agent.Machine, zone silentCount) time.Duration {
	abandon, lease := l.node.operator.ReplaceAfter, l.node.settings.Workers.Lease
	switch {
	case !m.RunsService() || l.node.settings.HasController(l.zones[m.Zone]):
		return max(abandon, cutPatience*lease)
	case !m.Registered && zone.silent == zone.all:
		return abandon
	}
	return max(abandon, lease)
}

// alone tells whether it is the machine alone that is silent: only where a cut would have
// shown by now.
func (l *leader) alone(m *agent.Machine, zones zoneSilence, now time.Time) bool {
	report := l.node.settings.Workers.HeartbeatInterval
	return m.Zone >= 0 && now.Sub(l.cutUntil[m.Zone]) > l.node.settings.Workers.Lease &&
		float64(zones.byZone[m.Zone].all)*(l.node.operator.UnhealthyAfter-report*5/4).Seconds() >= cutMissed*report.Seconds()
}

func (l *leader) bootLimit(m *agent.Machine) time.Duration {
	if m.Type < 0 {
		return time.Minute
	}
	return time.Duration(bootPatience * l.types[m.Type].BootS * float64(time.Second))
}

// overdueBoot tells whether a machine has taken longer to boot than any that is
// in order. It may never come up, so what it was rented for is rented again.
func (l *leader) overdueBoot(m *agent.Machine, now time.Time) bool {
	return m.Type >= 0 && now.Sub(m.Created).Seconds() > bootOverdue*l.types[m.Type].BootS
}

// overdueCancel tells whether a machine has held a cancelled task for too long. A new
// leader first gathers reports, as most that it does not know yet are there and only have
// to be told, but not until it is too late to return the others (rough of
// kapana-orders-grown: 4 and 7 sound machines given up at elections).
func (l *leader) overdueCancel(m *agent.Machine, now time.Time) bool {
	leeway := cancelLeeway
	if now.Sub(l.started) < l.node.operator.ReconcileTimeout {
		leeway = cancelLast
	}
	limit := time.Duration(leeway * float64(l.node.settings.Workers.CancelDeadline))
	for _, h := range m.Assignments {
		if h.Job.Cancelled && now.Sub(h.Job.CancelledAt) > limit {
			return true
		}
	}
	return false
}

// givenUp returns the names of machines to return, as many as one request takes.
func (l *leader) givenUp(which func(*agent.Machine) bool) (names []string) {
	l.fleet.Each(func(m *agent.Machine) {
		if which(m) && len(names) < cloud.MaxReturn {
			names = append(names, m.Name)
		}
	})
	return names
}
