package agent

// Commands: what a machine's agent is to be sent next, and whether it has to be sent at once.

import (
	"slices"
	"time"
)

// PendingCommands returns the commands that the machine needs under the given fencing token, at
// most limit, and marks starts as sent. First come starts and halts in the order of
// SortedAssignments, then, in arbitrary order, those for reported attempts that are not assigned.
// Starts that the agent already lists are left out. An exited attempt is only forgotten once
// settled reports that its result is durable. The commands point into the assignments: only the
// leader's event loop may encode them.
func (m *Machine) PendingCommands(token uint64, limit int, settled func(task string) bool, now time.Time) []Command {
	m.urgent = false
	commands, complete := m.assignmentCommands(token, limit, now)
	if !complete {
		// The rest does not wait for the next heartbeat.
		m.urgent = true
		return commands
	}
	return m.appendUnassignedCommands(commands, limit, settled)
}

// assignmentCommands returns the starts and halts that assignments need, at most limit, and whether
// these are all.
func (m *Machine) assignmentCommands(token uint64, limit int, now time.Time) (commands []Command, complete bool) {
	for _, assignment := range m.assignmentsNeedingCommand(token) {
		if len(commands) == limit {
			return commands, false
		}
		if assignment.Stopping {
			commands = append(commands, haltCommand(assignment))
			continue
		}
		commands = append(commands, Command{Verb: VerbRun, Task: assignment.TaskName(), Attempt: assignment.Number})
		if assignment.FirstSent.IsZero() {
			assignment.FirstSent = now
		}
	}
	return commands, true
}

// assignmentsNeedingCommand returns, in the order of SortedAssignments, the assignments to be
// started or halted.
func (m *Machine) assignmentsNeedingCommand(token uint64) []*Assignment {
	var needing []*Assignment
	for id, assignment := range m.Assignments {
		_, listed := m.Reported[id]
		if assignment.Stopping {
			// One that was never sent and is not there needs no halt.
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

// mayStart reports whether the start of an assigned attempt may be sent under the given token. A
// start recorded under an earlier token is never sent again: once the agent has seen a higher one,
// its heartbeats prove the attempt gone, which a copy sent later would make untrue.
func (m *Machine) mayStart(assignment *Assignment, token uint64) bool {
	return assignment.Dispatchable() &&
		assignment.Incarnation == m.Incarnation &&
		assignment.ID().Term() == token
}

// appendUnassignedCommands appends the commands for reported attempts that are not assigned, up to
// limit commands in all.
func (m *Machine) appendUnassignedCommands(commands []Command, limit int, settled func(task string) bool) []Command {
	for id, state := range m.Reported {
		if len(commands) == limit {
			break
		}
		if m.Assignments[id] != nil {
			continue
		}
		if state.Status != StatusExited {
			// On the machine but in no record: it must not run, and has nothing worth a grace period.
			noGracePeriod := 0.0
			commands = append(commands, Command{VerbHalt, id.Task, id.Number, &noGracePeriod})
			continue
		}
		// Under an equal token a late copy of the start could run the attempt again.
		if id.Term() < m.FencingToken && settled(id.Task) {
			commands = append(commands, Command{Verb: VerbForget, Task: id.Task, Attempt: id.Number})
		}
	}
	return commands
}

// HaltCommands returns the commands that halt the tasks of cancelled jobs, at most limit. They may
// be sent whoever leads by now: a job that is cancelled stays so.
func (m *Machine) HaltCommands(limit int) []Command {
	var commands []Command
	for _, assignment := range m.SortedAssignments() {
		if len(commands) >= limit {
			break
		}
		if assignment.Job.Cancelled && assignment.Stopping {
			commands = append(commands, haltCommand(assignment))
		}
	}
	if commands != nil {
		m.urgent = false
	}
	return commands
}

// haltCommand returns a command that points into the assignment: only the leader's event loop may
// encode it.
func haltCommand(assignment *Assignment) Command {
	return Command{VerbHalt, assignment.TaskName(), assignment.Number, &assignment.GracePeriodS}
}

// MarkUrgent records that commands wait that are to be sent before the next heartbeat.
func (m *Machine) MarkUrgent() { m.urgent = true }

// Urgent reports whether the leader should send the machine its commands directly now: some wait
// that are urgent, and the machine can take a direct request.
func (m *Machine) Urgent() bool {
	if !m.urgent {
		return false
	}
	reachable := m.Registered && m.RelayedBy == "" && !m.Gone
	return reachable && !m.RequestInFlight
}
