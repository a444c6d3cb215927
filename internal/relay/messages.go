package relay

import (
	"slices"
	"strconv"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
)

// UpPrefix is where reports are written; the leader watches it.
const (
	UpPrefix   = "relay/up/"
	downPrefix = "relay/down/"
)

// DownKey returns the key of one part of the commands for a node's workers.
func DownKey(node string, part int) string { return downPrefix + node + "/" + strconv.Itoa(part) }

// HeartbeatBatch is the value under an up key.
type HeartbeatBatch struct {
	Node   string           `cbor:"node"`
	Full   []FullHeartbeat  `cbor:"reports"`
	Deltas []HeartbeatDelta `cbor:"changes"`
}

// FullHeartbeat is a report in short.
type FullHeartbeat struct {
	_                                   struct{} `cbor:",toarray"`
	Machine, Addr, Type, Zone           string
	Spot                                bool
	Incarnation, Sequence, FencingToken uint64
	TerminationNoticeS                  *float64
	Tasks                               []ReportedTask
}

// Heartbeat returns the report that w stands for.
func (w *FullHeartbeat) Heartbeat() agent.Heartbeat {
	return agent.Heartbeat{Machine: w.Machine, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.Incarnation, Sequence: w.Sequence, FencingToken: w.FencingToken, TerminationNoticeS: w.TerminationNoticeS, Tasks: appendTasks(nil, w.Tasks)}
}

func newFullHeartbeat(r *agent.Heartbeat) FullHeartbeat {
	w := FullHeartbeat{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Incarnation: r.Incarnation, Sequence: r.Sequence, FencingToken: r.FencingToken, TerminationNoticeS: r.TerminationNoticeS}
	for _, t := range r.Tasks {
		w.Tasks = append(w.Tasks, compactTask(t))
	}
	return w
}

func compactTask(t agent.ReportedTask) ReportedTask {
	return ReportedTask{Task: t.Task, Attempt: t.Attempt, Status: t.Status, Cause: t.Cause}
}

func appendTasks(out []agent.ReportedTask, tasks []ReportedTask) []agent.ReportedTask {
	for _, t := range tasks {
		out = append(out, agent.ReportedTask{Task: t.Task, Attempt: t.Attempt, Status: t.Status, Cause: t.Cause})
	}
	return out
}

// HeartbeatDelta stands for a report by what differs from the one of the machine that was
// passed on before.
type HeartbeatDelta struct {
	_            struct{} `cbor:",toarray"`
	Machine      string
	Incarnation  uint64
	BaseSequence uint64 // tick of the report passed on before
	Sequence     uint64
	FencingToken uint64
	Tasks        []ReportedTask // new or changed
	Removed      []ReportedTask // no longer listed
}

// ReportedTask is a task of a report, in short.
type ReportedTask struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Attempt uint64
	Status  agent.TaskStatus
	Cause   agent.ExitCause
}

// ID returns which attempt it is.
func (t *ReportedTask) ID() job.AttemptID { return job.AttemptID{Task: t.Task, Number: t.Attempt} }

// Apply returns the report that a change stands for, given the one before it.
func (c *HeartbeatDelta) Apply(before agent.Heartbeat) agent.Heartbeat {
	r := before
	r.Sequence, r.FencingToken, r.Tasks = c.Sequence, c.FencingToken, nil
	out := map[job.AttemptID]bool{}
	for _, t := range slices.Concat(c.Tasks, c.Removed) {
		out[t.ID()] = true
	}
	for _, t := range before.Tasks {
		if !out[t.ID()] {
			r.Tasks = append(r.Tasks, t)
		}
	}
	r.Tasks = appendTasks(r.Tasks, c.Tasks)
	return r
}

// newDelta returns what makes b of a, reports of one session.
func newDelta(a, b *agent.Heartbeat) HeartbeatDelta {
	c := HeartbeatDelta{Machine: b.Machine, Incarnation: b.Incarnation, BaseSequence: a.Sequence, Sequence: b.Sequence, FencingToken: b.FencingToken}
	had := make(map[job.AttemptID]agent.ReportedTask, len(a.Tasks))
	for _, t := range a.Tasks {
		had[t.ID()] = t
	}
	for _, t := range b.Tasks {
		k := t.ID()
		if old, ok := had[k]; !ok || old != t {
			c.Tasks = append(c.Tasks, compactTask(t))
		}
		delete(had, k)
	}
	for _, t := range a.Tasks {
		if _, ok := had[t.ID()]; ok {
			c.Removed = append(c.Removed, ReportedTask{Task: t.Task, Attempt: t.Attempt})
		}
	}
	return c
}

// CommandBatch is the value under a down key.
type CommandBatch struct {
	Term     uint64                     `cbor:"term"`
	Machines map[string]MachineCommands `cbor:"machines"`
}

// MachineCommands is what one machine is to do in one of its sessions.
type MachineCommands struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Commands    []Command
	ResendFull  bool // its report is wanted whole
}

// Command is a command in short.
type Command struct {
	_            struct{} `cbor:",toarray"`
	Verb         agent.Verb
	Task         string
	Attempt      uint64
	GracePeriodS *float64
}

// CompactCommands returns commands in short.
func CompactCommands(orders []agent.Command) (out []Command) {
	for _, o := range orders {
		out = append(out, Command{Verb: o.Verb, Task: o.Task, Attempt: o.Attempt, GracePeriodS: o.GracePeriodS})
	}
	return out
}

func (c Command) equal(other Command) bool {
	return c.Verb == other.Verb && c.Task == other.Task && c.Attempt == other.Attempt
}

func (o *MachineCommands) agentCommands() (out []agent.Command) {
	for _, c := range o.Commands {
		out = append(out, agent.Command{Verb: c.Verb, Task: c.Task, Attempt: c.Attempt, GracePeriodS: c.GracePeriodS})
	}
	return out
}

// UsableBytes returns how much of a limit to fill: the state service counts by the JSON form,
// which is longer than what is written here.
func UsableBytes(limit int) int { return limit * 6 / 10 }

// MaxWrite is how much one transaction may carry: the state service's limit is 64 KiB.
const MaxWrite = 48 << 10
