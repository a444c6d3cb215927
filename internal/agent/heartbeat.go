package agent

import (
	"slices"
	"time"
)

// TaskState is what the newest report says of one attempt.
type TaskState struct {
	Status TaskStatus
	Cause  ExitCause
}

// Outcome is the proof that an assignment has ended.
type Outcome struct {
	Assignment *Assignment
	Cause      ExitCause
}

// ApplyHeartbeat takes a report and returns what it proves. It returns false for a
// report that is older than one already taken.
//
// An attempt is proven gone by a newer session, by its exit, or by its absence
// from a report of a worker that has seen a higher token than the attempt's:
// such a worker executes no late copy of the start. Absence under the same
// token proves nothing, since the start may still be on its way.
func (m *Machine) ApplyHeartbeat(r *Heartbeat, lease time.Duration, now time.Time) (out []Outcome, fresh bool) {
	if r.Incarnation < m.Incarnation || r.Incarnation == m.Incarnation && r.Sequence <= m.Sequence {
		return nil, false
	}
	known, session, token := m.Registered, m.Incarnation, m.FencingToken
	m.Incarnation, m.Sequence, m.FencingToken = r.Incarnation, r.Sequence, r.FencingToken
	m.Addr, m.Spot, m.Registered, m.Booting, m.LastHeartbeat, m.ProbeFailed = r.Addr, r.Spot, true, false, now, false
	m.TerminationAt = time.Time{}
	if r.TerminationNoticeS != nil {
		m.TerminationAt = now.Add(time.Duration(*r.TerminationNoticeS * float64(time.Second)))
	}
	clear(m.Reported)
	for _, t := range r.Tasks {
		m.Reported[t.ID()] = TaskState{t.Status, t.Cause}
	}
	for k, h := range m.Assignments {
		s, listed := m.Reported[k]
		switch {
		case h.Incarnation < r.Incarnation:
			out = append(out, Outcome{h, CauseLost})
		case listed && s.Status == StatusExited:
			out = append(out, Outcome{h, s.Cause})
		case listed:
			h.MissedHeartbeats = 0
			if s.Status != StatusPulling && s.Status != StatusWaiting && h.RunningSince.IsZero() {
				h.RunningSince = now
			}
			continue
		case h.ID().Term() < r.FencingToken:
			out = append(out, Outcome{h, CauseLost})
		default:
			h.MissedHeartbeats++
			continue
		}
		delete(m.Assignments, k)
		m.Version++
	}
	foreign := false
	for k, s := range m.Reported {
		foreign = foreign || s.Status != StatusExited && m.Assignments[k] == nil
	}
	if foreign != m.hasUnknownTask {
		m.hasUnknownTask = foreign
		m.Version++
	}
	m.detectUnresponsive(r, known, session, token, lease, now)
	slices.SortFunc(out, func(a, b Outcome) int { return compare(a.Assignment, b.Assignment) })
	return out, true
}

// ExitedTasks returns how many exited attempts the worker still reports.
func (m *Machine) ExitedTasks() int {
	n := 0
	for _, s := range m.Reported {
		if s.Status == StatusExited {
			n++
		}
	}
	return n
}

// LatestHeartbeat returns the newest report, but for its type, zone and notice.
func (m *Machine) LatestHeartbeat() Heartbeat {
	r := Heartbeat{Machine: m.Name, Addr: m.Addr, Spot: m.Spot, Incarnation: m.Incarnation, Sequence: m.Sequence, FencingToken: m.FencingToken}
	for id, s := range m.Reported {
		r.Tasks = append(r.Tasks, ReportedTask{id.Task, id.Number, s.Status, s.Cause})
	}
	return r
}

// EachExited calls fn for each exited task that the worker still reports.
func (m *Machine) EachExited(fn func(task string)) {
	for id, s := range m.Reported {
		if s.Status == StatusExited {
			fn(id.Task)
		}
	}
}
