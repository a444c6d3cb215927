package relay

import (
	"slices"
	"strconv"

	"tulipshelf/internal/agent"
)

// UpPrefix is where reports are written; the leader watches it.
const (
	UpPrefix   = "relay/up/"
	downPrefix = "relay/down/"
)

// DownKey returns the key of one part of the commands for a node's workers.
func DownKey(node string, part int) string { return downPrefix + node + "/" + strconv.Itoa(part) }

// ReportBatch is the value under an up key.
type ReportBatch struct {
	Node    string         `cbor:"node"`
	Reports []FullReport   `cbor:"reports"`
	Changes []ReportChange `cbor:"changes"`
}

// FullReport is a report in short.
type FullReport struct {
	_                         struct{} `cbor:",toarray"`
	Machine, Addr, Type, Zone string
	Spot                      bool
	Session, Tick, Token      uint64
	RecallS                   *float64
	Tasks                     []Task
}

// Report returns the report that w stands for.
func (w *FullReport) Report() agent.Heartbeat {
	return agent.Heartbeat{Machine: w.Machine, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Incarnation: w.Session, Sequence: w.Tick, FencingToken: w.Token, TerminationNoticeS: w.RecallS, Tasks: appendTasks(nil, w.Tasks)}
}

func whole(r *agent.Heartbeat) FullReport {
	w := FullReport{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Incarnation, Tick: r.Sequence, Token: r.FencingToken, RecallS: r.TerminationNoticeS}
	for _, t := range r.Tasks {
		w.Tasks = append(w.Tasks, brief(t))
	}
	return w
}

func brief(t agent.ReportedTask) Task {
	return Task{Task: t.Task, Try: t.Attempt, Status: t.Status, Cause: t.Cause}
}

func appendTasks(out []agent.ReportedTask, tasks []Task) []agent.ReportedTask {
	for _, t := range tasks {
		out = append(out, agent.ReportedTask{Task: t.Task, Attempt: t.Try, Status: t.Status, Cause: t.Cause})
	}
	return out
}

// ReportChange stands for a report by what differs from the one of the machine that was
// passed on before.
type ReportChange struct {
	_       struct{} `cbor:",toarray"`
	Machine string
	Session uint64
	Before  uint64 // tick of the report passed on before
	Tick    uint64
	Token   uint64
	Tasks   []Task // new or changed
	Gone    []Task // no longer listed
}

// Task is a task of a report, in short.
type Task struct {
	_      struct{} `cbor:",toarray"`
	Task   string
	Try    uint64
	Status string
	Cause  string
}

// Apply returns the report that a change stands for, given the one before it.
func (c *ReportChange) Apply(before agent.Heartbeat) agent.Heartbeat {
	r := before
	r.Sequence, r.FencingToken, r.Tasks = c.Tick, c.Token, nil
	out := map[attempt]bool{}
	for _, t := range slices.Concat(c.Tasks, c.Gone) {
		out[attempt{t.Task, t.Try}] = true
	}
	for _, t := range before.Tasks {
		if !out[attempt{t.Task, t.Attempt}] {
			r.Tasks = append(r.Tasks, t)
		}
	}
	r.Tasks = appendTasks(r.Tasks, c.Tasks)
	return r
}

type attempt struct {
	task string
	try  uint64
}

// difference returns what makes b of a, reports of one session.
func difference(a, b *agent.Heartbeat) ReportChange {
	c := ReportChange{Machine: b.Machine, Session: b.Incarnation, Before: a.Sequence, Tick: b.Sequence, Token: b.FencingToken}
	had := make(map[attempt]agent.ReportedTask, len(a.Tasks))
	for _, t := range a.Tasks {
		had[attempt{t.Task, t.Attempt}] = t
	}
	for _, t := range b.Tasks {
		k := attempt{t.Task, t.Attempt}
		if old, ok := had[k]; !ok || old != t {
			c.Tasks = append(c.Tasks, brief(t))
		}
		delete(had, k)
	}
	for _, t := range a.Tasks {
		if _, ok := had[attempt{t.Task, t.Attempt}]; ok {
			c.Gone = append(c.Gone, Task{Task: t.Task, Try: t.Attempt})
		}
	}
	return c
}

// CommandBatch is the value under a down key.
type CommandBatch struct {
	Term     uint64           `cbor:"term"`
	Machines map[string]Order `cbor:"machines"`
}

// Order is what one machine is to do in one of its sessions.
type Order struct {
	_        struct{} `cbor:",toarray"`
	Session  uint64
	Commands []Command
	Whole    bool // its report is wanted whole
}

// Command is a command in short.
type Command struct {
	_        struct{} `cbor:",toarray"`
	Verb     string
	Task     string
	Try      uint64
	WindDown *float64
}

// Brief returns commands in short.
func Brief(orders []agent.Command) (out []Command) {
	for _, o := range orders {
		out = append(out, Command{Verb: o.Verb, Task: o.Task, Try: o.Attempt, WindDown: o.GracePeriodS})
	}
	return out
}

func (c Command) same(other Command) bool {
	return c.Verb == other.Verb && c.Task == other.Task && c.Try == other.Try
}

func (o *Order) orders() (out []agent.Command) {
	for _, c := range o.Commands {
		out = append(out, agent.Command{Verb: c.Verb, Task: c.Task, Attempt: c.Try, GracePeriodS: c.WindDown})
	}
	return out
}

// Fill returns how much of a limit to fill: the state service counts by the JSON form,
// which is longer than what is written here.
func Fill(limit int) int { return limit * 6 / 10 }

// MaxWrite is how much one transaction may carry: the state service's limit is 64 KiB.
const MaxWrite = 48 << 10
