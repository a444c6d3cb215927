package agent

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/wire"
)

// Report is a worker's report.
type Report struct {
	Machine string       `cbor:"shelf"`
	Addr    string       `cbor:"endpoint"`
	Type    string       `cbor:"build"`
	Zone    string       `cbor:"depot"`
	Spot    bool         `cbor:"loaners"`
	Session uint64       `cbor:"shift"`
	Tick    uint64       `cbor:"tick"`
	Token   uint64       `cbor:"baton"`
	RecallS *float64     `cbor:"recall_s"`
	Tasks   []TaskReport `cbor:"tickets"`
}

// Proves tells whether the report, however late it comes, proves that an attempt made in
// a session is gone (see Machine.Handle).
func (r *Report) Proves(task string, try, session uint64) bool {
	if r.Session != session {
		return r.Session > session
	}
	for _, t := range r.Tasks {
		if t.Task == task && t.Try == try {
			return t.Status == Exited
		}
	}
	return jobstore.AttemptTerm(try) < r.Token
}

// TaskReport is one attempt as a worker has it.
type TaskReport struct {
	Task   string `cbor:"ticket"`
	Try    uint64 `cbor:"try"`
	Status string `cbor:"status"`
	Cause  string `cbor:"cause"`
}

// States and causes of the protocol that are acted on.
const (
	Pulling    = "pulling"
	Waiting    = "waiting" // for the others of its gang
	Running    = "running"
	Saving     = "saving"
	Exited     = "exited"
	CauseDone  = "done"
	CauseStop  = "stopped"
	CauseError = "error"
	CauseRoom  = "no_room"
	CauseInUse = "in_use"
	CauseNoJob = "unknown"

	CauseMatesGone  = "mates_gone" // another task of its gang is gone
	CauseIncomplete = "incomplete" // its gang was not complete in time
	CauseLost       = ""           // gone without an exit: session over, or never started
)

// Order is one command to a worker.
type Order struct {
	Verb     string   `cbor:"verb"`
	Task     string   `cbor:"ticket"`
	Try      uint64   `cbor:"try"`
	WindDown *float64 `cbor:"wind_down_s,omitempty"`
}

// Commands is the body of a direct command.
type Commands struct {
	Token   uint64  `cbor:"baton"`
	Session uint64  `cbor:"shift"`
	Orders  []Order `cbor:"orders"`
}

// Answer is the body of the response to a report.
type Answer struct {
	Token  uint64  `cbor:"baton"`
	Orders []Order `cbor:"orders"`
}

// Ask makes a direct request to a worker and returns its report.
func Ask(ctx context.Context, c *wire.Client, method, path string, body []byte) (r Report, err error) {
	resp, err := c.Do(ctx, method, path, body)
	if err != nil {
		return r, err
	}
	if resp.Status != 200 && resp.Status != 409 {
		return r, fmt.Errorf("status %d", resp.Status)
	}
	return r, wire.Unmarshal(resp.Body, &r)
}

// SplitTask takes apart the protocol's name of a task.
func SplitTask(name string) (id string, task int, ok bool) {
	id, n, found := strings.Cut(name, "/")
	task, err := strconv.Atoi(n)
	return id, task, found && err == nil && task >= 0
}
