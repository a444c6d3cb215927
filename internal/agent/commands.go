package agent

import (
	"slices"
	"time"
)

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

// PendingCommands returns the commands that the machine needs under the given token, at
// most limit, and marks starts as sent. Starts already listed are left out. An
// exited task is only forgotten once settled says that its result is durable.
func (m *Machine) PendingCommands(token uint64, limit int, settled func(task string) bool, now time.Time) []Command {
	m.urgent = false
	var need []*Assignment
	for k, h := range m.Assignments {
		_, listed := m.Reported[k]
		switch {
		case h.Stopping && (listed || !h.FirstSent.IsZero()):
			need = append(need, h)
		case !listed && !h.Stopping && h.Dispatchable() && h.Incarnation == m.Incarnation && h.ID().Term() == token:
			// A start recorded under an earlier token is never sent again: the
			// worker's next reports prove it gone.
			need = append(need, h)
		}
	}
	slices.SortFunc(need, compare)
	var out []Command
	for _, h := range need {
		if len(out) == limit {
			m.urgent = true
			return out
		}
		if h.Stopping {
			out = append(out, Command{VerbHalt, h.TaskName(), h.Number, &h.GracePeriodS})
			continue
		}
		out = append(out, Command{Verb: VerbRun, Task: h.TaskName(), Attempt: h.Number})
		if h.FirstSent.IsZero() {
			h.FirstSent = now
		}
	}
	for id, s := range m.Reported {
		if len(out) == limit {
			break
		}
		if m.Assignments[id] != nil {
			continue
		}
		switch {
		case s.Status != StatusExited:
			// On the machine but in no record, so it must not be.
			zero := 0.0
			out = append(out, Command{VerbHalt, id.Task, id.Number, &zero})
		case id.Term() < m.FencingToken && settled(id.Task):
			// Only now can no late copy of its start run it again.
			out = append(out, Command{Verb: VerbForget, Task: id.Task, Attempt: id.Number})
		}
	}
	return out
}

// HaltCommands returns the commands that end what is left of cancelled jobs, at most limit.
// They are right whoever leads by now: a job that is cancelled stays so.
func (m *Machine) HaltCommands(limit int) (out []Command) {
	for _, h := range m.SortedAssignments() {
		if h.Job.Cancelled && h.Stopping && len(out) < limit {
			out = append(out, Command{VerbHalt, h.TaskName(), h.Number, &h.GracePeriodS})
		}
	}
	if out != nil {
		m.urgent = false
	}
	return out
}

// Stop asks for an assigned attempt to be halted.
func (m *Machine) Stop(h *Assignment, windDown float64) {
	if h.Stopping && h.GracePeriodS <= windDown {
		return
	}
	h.Stopping, h.GracePeriodS = true, windDown
	m.Version++
	m.urgent = true
}

// MarkUrgent marks the machine as having commands to push.
func (m *Machine) MarkUrgent() { m.urgent = true }

// Urgent tells whether commands wait that should not wait for a report.
func (m *Machine) Urgent() bool {
	return m.urgent && m.Registered && !m.RequestInFlight && !m.Gone && m.RelayedBy == ""
}
