package agent

import (
	"slices"
	"time"
)

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

// MarkUrgent marks the machine as having commands to push.
func (m *Machine) MarkUrgent() { m.urgent = true }

// Urgent tells whether commands wait that should not wait for a report.
func (m *Machine) Urgent() bool {
	return m.urgent && m.Registered && !m.RequestInFlight && !m.Gone && m.RelayedBy == ""
}
