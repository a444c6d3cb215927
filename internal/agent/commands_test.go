package agent

import "testing"

// Where more commands are needed than may be sent at once, the rest is urgent; a machine that cannot
// take a direct request is not asked to.
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
		t.Errorf("%v, urgent %v", commands, machine.Urgent())
	}
	if commands := machine.PendingCommands(term, 3, settled, now); len(commands) != 3 || machine.Urgent() {
		t.Errorf("%v, urgent %v", commands, machine.Urgent())
	}
	for _, assignment := range machine.SortedAssignments() {
		if !assignment.FirstSent.Equal(now) {
			t.Errorf("task %d first sent %v", assignment.Task, assignment.FirstSent)
		}
	}
	machine.MarkUrgent()
	for name, set := range map[string]func(value bool){
		"request in flight": func(value bool) { machine.RequestInFlight = value },
		"not registered":    func(value bool) { machine.Registered = !value },
		"gone":              func(value bool) { machine.Gone = value },
	} {
		if set(true); machine.Urgent() {
			t.Errorf("urgent though %s", name)
		}
		if set(false); !machine.Urgent() {
			t.Errorf("not urgent though no longer %s", name)
		}
	}
}

// Of a cancelled job's tasks only those are halted without a valid term for which it is wanted.
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
	machine.Stop(assignments[2], 9) // a halt that is wanted sooner stays
	if commands := machine.HaltCommands(10); len(commands) != 0 {
		t.Errorf("%v before the job is cancelled", commands)
	}
	replayer.job.Cancelled = true
	commands := machine.HaltCommands(10)
	if len(commands) != 2 {
		t.Fatalf("%v", commands)
	}
	for i, want := range []struct {
		task         string
		gracePeriodS float64
	}{{traceJob + "/0", 5}, {traceJob + "/2", 2}} {
		got := commands[i]
		if got.Verb != VerbHalt || got.Task != want.task || *got.GracePeriodS != want.gracePeriodS {
			t.Errorf("%+v, grace period %v", got, *got.GracePeriodS)
		}
	}
	if commands := machine.HaltCommands(1); len(commands) != 1 {
		t.Errorf("%v beyond the limit", commands)
	}
}
