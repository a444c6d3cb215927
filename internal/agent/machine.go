package agent

// Machine: the leader's state of one rented machine.

import (
	"time"

	"tulipshelf/internal/job"
)

// Machine is one rented machine and the worker agent on it. Only the leader's event loop reads and
// writes it. The fields are grouped by the input that sets them; comments name the other places in the
// loop that set a field too.
type Machine struct {
	// Identity, given by Registry.Add.

	Index   int       // dense index; reused once the machine is gone
	Name    string    // never reused for another machine
	Created time.Time // when it was added, or its earlier creation time in the cloud's list

	// Content of the newest heartbeat. The caller sets Type and Zone, ApplyHeartbeat the other fields.
	// The caller also sets Type, Zone, Spot and Addr from the cloud's list before the first heartbeat,
	// and all of these but Addr from a rental while Type is unknown.
	//
	// The response to a direct request does not show that heartbeats still arrive. After it is applied,
	// the caller therefore restores the previous LastHeartbeat, unless that was zero.

	Addr          string    // IPv4 address and port of the agent
	Type          int       // index into the leader's machine types; -1: unknown
	Zone          int       // index into the leader's zones; -1: unknown
	Spot          bool      // spot instance, which the cloud may reclaim
	Registered    bool      // a heartbeat was applied by this leader
	Incarnation   uint64    // number that increases with each start of the agent
	Sequence      uint64    // increasing number within the incarnation
	FencingToken  uint64    // highest token that the agent has seen
	LastHeartbeat time.Time // when the newest heartbeat was applied
	TerminationAt time.Time // when the cloud reclaims the machine; zero: no termination notice
	Reported      map[job.AttemptID]TaskState

	hasUnknownTask bool
	exitedTasks    int // number of exited attempts in Reported

	// State in the cloud, set by the caller that rents machines and reads the cloud's list.

	Listed  bool // reported to this leader by the cloud, as rented or running
	Booting bool // starting and not yet registered; cleared by a heartbeat
	Failed  bool // listed as failed

	// Decisions and observations of the leader, set by the caller and by the methods in assignment.go.
	// ApplyHeartbeat also removes assignments that have ended.

	Assignments  map[job.AttemptID]*Assignment
	Version      uint64 // incremented when assignments, their halts or HasUnknownTask change
	Images       ImageCache
	IdleSince    time.Time      // when the caller last saw an assignment on it; initially Created
	FailedJobs   map[string]int // failures attributed to the machine since the last success on it, by job ID
	Quarantined  bool           // excluded from placement
	RetireReason RetireReason   // reason for its return; NotRetired: it is not to be returned
	Gone         bool           // returned to the cloud; no attempt runs on it any longer

	// Delivery of commands, set by the caller and by the methods in responsiveness.go and commands.go.
	// Stop also sets urgent. The flag urgent is adjacent to Gone in memory because the leader reads both
	// flags of every machine after every few events.

	urgent bool // commands are pending that should be sent before the next heartbeat

	RelayedBy         string    // node that relays its heartbeats and commands; "": none
	RequestInFlight   bool      // a direct request to it is in flight
	LastProbe         time.Time // when the leader last sent it a probe
	ProbeFailed       bool      // the last probe failed; cleared by a heartbeat
	UnresponsiveSince time.Time // when it was found unresponsive; zero: responsive

	responses responseHistory
}

// FailedAttempts returns the number of failures attributed to the machine since the last success on it.
func (m *Machine) FailedAttempts() int {
	failures := 0
	for _, ofJob := range m.FailedJobs {
		failures += ofJob
	}
	return failures
}

// HasUnknownTask reports whether the newest heartbeat lists a live attempt that is not assigned to the
// machine. Such an attempt uses resources that no assignment accounts for.
func (m *Machine) HasUnknownTask() bool { return m.hasUnknownTask }

// remove marks the machine as gone, clears its assignments and returns their outcomes, all CauseLost.
func (m *Machine) remove() []Outcome {
	var outcomes []Outcome
	for _, assignment := range m.SortedAssignments() {
		outcomes = append(outcomes, Outcome{assignment, CauseLost})
	}
	m.Gone = true
	m.Assignments = nil
	m.Reported = nil
	m.exitedTasks = 0
	m.Version++
	return outcomes
}
