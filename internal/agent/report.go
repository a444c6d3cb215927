package agent

import (
	"context"
	"fmt"

	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

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
	Task    string `cbor:"ticket"`
	Attempt uint64 `cbor:"try"`
	Status  string `cbor:"status"`
	Cause   string `cbor:"cause"`
}

// ID returns which attempt it is.
func (t *ReportedTask) ID() job.AttemptID { return job.AttemptID{Task: t.Task, Number: t.Attempt} }

// States and causes of the protocol that are acted on.
const (
	StatusPulling       = "pulling"
	StatusWaiting       = "waiting" // for the others of its gang
	StatusRunning       = "running"
	StatusCheckpointing = "saving"
	StatusExited        = "exited"
	CauseDone           = "done"
	CauseStopped        = "stopped"
	CauseError          = "error"
	CauseNoRoom         = "no_room"
	CauseInUse          = "in_use"
	CauseUnknownJob     = "unknown"

	CauseMembersGone = "mates_gone" // another task of its gang is gone
	CauseIncomplete  = "incomplete" // its gang was not complete in time
	CauseLost        = ""           // gone without an exit: session over, or never started
)

// Command is one command to a worker.
type Command struct {
	Verb         string   `cbor:"verb"`
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

// Call makes a direct request to a worker and returns its report.
func Call(ctx context.Context, c *wire.Client, method, path string, body []byte) (r Heartbeat, err error) {
	resp, err := c.Do(ctx, method, path, body)
	if err != nil {
		return r, err
	}
	if resp.Status != 200 && resp.Status != 409 {
		return r, fmt.Errorf("status %d", resp.Status)
	}
	return r, wire.Unmarshal(resp.Body, &r)
}
