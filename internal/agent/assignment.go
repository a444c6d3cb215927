package agent

// Assignments: the attempts that the leader has placed on a machine.

import (
	"cmp"
	"slices"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// Assignment is an attempt on a machine, from the decision to start it until there is proof that it
// is gone.
type Assignment struct {
	*jobstore.Attempt
	AssignedAt       time.Time // when the start was decided, or a new leader found the attempt
	RunningSince     time.Time // when it was first reported past waiting; zero: not yet
	FirstSent        time.Time // when this leader first sent the start; zero: never
	Stopping         bool      // a halt is wanted
	GracePeriodS     float64   // seconds that the halt leaves the task to end; the shortest asked for
	MissedHeartbeats int       // heartbeats in a row that do not list it and prove nothing
}

// compareAssignments orders by attempt number, which the tasks of a gang share, then by task.
func compareAssignments(a, b *Assignment) int {
	return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Task, b.Task))
}

// SortedAssignments returns the assignments in a fixed order, so that runs repeat.
func (m *Machine) SortedAssignments() []*Assignment {
	sorted := make([]*Assignment, 0, len(m.Assignments))
	for _, assignment := range m.Assignments {
		sorted = append(sorted, assignment)
	}
	slices.SortFunc(sorted, compareAssignments)
	return sorted
}

// AssignmentOf returns the assignment of an attempt, or nil.
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

// Assign places an attempt on the machine.
func (m *Machine) Assign(attempt *jobstore.Attempt, now time.Time) *Assignment {
	assignment := &Assignment{Attempt: attempt, AssignedAt: now}
	m.Assignments[attempt.ID()] = assignment
	m.Version++
	return assignment
}

// Release removes the assignment of an attempt whose start was never sent. If the agent reports the
// attempt as live all the same, it counts as an unknown task from then on.
func (m *Machine) Release(attempt *jobstore.Attempt) {
	id := attempt.ID()
	delete(m.Assignments, id)
	if state, listed := m.Reported[id]; listed && state.Status != StatusExited {
		m.hasUnknownTask = true
	}
	m.Version++
}

// Renumber keeps the assignment of an attempt whose start was never sent under the number that it
// has been given instead of previousNumber, as happens when another term has begun.
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

// Stop asks for an assigned attempt to be halted after a grace period in seconds. A halt that is
// already wanted at least as soon stays as it is.
func (m *Machine) Stop(assignment *Assignment, gracePeriodS float64) {
	if assignment.Stopping && assignment.GracePeriodS <= gracePeriodS {
		return
	}
	assignment.Stopping = true
	assignment.GracePeriodS = gracePeriodS
	m.Version++
	m.urgent = true
}
