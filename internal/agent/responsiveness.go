package agent

// Responsiveness: whether responses and commands of the leader reach a machine.
//
// A machine whose heartbeats arrive but which receives nothing looks healthy. It executes no start and
// loses its tasks each time its lease expires. Any of three signs reveals it:
//
//   - its heartbeats carry a token below that of the responses,
//   - its heartbeats do not list attempts whose start was sent,
//   - its incarnation ended although its heartbeats had been answered throughout.

import "time"

// unresponsiveHeartbeats is the minimum number of consecutive heartbeats that mark a machine as
// unresponsive because their token is too low or they do not list an attempt whose start was sent.
const unresponsiveHeartbeats = 3

// missingStartDelay is the minimum time since a start was first sent before a heartbeat that does not
// list the attempt is a sign of an unresponsive machine. Until then the start may be in transit.
const missingStartDelay = 8 * time.Second

// responseHistory records the responses to a machine's heartbeats and how many heartbeats ignored them.
type responseHistory struct {
	steadySince   time.Time // start of the current series of responses without a long gap
	last          time.Time // time of the last response
	token         uint64    // fencing token of the last response
	ignoredTokens int       // consecutive heartbeats with a lower token
}

// HeartbeatAnswered records that a heartbeat is answered under the given token. A gap of half the lease
// or more since the previous response starts a new series of responses.
func (m *Machine) HeartbeatAnswered(token uint64, lease time.Duration, now time.Time) {
	if now.Sub(m.responses.last) >= lease/2 {
		m.responses.steadySince = now
	}
	m.responses.last = now
	m.responses.token = token
}

// MarkResponsive records that a response or request has reached the machine, for example a probe that it
// has answered. It clears UnresponsiveSince, also if the end of an incarnation has set it: the agent was
// merely restarted then.
func (m *Machine) MarkResponsive() {
	m.UnresponsiveSince = time.Time{}
	m.responses.ignoredTokens = 0
}

// detectUnresponsive updates UnresponsiveSince from a heartbeat that has just been applied. A higher
// token than before shows that responses and commands reach the machine. Otherwise any of the three
// signs above marks the machine as unresponsive.
func (m *Machine) detectUnresponsive(heartbeat *Heartbeat, previous heartbeatState, lease time.Duration, now time.Time) {
	if heartbeat.FencingToken > previous.fencingToken {
		m.MarkResponsive()
		return
	}
	// Called for every heartbeat, outside of the || below, because the call counts.
	ignoresTokens := m.countIgnoredToken(heartbeat)
	unresponsive := ignoresTokens ||
		m.restartedDespiteResponses(heartbeat, previous, lease, now) ||
		m.hasMissingStart(now)
	if unresponsive && m.UnresponsiveSince.IsZero() {
		m.UnresponsiveSince = now
	}
}

// countIgnoredToken counts a heartbeat whose token is lower than that of the last response. It reports
// whether this is at least the unresponsiveHeartbeats-th consecutive one.
func (m *Machine) countIgnoredToken(heartbeat *Heartbeat) bool {
	if heartbeat.FencingToken >= m.responses.token {
		return false
	}
	m.responses.ignoredTokens++
	return m.responses.ignoredTokens >= unresponsiveHeartbeats
}

// restartedDespiteResponses reports whether an incarnation ended although its heartbeats had been
// answered for at least one lease, the last of them less than half a lease ago. The responses did not
// arrive then, unless the agent was merely restarted (MarkResponsive).
//
// Responses that have only just resumed prove nothing. Guards against hundreds of healthy machines being
// returned at once: the end of a network partition delivers the heartbeats that it delayed and, right
// after them, those of the next incarnation.
func (m *Machine) restartedDespiteResponses(heartbeat *Heartbeat, previous heartbeatState, lease time.Duration, now time.Time) bool {
	restarted := previous.registered && heartbeat.Incarnation > previous.incarnation
	recentlyAnswered := now.Sub(m.responses.last) < lease/2
	steadilyAnswered := now.Sub(m.responses.steadySince) >= lease
	return restarted && recentlyAnswered && steadilyAnswered
}

// hasMissingStart reports whether the newest heartbeat does not list an assigned attempt whose start is
// overdue. It returns false for a machine that another controller relays.
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

// startOverdue reports whether the start was first sent at least missingStartDelay ago and at least
// unresponsiveHeartbeats consecutive heartbeats have not listed the attempt.
func (a *Assignment) startOverdue(now time.Time) bool {
	if a.MissedHeartbeats < unresponsiveHeartbeats || a.FirstSent.IsZero() {
		return false
	}
	return now.Sub(a.FirstSent) >= missingStartDelay
}
