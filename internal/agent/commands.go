package agent

// Commands: which commands a machine needs next, and whether they must be sent at once.

import (
	"slices"
	"time"

	"tulipshelf/internal/job"
)

// PendingCommands returns the commands that the machine needs under the given fencing token, at most
// limit, and marks the starts among them as sent. Starts and halts come first, in the order of
// SortedAssignments. Commands for reported attempts that are not assigned follow in arbitrary order.
// Starts of attempts that the agent already lists are omitted. VerbForget is returned for an exited
// attempt only if settled reports that the result of its task is durable. If limit cuts off starts or
// halts, PendingCommands marks the machine as urgent. Otherwise it clears the mark.
//
// The commands contain pointers into the assignments: only the leader's event loop may encode them.
func (m *Machine) PendingCommands(token uint64, limit int, settled func(task string) bool, now time.Time) []Command {
	commands := m.UnsentCommands(token, limit, settled)
	for i := range commands {
		if commands[i].Verb == VerbRun {
			m.MarkStartSent(job.AttemptID{Task: commands[i].Task, Number: commands[i].Attempt}, now)
		}
	}
	return commands
}

// UnsentCommands is PendingCommands without the marks of starts as sent. It is for commands that may not be
// sent after all: the caller then calls MarkStartSent for the starts that are.
func (m *Machine) UnsentCommands(token uint64, limit int, settled func(task string) bool) []Command {
	m.urgent = false
	commands, complete := m.assignmentCommands(token, limit)
	if !complete {
		// The remaining commands should not wait for the next heartbeat.
		m.urgent = true
		return commands
	}
	return m.appendUnassignedCommands(commands, limit, settled)
}

// assignmentCommands returns the starts and halts that assignments need, at most limit. It returns
// complete as false if there are more.
func (m *Machine) assignmentCommands(token uint64, limit int) (commands []Command, complete bool) {
	for _, assignment := range m.assignmentsNeedingCommand(token) {
		if len(commands) == limit {
			return commands, false
		}
		if assignment.Stopping {
			commands = append(commands, haltCommand(assignment))
			continue
		}
		commands = append(commands, Command{Verb: VerbRun, Task: assignment.TaskName(), Attempt: assignment.Number})
	}
	return commands, true
}

// MarkStartSent records that the start of an assigned attempt is sent now, unless it was sent before. It
// does nothing if the attempt is not assigned to the machine.
func (m *Machine) MarkStartSent(id job.AttemptID, now time.Time) {
	if assignment := m.Assignments[id]; assignment != nil && assignment.FirstSent.IsZero() {
		assignment.FirstSent = now
	}
}

// assignmentsNeedingCommand returns the assignments to be started or halted, in the order of
// SortedAssignments.
func (m *Machine) assignmentsNeedingCommand(token uint64) []*Assignment {
	var needing []*Assignment
	for id, assignment := range m.Assignments {
		_, listed := m.Reported[id]
		if assignment.Stopping {
			// An attempt that is not listed and whose start this leader never sent needs no halt.
			if listed || !assignment.FirstSent.IsZero() {
				needing = append(needing, assignment)
			}
		} else if !listed && m.mayStart(assignment, token) {
			needing = append(needing, assignment)
		}
	}
	slices.SortFunc(needing, compareAssignments)
	return needing
}

// mayStart reports whether the start of an assigned attempt may be sent under the given token. Guards
// against running an attempt that has been proven gone: once the agent has seen a higher token, its
// heartbeats prove the attempts of earlier terms gone, and a start sent later would run one of them. A
// start of an earlier term is therefore never sent.
func (m *Machine) mayStart(assignment *Assignment, token uint64) bool {
	return assignment.Dispatchable() &&
		assignment.Incarnation == m.Incarnation &&
		assignment.ID().Term() == token
}

// appendUnassignedCommands appends the commands for reported attempts that are not assigned, until there
// are limit commands in total.
func (m *Machine) appendUnassignedCommands(commands []Command, limit int, settled func(task string) bool) []Command {
	for id, state := range m.Reported {
		if len(commands) == limit {
			break
		}
		if m.Assignments[id] != nil {
			continue
		}
		if state.Status != StatusExited {
			// The attempt is in no record, so it must not run. It has no result worth a grace period.
			noGracePeriod := 0.0
			commands = append(commands, Command{VerbHalt, id.Task, id.Number, &noGracePeriod})
			continue
		}
		// Guards against a second run: an agent that has forgotten the attempt executes a late copy of
		// its start, unless the agent has seen a higher token than the term of the attempt.
		if id.Term() < m.FencingToken && settled(id.Task) {
			commands = append(commands, Command{Verb: VerbForget, Task: id.Task, Attempt: id.Number})
		}
	}
	return commands
}

// HaltCommands returns the requested halts of attempts of cancelled jobs, at most limit. They may be
// sent even if another controller leads meanwhile, because a cancellation is never revoked. If there are
// more, the machine is marked as urgent, as the others should not wait for the next heartbeat: a machine
// may be unable to send one. If these are all, the mark is cleared.
func (m *Machine) HaltCommands(limit int) []Command {
	var commands []Command
	complete := true
	for _, assignment := range m.SortedAssignments() {
		if !assignment.Job.Cancelled || !assignment.Stopping {
			continue
		}
		if len(commands) == limit {
			complete = false
			break
		}
		commands = append(commands, haltCommand(assignment))
	}
	if commands != nil {
		m.urgent = !complete
	}
	return commands
}

// haltCommand returns the halt of an assigned attempt. The command contains a pointer into the
// assignment: only the leader's event loop may encode it.
func haltCommand(assignment *Assignment) Command {
	return Command{VerbHalt, assignment.TaskName(), assignment.Number, &assignment.GracePeriodS}
}

// MarkUrgent records that pending commands should be sent before the next heartbeat.
func (m *Machine) MarkUrgent() { m.urgent = true }

// Urgent reports whether the leader should send commands to the machine directly now. That is the case
// if commands are marked as urgent, the machine is registered, neither gone nor relayed, and no direct
// request to it is in flight.
func (m *Machine) Urgent() bool {
	if !m.urgent {
		return false
	}
	reachable := m.Registered && m.RelayedBy == "" && !m.Gone
	return reachable && !m.RequestInFlight
}
