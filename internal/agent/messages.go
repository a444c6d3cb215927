package agent

// Messages: what the leader and worker agents send each other. Codec tags and the values of the
// string types are the protocol's words.

import "tulipshelf/internal/job"

// Heartbeat is an agent's report of its machine and of all attempts on it. Heartbeats are ordered by
// incarnation, then by sequence number, whatever order they arrive in.
type Heartbeat struct {
	Machine            string         `cbor:"shelf"`
	Addr               string         `cbor:"endpoint"` // IPv4 address and port of the agent
	Type               string         `cbor:"build"`    // name of the machine type
	Zone               string         `cbor:"depot"`
	Spot               bool           `cbor:"loaners"`  // a spot instance: the cloud may take it back
	Incarnation        uint64         `cbor:"shift"`    // grows with each start of the agent
	Sequence           uint64         `cbor:"tick"`     // grows with each heartbeat of an incarnation
	FencingToken       uint64         `cbor:"baton"`    // the highest that the agent has seen
	TerminationNoticeS *float64       `cbor:"recall_s"` // seconds until the cloud takes the machine; nil: no notice
	Tasks              []ReportedTask `cbor:"tickets"`
}

// ConfirmsGone reports whether the heartbeat, however late it arrives, proves that an attempt made
// for an incarnation of the agent is gone. The rule is that of Machine.ApplyHeartbeat, without any
// knowledge of other heartbeats.
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

// ReportedTask is one attempt as an agent reports it.
type ReportedTask struct {
	Task    string     `cbor:"ticket"` // see job.TaskName
	Attempt uint64     `cbor:"try"`    // see job.AttemptNumber
	Status  TaskStatus `cbor:"status"`
	Cause   ExitCause  `cbor:"cause"` // meaningful once Status is StatusExited
}

// ID returns which attempt is reported.
func (t *ReportedTask) ID() job.AttemptID { return job.AttemptID{Task: t.Task, Number: t.Attempt} }

// TaskStatus is how far an attempt has come on its machine. Others than the constants may be
// reported, and count as running.
type TaskStatus string

// Statuses that the leader acts on.
const (
	StatusPulling       TaskStatus = "pulling" // its image is being fetched
	StatusWaiting       TaskStatus = "waiting" // for the other members of its gang
	StatusRunning       TaskStatus = "running"
	StatusCheckpointing TaskStatus = "saving"
	StatusExited        TaskStatus = "exited" // listed until the leader sends VerbForget
)

// ExitCause is why an attempt is gone.
type ExitCause string

// Causes that the leader acts on.
const (
	CauseDone        ExitCause = "done"       // it succeeded
	CauseStopped     ExitCause = "stopped"    // by VerbHalt
	CauseError       ExitCause = "error"      // it failed
	CauseNoRoom      ExitCause = "no_room"    // the machine had less room than the leader thought
	CauseInUse       ExitCause = "in_use"     // another attempt of the task was still there
	CauseUnknownJob  ExitCause = "unknown"    // the agent found no such job
	CauseMembersGone ExitCause = "mates_gone" // another member of its gang is gone
	CauseIncomplete  ExitCause = "incomplete" // its gang was not complete in time

	// CauseLost stands for the absence of an exit: the incarnation is over, or the attempt was
	// never started. It is not on the wire.
	CauseLost ExitCause = ""
)

// Verb is what a command asks for.
type Verb string

// Verbs of commands.
const (
	VerbRun    Verb = "run"    // start the attempt
	VerbHalt   Verb = "halt"   // end the attempt within the grace period
	VerbForget Verb = "forget" // list the exited attempt no longer
)

// Command is one command to an agent.
type Command struct {
	Verb         Verb     `cbor:"verb"`
	Task         string   `cbor:"ticket"`
	Attempt      uint64   `cbor:"try"`
	GracePeriodS *float64 `cbor:"wind_down_s,omitempty"` // seconds; of VerbHalt alone
}

// CommandRequest is the body of a request that sends commands directly. An agent whose incarnation
// differs, or that has seen a higher token, carries out none of them.
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
