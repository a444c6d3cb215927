package agent

// Heartbeats: applying one to its machine, and what it proves about the attempts assigned there.

import (
	"slices"
	"time"
)

// TaskState is the state of one attempt in the newest heartbeat.
type TaskState struct {
	Status TaskStatus
	Cause  ExitCause // meaningful once Status is StatusExited
}

// Outcome is the proof that an assigned attempt is gone.
type Outcome struct {
	Assignment *Assignment
	Cause      ExitCause
}

// heartbeatState holds the values that some fields of a machine had before the newest heartbeat was
// applied. detectUnresponsive compares the heartbeat with them.
type heartbeatState struct {
	registered   bool
	incarnation  uint64
	fencingToken uint64
}

// ApplyHeartbeat applies a heartbeat to the machine. It removes the assignments that the heartbeat
// proves gone and returns their outcomes in the order of SortedAssignments. If the heartbeat is not
// newer than the last one applied, it returns fresh as false and changes nothing. The lease is the time
// for which an agent keeps its tasks without a response.
func (m *Machine) ApplyHeartbeat(heartbeat *Heartbeat, lease time.Duration, now time.Time) (outcomes []Outcome, fresh bool) {
	if m.supersedes(heartbeat) {
		return nil, false
	}
	previous := heartbeatState{m.Registered, m.Incarnation, m.FencingToken}
	m.recordHeartbeat(heartbeat, now)
	outcomes = m.removeEnded(now)
	m.updateUnknownTask()
	m.detectUnresponsive(heartbeat, previous, lease, now)
	slices.SortFunc(outcomes, func(a, b Outcome) int { return compareAssignments(a.Assignment, b.Assignment) })
	return outcomes, true
}

// supersedes reports whether the machine has applied a heartbeat that is at least as new as this one.
func (m *Machine) supersedes(heartbeat *Heartbeat) bool {
	if heartbeat.Incarnation != m.Incarnation {
		return heartbeat.Incarnation < m.Incarnation
	}
	return heartbeat.Sequence <= m.Sequence
}

// recordHeartbeat copies the content of a heartbeat into the machine.
func (m *Machine) recordHeartbeat(heartbeat *Heartbeat, now time.Time) {
	m.Addr = heartbeat.Addr
	m.Spot = heartbeat.Spot
	m.Incarnation = heartbeat.Incarnation
	m.Sequence = heartbeat.Sequence
	m.FencingToken = heartbeat.FencingToken
	m.LastHeartbeat = now
	m.Registered = true
	m.Booting = false
	m.ProbeFailed = false
	m.TerminationAt = time.Time{}
	if notice := heartbeat.TerminationNoticeS; notice != nil {
		m.TerminationAt = now.Add(time.Duration(*notice * float64(time.Second)))
	}
	clear(m.Reported)
	m.exitedTasks = 0
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		m.Reported[task.ID()] = TaskState{task.Status, task.Cause}
		if task.Status == StatusExited {
			m.exitedTasks++
		}
	}
}

// removeEnded removes the assignments that the newest heartbeat proves gone and returns their outcomes
// in arbitrary order. It updates the progress of the other assignments.
func (m *Machine) removeEnded(now time.Time) []Outcome {
	var outcomes []Outcome
	for id, assignment := range m.Assignments {
		state, listed := m.Reported[id]
		cause, ended := m.endOf(assignment, state, listed)
		switch {
		case ended:
			outcomes = append(outcomes, Outcome{assignment, cause})
			delete(m.Assignments, id)
			m.Version++
		case listed:
			assignment.recordProgress(state.Status, now)
		default:
			assignment.MissedHeartbeats++
		}
	}
	return outcomes
}

// endOf reports whether the newest heartbeat proves an assigned attempt gone, and the cause of its end.
// The state is that of the attempt in the heartbeat and is meaningful only if listed is true. Any of the
// following is a proof:
//
//   - a newer incarnation of the agent, which has no tasks of the previous one,
//   - the attempt's exit,
//   - the attempt's absence, if the agent has seen a higher token than the term of the attempt: such an
//     agent does not execute a late copy of the start.
//
// Absence under the same token proves nothing, because the start may still be in transit.
// Heartbeat.ConfirmsGone applies the same rule to one heartbeat alone.
func (m *Machine) endOf(assignment *Assignment, state TaskState, listed bool) (cause ExitCause, ended bool) {
	switch {
	case assignment.Incarnation < m.Incarnation:
		return CauseLost, true
	case listed:
		return state.Cause, state.Status == StatusExited
	default:
		return CauseLost, assignment.ID().Term() < m.FencingToken
	}
}

// recordProgress updates an assignment whose attempt the newest heartbeat lists as live.
func (a *Assignment) recordProgress(status TaskStatus, now time.Time) {
	a.MissedHeartbeats = 0
	preparing := status == StatusPulling || status == StatusWaiting
	if !preparing && a.RunningSince.IsZero() {
		a.RunningSince = now
	}
}

// updateUnknownTask recomputes whether the newest heartbeat lists a live attempt that is not assigned.
func (m *Machine) updateUnknownTask() {
	unknown := false
	for id, state := range m.Reported {
		if state.Status != StatusExited && m.Assignments[id] == nil {
			unknown = true
			break
		}
	}
	if unknown != m.hasUnknownTask {
		m.hasUnknownTask = unknown
		m.Version++
	}
}

// LatestHeartbeat returns the newest heartbeat without type, zone and termination notice. The order of
// its tasks is arbitrary.
func (m *Machine) LatestHeartbeat() Heartbeat {
	heartbeat := Heartbeat{
		Machine:      m.Name,
		Addr:         m.Addr,
		Spot:         m.Spot,
		Incarnation:  m.Incarnation,
		Sequence:     m.Sequence,
		FencingToken: m.FencingToken,
	}
	for id, state := range m.Reported {
		heartbeat.Tasks = append(heartbeat.Tasks, ReportedTask{id.Task, id.Number, state.Status, state.Cause})
	}
	return heartbeat
}

// ExitedTasks returns how many exited attempts the agent still reports.
func (m *Machine) ExitedTasks() int { return m.exitedTasks }

// EachExited calls visit with the task's name for each exited attempt that the agent still reports.
func (m *Machine) EachExited(visit func(task string)) {
	for id, state := range m.Reported {
		if state.Status == StatusExited {
			visit(id.Task)
		}
	}
}
