package agent

import "tulipshelf/internal/job"

// Heartbeat is a worker's report.
type Heartbeat struct {
	Machine            string         `cbor:"shelf"`
	Addr               string         `cbor:"endpoint"`
	Type               string         `cbor:"build"`
	Zone               string         `cbor:"depot"`
	Spot               bool           `cbor:"loaners"`
	Incarnation        uint64         `cbor:"shift"`
	Sequence           uint64         `cbor:"tick"`
	FencingToken       uint64         `cbor:"baton"`
	TerminationNoticeS *float64       `cbor:"recall_s"`
	Tasks              []ReportedTask `cbor:"tickets"`
}

// ConfirmsGone tells whether the report, however late it comes, proves that an attempt made in
// a session is gone (see Machine.Handle).
func (r *Heartbeat) ConfirmsGone(attempt job.AttemptID, incarnation uint64) bool {
	if r.Incarnation != incarnation {
		return r.Incarnation > incarnation
	}
	for i := range r.Tasks {
		if r.Tasks[i].ID() == attempt {
			return r.Tasks[i].Status == StatusExited
		}
	}
	return attempt.Term() < r.FencingToken
}

// ReportedTask is one attempt as a worker has it.
type ReportedTask struct {
	Task    string     `cbor:"ticket"`
	Attempt uint64     `cbor:"try"`
	Status  TaskStatus `cbor:"status"`
	Cause   ExitCause  `cbor:"cause"`
}

// ID returns which attempt it is.
func (t *ReportedTask) ID() job.AttemptID { return job.AttemptID{Task: t.Task, Number: t.Attempt} }

// TaskStatus is how far an attempt has come on its machine, in the protocol's words.
type TaskStatus string

// Statuses that are acted on.
const (
	StatusPulling       TaskStatus = "pulling"
	StatusWaiting       TaskStatus = "waiting" // for the other tasks of its gang
	StatusRunning       TaskStatus = "running"
	StatusCheckpointing TaskStatus = "saving"
	StatusExited        TaskStatus = "exited"
)

// ExitCause is why an attempt is gone, in the protocol's words.
type ExitCause string

// Causes that are acted on.
const (
	CauseDone        ExitCause = "done"
	CauseStopped     ExitCause = "stopped"
	CauseError       ExitCause = "error"
	CauseNoRoom      ExitCause = "no_room"
	CauseInUse       ExitCause = "in_use"
	CauseUnknownJob  ExitCause = "unknown"
	CauseMembersGone ExitCause = "mates_gone" // another task of its gang is gone
	CauseIncomplete  ExitCause = "incomplete" // its gang was not complete in time

	// CauseLost stands for the absence of an exit: the incarnation is over, or the attempt was
	// never started.
	CauseLost ExitCause = ""
)

// Verb is what a command asks for, in the protocol's words.
type Verb string

// The verbs.
const (
	VerbRun    Verb = "run"
	VerbHalt   Verb = "halt"
	VerbForget Verb = "forget"
)

// Command is one command to a worker.
type Command struct {
	Verb         Verb     `cbor:"verb"`
	Task         string   `cbor:"ticket"`
	Attempt      uint64   `cbor:"try"`
	GracePeriodS *float64 `cbor:"wind_down_s,omitempty"`
}

// CommandRequest is the body of a direct command.
type CommandRequest struct {
	FencingToken uint64    `cbor:"baton"`
	Incarnation  uint64    `cbor:"shift"`
	Commands     []Command `cbor:"orders"`
}

// HeartbeatResponse is the body of the response to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `cbor:"baton"`
	Commands     []Command `cbor:"orders"`
}
