package agent

// Responsiveness: whether what the leader sends to a machine arrives there.
//
// A machine whose heartbeats arrive while nothing gets back to it looks healthy, takes up no start,
// and loses its tasks with each expired lease. Three signs give it away: the token that its
// heartbeats carry does not rise, starts sent to it do not appear, or its incarnation ended although
// its heartbeats had been answered all the time.

import "time"

// A machine is unresponsive once so many heartbeats in a row show no effect of what was sent.
const unresponsiveHeartbeats = 3

// missingStartDelay is for how long a start has to have been sent before its absence from
// heartbeats is a sign: it may be on its way.
const missingStartDelay = 8 * time.Second

// responseHistory is what was responded to a machine's heartbeats, and what they show of it.
type responseHistory struct {
	steadySince   time.Time // since when responses follow each other without a long gap
	last          time.Time // when the last response was sent
	token         uint64    // fencing token that it carried
	ignoredTokens int       // heartbeats in a row that carry a lower token than that
}

// HeartbeatAnswered records that a heartbeat is answered under the given token. After a gap of half
// the lease the time of steady responses starts again.
func (m *Machine) HeartbeatAnswered(token uint64, lease time.Duration, now time.Time) {
	if now.Sub(m.responses.last) >= lease/2 {
		m.responses.steadySince = now
	}
	m.responses.last = now
	m.responses.token = token
}

// MarkResponsive records that something sent to the machine has arrived. It is also for a machine
// whose incarnation ended although its heartbeats were answered, but which answers a probe: it was
// restarted and back at once.
func (m *Machine) MarkResponsive() {
	m.UnresponsiveSince = time.Time{}
	m.responses.ignoredTokens = 0
}

// detectUnresponsive judges from a heartbeat that has just been applied whether responses and
// commands reach the machine. A token that rises shows that they do; otherwise any of the three
// signs marks the machine.
func (m *Machine) detectUnresponsive(heartbeat *Heartbeat, previous heartbeatState, lease time.Duration, now time.Time) {
	if heartbeat.FencingToken > previous.fencingToken {
		m.MarkResponsive()
		return
	}
	// Evaluated first whatever the others say, as it counts.
	ignoresTokens := m.countIgnoredToken(heartbeat)
	unresponsive := ignoresTokens ||
		m.restartedDespiteResponses(heartbeat, previous, lease, now) ||
		m.hasMissingStart(now)
	if unresponsive && m.UnresponsiveSince.IsZero() {
		m.UnresponsiveSince = now
	}
}

// countIgnoredToken counts a heartbeat that carries a lower token than the last response did, and
// reports whether it is one of too many in a row.
func (m *Machine) countIgnoredToken(heartbeat *Heartbeat) bool {
	if heartbeat.FencingToken >= m.responses.token {
		return false
	}
	m.responses.ignoredTokens++
	return m.responses.ignoredTokens >= unresponsiveHeartbeats
}

// restartedDespiteResponses reports whether an incarnation ended although its heartbeats had been
// answered for a whole lease: the responses cannot have arrived.
//
// Responses that have only just begun again prove nothing. The end of a network partition delivers
// the heartbeats that it held back and, behind them, those of the next incarnation; without the
// guard hundreds of sound machines are given up at once.
func (m *Machine) restartedDespiteResponses(heartbeat *Heartbeat, previous heartbeatState, lease time.Duration, now time.Time) bool {
	restarted := previous.registered && heartbeat.Incarnation > previous.incarnation
	recentlyAnswered := now.Sub(m.responses.last) < lease/2
	steadilyAnswered := now.Sub(m.responses.steadySince) >= lease
	return restarted && recentlyAnswered && steadilyAnswered
}

// hasMissingStart reports whether a start was sent directly, long enough ago, that heartbeats still
// do not list.
func (m *Machine) hasMissingStart(now time.Time) bool {
	if m.RelayedBy != "" {
		return false
	}
	for id, assignment := range m.Assignments {
		if assignment.startOverdue(now) {
			if _, listed := m.Reported[id]; !listed {
				return true
			}
		}
	}
	return false
}

// startOverdue reports whether the start was sent long enough ago, and heartbeats enough have come
// without the attempt, for it to be a sign that the start did not arrive.
func (a *Assignment) startOverdue(now time.Time) bool {
	if a.MissedHeartbeats < unresponsiveHeartbeats || a.FirstSent.IsZero() {
		return false
	}
	return now.Sub(a.FirstSent) >= missingStartDelay
}
