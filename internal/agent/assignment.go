package agent

import (
	"cmp"
	"slices"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

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

// RunsService tells whether a service's task is booked on the machine.
func (m *Machine) RunsService() bool {
	for _, h := range m.Assignments {
		if h.Job.Spec.Shape == job.Service {
			return true
		}
	}
	return false
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

// Stop asks for an assigned attempt to be halted.
func (m *Machine) Stop(h *Assignment, windDown float64) {
	if h.Stopping && h.GracePeriodS <= windDown {
		return
	}
	h.Stopping, h.GracePeriodS = true, windDown
	m.Version++
	m.urgent = true
}
