package agent

// Assignments: the attempts that the leader has placed on a machine.

import (
	"cmp"
	"slices"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// Assignment is an attempt on a machine. It exists from the decision to start the attempt until the
// attempt is proven gone or released.
type Assignment struct {
	*jobstore.Attempt
	AssignedAt       time.Time // when the attempt was placed, or a new leader read its record
	RunningSince     time.Time // when it was first reported past pulling and waiting; zero: not yet
	FirstSent        time.Time // when the start was first sent (MarkStartSent); zero: never
	Stopping         bool      // a halt was requested
	GracePeriodS     float64   // grace period of the halt in seconds, the shortest requested
	MissedHeartbeats int       // consecutive heartbeats that neither list it nor prove it gone
}

// compareAssignments orders assignments by attempt number, which the tasks of a gang share, then by
// task.
func compareAssignments(a, b *Assignment) int {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Task, b.Task))
}

// SortedAssignments returns the assignments in the order of compareAssignments. The fixed order keeps
// runs reproducible.
func (m *Machine) SortedAssignments() []*Assignment {
	sorted := make([]*Assignment, 0, len(m.Assignments))
	for _, assignment := range m.Assignments {
		sorted = append(sorted, assignment)
	}
	slices.SortFunc(sorted, compareAssignments)
	return sorted
}

// AssignmentOf returns the assignment of an attempt, or nil if the attempt is not assigned here.
func (m *Machine) AssignmentOf(attempt *jobstore.Attempt) *Assignment {
	return m.Assignments[attempt.ID()]
}

// RunsService reports whether a task of a service is assigned to the machine.
func (m *Machine) RunsService() bool {
	for _, assignment := range m.Assignments {
		if assignment.Job.Spec.Shape == job.Service {
			return true
		}
	}
	return false
}

// Assign adds an assignment for an attempt to the machine.
func (m *Machine) Assign(attempt *jobstore.Attempt, now time.Time) *Assignment {
	assignment := &Assignment{Attempt: attempt, AssignedAt: now}
	m.Assignments[attempt.ID()] = assignment
	m.Version++
	return assignment
}

// Release removes the assignment of an attempt without a heartbeat that proves the attempt gone. The
// caller must know that the start of the attempt was never sent, that the attempt was confirmed gone in
// another way, or that the end of its job is recorded. If the newest heartbeat lists the attempt as
// live, the attempt counts as an unknown task from then on.
func (m *Machine) Release(attempt *jobstore.Attempt) {
	id := attempt.ID()
	delete(m.Assignments, id)
	if state, listed := m.Reported[id]; listed && state.Status != StatusExited {
		m.hasUnknownTask = true
	}
	m.Version++
}

// Renumber moves the assignment of an attempt from previousNumber to the attempt's current number. When
// a new term begins, the leader renumbers the attempts that are not recorded yet, whose starts were
// therefore never sent. Renumber does nothing if previousNumber is not assigned.
func (m *Machine) Renumber(attempt *jobstore.Attempt, previousNumber uint64) {
	previousID := job.AttemptID{Task: attempt.TaskName(), Number: previousNumber}
	assignment := m.Assignments[previousID]
	if assignment == nil {
		return
	}
	delete(m.Assignments, previousID)
	m.Assignments[attempt.ID()] = assignment
	m.Version++
}

// Stop requests that an assigned attempt is halted with a grace period in seconds. It does nothing if a
// halt with the same or a shorter grace period has already been requested.
func (m *Machine) Stop(assignment *Assignment, gracePeriodS float64) {
	if assignment.Stopping && assignment.GracePeriodS <= gracePeriodS {
		return
	}
	assignment.Stopping = true
	assignment.GracePeriodS = gracePeriodS
	m.Version++
	m.urgent = true
}
