package agent

import (
	"cmp"
	"slices"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// TaskState is what the newest report says of one attempt.
type TaskState struct {
	Status TaskStatus
	Cause  ExitCause
}

// Assignment is an attempt on a machine, from its start being decided until there is
// proof that it is gone.
type Assignment struct {
	*jobstore.Attempt
	AssignedAt       time.Time // decided, or found by a new leader
	RunningSince     time.Time // first reported running; zero: not yet
	FirstSent        time.Time // first sent; zero: never by this leader
	Stopping         bool      // a halt is wanted
	GracePeriodS     float64
	MissedHeartbeats int // newer reports in a row that do not list it
}

// Machine is one rented machine.
type Machine struct {
	Index           int // dense; that of a machine that is gone is given anew
	Name            string
	Addr            string
	Type            int
	Zone            int
	Spot            bool
	Registered      bool // has reported to this leader
	Incarnation     uint64
	Sequence        uint64
	FencingToken    uint64
	LastHeartbeat   time.Time // last report under this leader
	Created         time.Time // when this leader first knew of it
	TerminationAt   time.Time // when the cloud takes it away; zero: no notice
	Reported        map[job.AttemptID]TaskState
	Assignments     map[job.AttemptID]*Assignment
	FailedAttempts  int                 // failed attempts since the last that was done
	FailedJobs      map[string]struct{} // jobs whose tasks failed since then
	Quarantined     bool
	RequestInFlight bool
	LastProbe       time.Time    // when the leader last asked directly it, unheard
	ProbeFailed     bool         // it did not answer
	RelayedBy       string       // node through which it is heard, if not directly
	Failed          bool         // the cloud lists it as failed
	Booting         bool         // the cloud lists it as starting and it has not reported
	RetireReason    RetireReason // why it is being returned, empty: it is not
	Gone            bool

	Images            Images
	IdleSince         time.Time
	Version           uint64    // raised by every change of what is on the machine
	Listed            bool      // the cloud has named it to this leader, as rented or running
	UnresponsiveSince time.Time // since when it seems that nothing reaches it; zero: it does
	urgent            bool      // commands wait to be pushed
	hasUnknownTask    bool
	answers           answers
}

// Outcome is the proof that an assignment has ended.
type Outcome struct {
	Assignment *Assignment
	Cause      ExitCause
}

// Assign books an attempt on its machine.
func (m *Machine) Assign(a *jobstore.Attempt, now time.Time) *Assignment {
	h := &Assignment{Attempt: a, AssignedAt: now}
	m.Assignments[a.ID()] = h
	m.Version++
	return h
}

// Release forgets an attempt that was never sent.
func (m *Machine) Release(a *jobstore.Attempt) {
	k := a.ID()
	delete(m.Assignments, k)
	if s, listed := m.Reported[k]; listed && s.Status != StatusExited {
		m.hasUnknownTask = true
	}
	m.Version++
}

// Renumber books an attempt that was never sent under its new number.
func (m *Machine) Renumber(a *jobstore.Attempt, was uint64) {
	old := job.AttemptID{Task: a.TaskName(), Number: was}
	if h := m.Assignments[old]; h != nil {
		delete(m.Assignments, old)
		m.Assignments[a.ID()] = h
		m.Version++
	}
}

// AssignmentOf returns the assignment of an attempt, or nil.
func (m *Machine) AssignmentOf(a *jobstore.Attempt) *Assignment {
	return m.Assignments[a.ID()]
}

// HasUnknownTask tells whether the newest report listed a live attempt that was booked
// nowhere: it takes room all the same.
func (m *Machine) HasUnknownTask() bool { return m.hasUnknownTask }

// RunsService tells whether a service's task is booked on the machine.
func (m *Machine) RunsService() bool {
	for _, h := range m.Assignments {
		if h.Job.Spec.Shape == job.Service {
			return true
		}
	}
	return false
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

// SortedAssignments returns the assignments in a fixed order, so that runs repeat.
func (m *Machine) SortedAssignments() []*Assignment {
	out := make([]*Assignment, 0, len(m.Assignments))
	for _, h := range m.Assignments {
		out = append(out, h)
	}
	slices.SortFunc(out, compare)
	return out
}

func compare(a, b *Assignment) int {
	// The tasks of a gang share a try.
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Task, b.Task))
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
