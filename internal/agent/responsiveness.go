package agent

import "time"

// answers is what shows whether a machine gets what it is told.
type answers struct {
	since    time.Time // when reports began to be answered without a long gap
	last     time.Time // last answer to a report
	term     uint64    // the token that it carried
	unheeded int       // reports in a row since that show a lower token
}

// A machine is taken for deaf when so many reports in a row show no sign of what
// the answers to the ones before said, and starts were sent for so long.
const (
	deafReports = 3
	deafAfter   = 8 * time.Second
)

// HeartbeatAnswered notes that a report is answered under the given token.
func (m *Machine) HeartbeatAnswered(term uint64, lease time.Duration, now time.Time) {
	if now.Sub(m.answers.last) >= lease/2 {
		m.answers.since = now
	}
	m.answers.last, m.answers.term = now, term
}

// MarkResponsive notes that the machine has answered or heeded something. A session that has
// ended may also be that of a machine which was back at once.
func (m *Machine) MarkResponsive() { m.UnresponsiveSince, m.answers.unheeded = time.Time{}, 0 }

// detectUnresponsive judges from a new report whether answers and commands reach the machine.
// It guards against one whose reports arrive while nothing gets back to it: it
// looks healthy, takes up no start, and loses what it has with each lease. Signs
// are a token that does not rise, starts that do not appear, and a session that
// ended although its reports had been answered.
func (m *Machine) detectUnresponsive(r *Heartbeat, known bool, session, token uint64, lease time.Duration, now time.Time) {
	if r.FencingToken > token {
		m.MarkResponsive()
		return
	}
	deaf := false
	if r.FencingToken < m.answers.term {
		m.answers.unheeded++
		deaf = m.answers.unheeded >= deafReports
	}
	// Answers that have only just begun again prove nothing: a cut hands out the reports
	// that it held back, and behind them those of the next session (apart of both fleet
	// deployments: 350 and 360 sound machines given up at once).
	if known && r.Incarnation > session && now.Sub(m.answers.last) < lease/2 && now.Sub(m.answers.since) >= lease {
		deaf = true
	}
	for k, h := range m.Assignments {
		if _, listed := m.Reported[k]; !listed && m.RelayedBy == "" && h.MissedHeartbeats >= deafReports && !h.FirstSent.IsZero() && now.Sub(h.FirstSent) >= deafAfter {
			deaf = true
		}
	}
	if deaf && m.UnresponsiveSince.IsZero() {
		m.UnresponsiveSince = now
	}
}
