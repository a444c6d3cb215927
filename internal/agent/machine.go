package agent

// Machine: all that is known of one rented machine.

import (
	"time"

	"tulipshelf/internal/job"
)

// Machine is one rented machine and the worker agent on it. The leader's event loop alone reads and
// writes it; the groups below name which of the loop's inputs a field comes from. Fields are
// written elsewhere in the loop only where their comment says so.
type Machine struct {
	// Identity, given by Registry.Add.

	Index   int       // dense; the index of a machine that is gone is reused
	Name    string    // never given to another machine
	Created time.Time // when this leader first knew of it

	// What the newest heartbeat says, written by ApplyHeartbeat. Addr and Spot are also taken from
	// the cloud's list; Type and Zone are filled in by the caller from either.

	Addr          string    // IPv4 address and port of the agent
	Type          int       // index into the leader's machine types; -1: unknown
	Zone          int       // index into the leader's zones; -1: unknown
	Spot          bool      // a spot instance: the cloud may take it back
	Registered    bool      // a heartbeat has reached this leader
	Incarnation   uint64    // grows with each start of the agent
	Sequence      uint64    // grows with each heartbeat of an incarnation
	FencingToken  uint64    // the highest token that the agent has seen
	LastHeartbeat time.Time // kept by the caller when what it applies is the response to a direct request
	TerminationAt time.Time // when the cloud takes the machine away; zero: no termination notice
	Reported      map[job.AttemptID]TaskState

	hasUnknownTask bool

	// What the cloud's list says, written by the caller that reads the list.

	Listed  bool // the cloud has named it to this leader, as rented or running
	Booting bool // listed as starting and not yet registered; a heartbeat ends it
	Failed  bool // listed as failed

	// What the leader has decided or observed, written by the caller and by the methods of
	// assignment.go.

	Assignments    map[job.AttemptID]*Assignment
	Version        uint64 // raised by every change of what is on the machine
	Images         ImageCache
	IdleSince      time.Time           // when something was last seen assigned to it; at first, Created
	FailedAttempts int                 // attempts that failed since the last that was done
	FailedJobs     map[string]struct{} // IDs of the jobs whose attempts failed since then
	Quarantined    bool                // nothing more is placed on it
	RetireReason   RetireReason        // why it is being returned; NotRetired: it is not
	Gone           bool                // returned: nothing on it runs any more

	// How commands reach it: written by the caller, by responsiveness.go and by commands.go. The flag
	// urgent lies beside Gone, as the leader looks at both of each machine after each few events.

	urgent bool // commands wait that are to be sent before the next heartbeat

	RelayedBy         string    // node that forwards its heartbeats and commands; "": none
	RequestInFlight   bool      // a direct request to it has not been answered yet
	LastProbe         time.Time // when the leader last asked the silent machine directly
	ProbeFailed       bool      // it did not answer the probe; a heartbeat ends it
	UnresponsiveSince time.Time // since when nothing seems to reach it; zero: it is responsive

	responses responseHistory
}

// HasUnknownTask reports whether the newest heartbeat listed a live attempt that is not assigned
// to the machine: it takes room all the same.
func (m *Machine) HasUnknownTask() bool { return m.hasUnknownTask }

// remove marks the machine as gone and returns the outcomes of all attempts on it.
func (m *Machine) remove() []Outcome {
	var outcomes []Outcome
	for _, assignment := range m.SortedAssignments() {
		outcomes = append(outcomes, Outcome{assignment, CauseLost})
	}
	m.Gone = true
	m.Assignments = nil
	m.Reported = nil
	m.Version++
	return outcomes
}
