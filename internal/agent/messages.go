package agent

// Messages between the leader and worker agents. The protocol defines the codec tags and the values of
// the string types.

import "tulipshelf/internal/job"

// Heartbeat is an agent's report of its machine and of all attempts on it. Heartbeats of a machine are
// ordered by incarnation, then by sequence number, regardless of the order of arrival.
type Heartbeat struct {
	Machine            string         `cbor:"shelf"`
	Addr               string         `cbor:"endpoint"` // IPv4 address and port of the agent
	Type               string         `cbor:"build"`    // name of the machine type
	Zone               string         `cbor:"depot"`
	Spot               bool           `cbor:"loaners"`  // spot instance, which the cloud may reclaim
	Incarnation        uint64         `cbor:"shift"`    // number that increases with each start of the agent
	Sequence           uint64         `cbor:"tick"`     // increasing number within the incarnation
	FencingToken       uint64         `cbor:"baton"`    // highest token that the agent has seen
	TerminationNoticeS *float64       `cbor:"recall_s"` // seconds until the cloud reclaims it; nil: no notice
	Tasks              []ReportedTask `cbor:"tickets"`
}

// ConfirmsGone reports whether the heartbeat proves that an attempt made for the given incarnation of
// the agent is gone. The proof holds however late the heartbeat arrives. The rule is that of
// Machine.ApplyHeartbeat, applied to this heartbeat alone.
func (h *Heartbeat) ConfirmsGone(attempt job.AttemptID, incarnation uint64) bool {
	if h.Incarnation != incarnation {
		return h.Incarnation > incarnation
	}
	for i := range h.Tasks {
		if h.Tasks[i].ID() == attempt {
			return h.Tasks[i].Status == StatusExited
		}
	}
	return attempt.Term() < h.FencingToken
}

// ReportedTask is the entry of one attempt in a heartbeat.
type ReportedTask struct {
	Task    string     `cbor:"ticket"` // see job.TaskName
	Attempt uint64     `cbor:"try"`    // see job.AttemptNumber
	Status  TaskStatus `cbor:"status"`
	Cause   ExitCause  `cbor:"cause"` // meaningful once Status is StatusExited
}

// ID returns the identity of the reported attempt.
func (t *ReportedTask) ID() job.AttemptID { return job.AttemptID{Task: t.Task, Number: t.Attempt} }

// TaskStatus is the status of an attempt on its machine. Agents may report values other than the
// constants below; those count as running.
type TaskStatus string

// Statuses that the leader acts on.
const (
	StatusPulling       TaskStatus = "pulling" // fetching its image
	StatusWaiting       TaskStatus = "waiting" // waiting for the other members of its gang
	StatusRunning       TaskStatus = "running"
	StatusCheckpointing TaskStatus = "saving"
	StatusExited        TaskStatus = "exited" // reported until the leader sends VerbForget
)

// ExitCause is the reason for the end of an attempt.
type ExitCause string

// Causes that the leader acts on.
const (
	CauseDone        ExitCause = "done"       // success
	CauseStopped     ExitCause = "stopped"    // halted by VerbHalt
	CauseError       ExitCause = "error"      // failure of the task
	CauseNoRoom      ExitCause = "no_room"    // fewer free resources than the leader assumed
	CauseInUse       ExitCause = "in_use"     // another attempt of the task still on the machine
	CauseUnknownJob  ExitCause = "unknown"    // job not known to the agent
	CauseMembersGone ExitCause = "mates_gone" // another member of its gang gone
	CauseIncomplete  ExitCause = "incomplete" // gang not complete within the time allowed

	// CauseLost is the cause of an attempt that ended without a reported exit: its incarnation or its
	// machine is gone, or it was never started. Agents do not report it for an exited attempt.
	CauseLost ExitCause = ""
)

// Verb is the operation that a command requests.
type Verb string

// Verbs of commands.
const (
	VerbRun    Verb = "run"    // start the attempt
	VerbHalt   Verb = "halt"   // stop the attempt within the grace period
	VerbForget Verb = "forget" // drop the exited attempt from heartbeats
)

// Command is one command to an agent.
type Command struct {
	Verb         Verb     `cbor:"verb"`
	Task         string   `cbor:"ticket"`
	Attempt      uint64   `cbor:"try"`
	GracePeriodS *float64 `cbor:"wind_down_s,omitempty"` // grace period in seconds, set only for VerbHalt
}

// CommandRequest is the body of a direct request with commands. An agent executes none of them if its
// incarnation differs or if it has seen a higher token.
type CommandRequest struct {
	FencingToken uint64    `cbor:"baton"`
	Incarnation  uint64    `cbor:"shift"`
	Commands     []Command `cbor:"orders"`
}

// HeartbeatResponse is the body of the response to a heartbeat.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}
