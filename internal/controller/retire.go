package controller

import (
	"log/slog"
	"time"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/fleet"
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

// stuckCancelled is why a machine is given up that can't be told of a cancellation. It
// is returned even while it is not sure that this node still leads, as its time runs
// out: the worst is work lost on it that another leader has sent there.
const stuckCancelled = "holds a cancelled task that cannot be stopped"

func giveUp(m *fleet.Machine, why string) {
	m.RetireReason = why
	slog.Info("machine given up", "machine", m.Name, "why", why, "tasks", len(m.Assignments))
}

// retire decides which machines are given up for what time has shown.
func (l *leader) retire(now time.Time) {
	l.fleet.Each(func(m *fleet.Machine) {
		if m.RetireReason != stuckCancelled && l.overdueCancel(m, now) {
			giveUp(m, stuckCancelled)
		}
	})
	if !l.term.Valid() || !l.surveyed(now) {
		return
	}
	op := &l.node.operator
	report, lease := l.node.settings.Workers.Report, l.node.settings.Workers.Lease
	known, silent := 0, 0
	quiet := func(m *fleet.Machine) time.Duration {
		since := l.started
		if m.Known {
			since = m.Heard
		}
		return now.Sub(since)
	}
	zoneKnown, zoneSilent := make([]int, len(l.zones)), make([]int, len(l.zones))
	zoneHeard := make([]time.Time, len(l.zones)) // when any machine there was last heard
	l.fleet.Each(func(m *fleet.Machine) {
		if m.Known || len(m.Assignments) > 0 {
			known++
			isSilent := quiet(m) >= op.Silent
			if isSilent {
				silent++
			}
			if m.Zone >= 0 {
				zoneKnown[m.Zone]++
				if m.Heard.After(zoneHeard[m.Zone]) {
					zoneHeard[m.Zone] = m.Heard
				}
				if isSilent {
					zoneSilent[m.Zone]++
				}
			}
		}
	})
	cut := func(silent, known int) bool { return silent > 2 && silent*maxDeadShare > known }
	for z := range l.zones {
		// Of hundreds of machines dozens report each second. Where none does, the zone is
		// cut off, long before a third of its machines count as silent; those that reported
		// last before the cut would be given up until then.
		gap := now.Sub(zoneHeard[z])
		missed := float64(zoneKnown[z]) * gap.Seconds() / report.Seconds()
		none := !zoneHeard[z].IsZero() && zoneKnown[z] > 2 && gap >= time.Second && missed >= cutMissed
		if none || cut(silent, known) || cut(zoneSilent[z], zoneKnown[z]) {
			l.cutUntil[z] = now
		}
	}
	// Where a zone is cut off its machines are not dead. A controller there may keep
	// their leases; without one their tasks end with those, and then nothing is gained
	// by returning them either, unless services wait to start elsewhere: others in
	// their place would be cut off too (rough of omaruru-fares-grown: 129 machines
	// given up with 516 tasks in a cut of 55 s, in which no zone had room for others).
	// Once the cut is over they have the usual time anew to come back, and after an
	// election a lease's time, as they may have to try every node (inc-2c92: 77 given
	// up as soon as two thirds were back). Those that serve in a zone of which a new
	// leader has heard nobody were silent before it: the zone was cut off, as others
	// have found their way by then (zone of omaruru-fares-fleet: replicas of a quarter
	// of the fleet were gone for 15 s more than need be).
	lost := func(m *fleet.Machine) bool {
		since := quiet(m)
		if m.Zone >= 0 && !l.cutUntil[m.Zone].IsZero() {
			if l.cutUntil[m.Zone].Equal(now) {
				if m.Serves() && !l.node.settings.Controls(l.zones[m.Zone]) {
					if !m.Known && zoneSilent[m.Zone] == zoneKnown[m.Zone] {
						return since >= op.Abandon
					}
					return since >= max(op.Abandon, lease)
				}
				return since >= max(op.Abandon, cutPatience*lease)
			}
			since = min(since, now.Sub(l.cutUntil[m.Zone]))
		}
		if !m.Known {
			return since >= max(op.Abandon, lease)
		}
		// Only where a cut would have shown by now may it be the machine alone.
		alone := m.Zone >= 0 && now.Sub(l.cutUntil[m.Zone]) > lease &&
			float64(zoneKnown[m.Zone])*(op.Silent-report*5/4).Seconds() >= cutMissed*report.Seconds()
		return since >= op.Abandon || alone && m.Unreached && since >= op.Silent
	}
	l.fleet.Each(func(m *fleet.Machine) {
		why := ""
		switch {
		case m.RetireReason != "":
		case m.Failed:
			why = "failed"
		case m.Sick:
			why = "faulty"
		case !m.Known && len(m.Assignments) == 0 && now.Sub(m.Created) > l.bootLimit(m):
			why = "never came up"
		case (m.Known || len(m.Assignments) > 0) && lost(m):
			why = "silent"
		case !m.Recall.IsZero() && now.After(m.Recall) && quiet(m) >= op.Silent:
			why = "taken back"
		case m.Known && len(m.Assignments) == 0 && (m.Type < 0 || m.Zone < 0):
			why = "of no known type or zone"
		case !m.DeafSince.IsZero() && now.Sub(m.DeafSince) >= deafPatience:
			why = "gets no commands"
		}
		if why != "" {
			giveUp(m, why)
		}
	})
}

func (l *leader) bootLimit(m *fleet.Machine) time.Duration {
	if m.Type < 0 {
		return time.Minute
	}
	return time.Duration(bootPatience * l.types[m.Type].BootS * float64(time.Second))
}

// overdueBoot tells whether a machine has taken longer to boot than any that is
// in order. It may never come up, so what it was rented for is rented again.
func (l *leader) overdueBoot(m *fleet.Machine, now time.Time) bool {
	return m.Type >= 0 && now.Sub(m.Created).Seconds() > bootOverdue*l.types[m.Type].BootS
}

// overdueCancel tells whether a machine has held a cancelled task for too long. A new
// leader first gathers reports, as most that it does not know yet are there and only have
// to be told, but not until it is too late to return the others (rough of
// kapana-orders-grown: 4 and 7 sound machines given up at elections).
func (l *leader) overdueCancel(m *fleet.Machine, now time.Time) bool {
	leeway := cancelLeeway
	if now.Sub(l.started) < l.node.operator.Gather {
		leeway = cancelLast
	}
	limit := time.Duration(leeway * float64(l.node.settings.Workers.Cancel))
	for _, h := range m.Assignments {
		if h.Job.Cancelled && now.Sub(h.Job.CancelledAt) > limit {
			return true
		}
	}
	return false
}

// givenUp returns the names of machines to return, as many as one request takes.
func (l *leader) givenUp(which func(*fleet.Machine) bool) (names []string) {
	l.fleet.Each(func(m *fleet.Machine) {
		if which(m) && len(names) < cloud.MaxReturn {
			names = append(names, m.Name)
		}
	})
	return names
}
