package agent

import "testing"

// PendingCommands leaves the machine urgent if the limit cuts off commands, which would otherwise wait for
// the next heartbeat. Urgent returns false while the machine cannot be sent a direct request.
func TestPendingCommandsLimit(t *testing.T) {
	const term, incarnation = 2, 1
	replayer := newTraceReplayer(t)
	machine, now := replayer.machine, replayer.now
	machine.ApplyHeartbeat(&Heartbeat{Machine: machine.Name, Incarnation: incarnation, Sequence: 1, FencingToken: term}, traceLease, now)
	for task := range 3 {
		replayer.assign(task, term, incarnation).Recorded = true
	}
	settled := func(string) bool { return true }
	if commands := machine.PendingCommands(term, 2, settled, now); len(commands) != 2 || !machine.Urgent() {
		t.Errorf("got commands %v, urgent %v; want 2, urgent", commands, machine.Urgent())
	}
	if commands := machine.PendingCommands(term, 3, settled, now); len(commands) != 3 || machine.Urgent() {
		t.Errorf("got commands %v, urgent %v; want 3, not urgent", commands, machine.Urgent())
	}
	for _, assignment := range machine.SortedAssignments() {
		if !assignment.FirstSent.Equal(now) {
			t.Errorf("task %d first sent at %v, want %v", assignment.Task, assignment.FirstSent, now)
		}
	}
	machine.MarkUrgent()
	for name, set := range map[string]func(value bool){
		"request in flight": func(value bool) { machine.RequestInFlight = value },
		"not registered":    func(value bool) { machine.Registered = !value },
		"gone":              func(value bool) { machine.Gone = value },
	} {
		if set(true); machine.Urgent() {
			t.Errorf("Urgent is true in state %q", name)
		}
		if set(false); !machine.Urgent() {
			t.Errorf("Urgent is false after state %q has ended", name)
		}
	}
}

// HaltCommands, which is used without a valid term, halts only tasks of cancelled jobs for which a halt
// was requested.
func TestHaltCommands(t *testing.T) {
	const term, incarnation = 2, 1
	replayer := newTraceReplayer(t)
	machine := replayer.machine
	var assignments []*Assignment
	for task := range 3 {
		attempt := replayer.assign(task, term, incarnation)
		assignments = append(assignments, machine.AssignmentOf(attempt))
	}
	machine.Stop(assignments[0], 5)
	machine.Stop(assignments[2], 5)
	machine.Stop(assignments[2], 2)
	machine.Stop(assignments[2], 9) // the shorter grace period stays
	if commands := machine.HaltCommands(10); len(commands) != 0 {
		t.Errorf("commands before the job is cancelled: %v", commands)
	}
	replayer.job.Cancelled = true
	commands := machine.HaltCommands(10)
	if len(commands) != 2 {
		t.Fatalf("got commands %v, want 2", commands)
	}
	for i, want := range []struct {
		task         string
		gracePeriodS float64
	}{{traceJob + "/0", 5}, {traceJob + "/2", 2}} {
		got := commands[i]
		if got.Verb != VerbHalt || got.Task != want.task || *got.GracePeriodS != want.gracePeriodS {
			t.Errorf("got %+v with grace period %v, want halt with %+v", got, *got.GracePeriodS, want)
		}
	}
	if commands := machine.HaltCommands(1); len(commands) != 1 {
		t.Errorf("got commands %v, want 1", commands)
	}
}

// Guards against halts of cancelled tasks that wait for a heartbeat which a machine cannot send: a machine
// has more of them than one request holds.
func TestHaltsBeyondLimitAreSentAtOnce(t *testing.T) {
	const term, incarnation = 2, 1
	replayer := newTraceReplayer(t)
	machine := replayer.machine
	machine.ApplyHeartbeat(&Heartbeat{Machine: machine.Name, Incarnation: incarnation, Sequence: 1, FencingToken: term}, traceLease, replayer.now)
	for task := range 3 {
		machine.Stop(machine.AssignmentOf(replayer.assign(task, term, incarnation)), 0)
	}
	replayer.job.Cancelled = true
	if commands := machine.HaltCommands(2); len(commands) != 2 || !machine.Urgent() {
		t.Errorf("%d of 3 halts, urgent %t; want 2, urgent", len(commands), machine.Urgent())
	}
	if commands := machine.HaltCommands(3); len(commands) != 3 || machine.Urgent() {
		t.Errorf("%d of 3 halts, urgent %t; want 3, not urgent", len(commands), machine.Urgent())
	}
}
