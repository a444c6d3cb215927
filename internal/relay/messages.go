// The values stored under the keys of the relay, and their size limits. Older versions read and write
// them too: keys, codec tags and the order of fields in structs encoded as arrays must never change.

package relay

import (
	"strconv"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
)

// UpPrefix is the prefix of the keys under which proxies write heartbeats; the leader watches it.
const UpPrefix = "relay/up/"

// downPrefix is the prefix of the keys under which the leader writes commands.
const downPrefix = "relay/down/"

// upKey returns the key of one part of the heartbeats that a node forwards.
func upKey(node string, part int) string { return UpPrefix + node + "/" + strconv.Itoa(part) }

// downNodePrefix returns the prefix of the keys of all commands for a node's agents.
func downNodePrefix(node string) string { return downPrefix + node + "/" }

// DownKey returns the key of one part of the commands for a node's agents.
func DownKey(node string, part int) string { return downNodePrefix(node) + strconv.Itoa(part) }

const (
	// MaxWriteBytes is the maximum total size of the values in one transaction, in bytes of JSON, as the
	// store counts it. The store's limit for the whole request is 64 KiB.
	MaxWriteBytes = 48 << 10

	// BatchOverhead is the number of bytes reserved for each batch, in JSON, beside its heartbeats and
	// commands: its key, the names of its fields, the node's name and the term.
	BatchOverhead = 200
)

// HeartbeatBatch is the value under an up key.
type HeartbeatBatch struct {
	Node   string           `cbor:"node"` // name of the proxy
	Full   []FullHeartbeat  `cbor:"reports"`
	Deltas []HeartbeatDelta `cbor:"changes"`
}

// FullHeartbeat is the compact form of agent.Heartbeat.
type FullHeartbeat struct {
	_                                   struct{} `cbor:",toarray"`
	Machine, Addr, Type, Zone           string
	Spot                                bool
	Incarnation, Sequence, FencingToken uint64
	TerminationNoticeS                  *float64 // seconds; nil: no notice
	Tasks                               []ReportedTask
}

func newFullHeartbeat(heartbeat *agent.Heartbeat) FullHeartbeat {
	full := FullHeartbeat{
		Machine:            heartbeat.Machine,
		Addr:               heartbeat.Addr,
		Type:               heartbeat.Type,
		Zone:               heartbeat.Zone,
		Spot:               heartbeat.Spot,
		Incarnation:        heartbeat.Incarnation,
		Sequence:           heartbeat.Sequence,
		FencingToken:       heartbeat.FencingToken,
		TerminationNoticeS: heartbeat.TerminationNoticeS,
	}
	for _, task := range heartbeat.Tasks {
		full.Tasks = append(full.Tasks, compactTask(task))
	}
	return full
}

// Heartbeat returns the heartbeat of which f is the compact form.
func (f *FullHeartbeat) Heartbeat() agent.Heartbeat {
	return agent.Heartbeat{
		Machine:            f.Machine,
		Addr:               f.Addr,
		Type:               f.Type,
		Zone:               f.Zone,
		Spot:               f.Spot,
		Incarnation:        f.Incarnation,
		Sequence:           f.Sequence,
		FencingToken:       f.FencingToken,
		TerminationNoticeS: f.TerminationNoticeS,
		Tasks:              appendTasks(nil, f.Tasks),
	}
}

// ReportedTask is the compact form of agent.ReportedTask.
type ReportedTask struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Attempt uint64
	Status  agent.TaskStatus
	Cause   agent.ExitCause
}

// ID returns the ID of the attempt.
func (t *ReportedTask) ID() job.AttemptID { return job.AttemptID{Task: t.Task, Number: t.Attempt} }

func compactTask(task agent.ReportedTask) ReportedTask {
	return ReportedTask{Task: task.Task, Attempt: task.Attempt, Status: task.Status, Cause: task.Cause}
}

// appendTasks appends tasks given in compact form to the tasks of a heartbeat.
func appendTasks(tasks []agent.ReportedTask, compact []ReportedTask) []agent.ReportedTask {
	for _, task := range compact {
		tasks = append(tasks, agent.ReportedTask{Task: task.Task, Attempt: task.Attempt, Status: task.Status, Cause: task.Cause})
	}
	return tasks
}

// CommandBatch is the value under a down key.
type CommandBatch struct {
	Term     uint64                     `cbor:"term"` // term of the leader that wrote the batch
	Machines map[string]MachineCommands `cbor:"machines"`
}

// MachineCommands holds the commands for one incarnation of a machine's agent.
type MachineCommands struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Commands    []Command
	ResendFull  bool // request to forward the next heartbeat in full, as the leader lacks a delta's base
}

// Command is the compact form of agent.Command.
type Command struct {
	_            struct{} `cbor:",toarray"`
	Verb         agent.Verb
	Task         string
	Attempt      uint64
	GracePeriodS *float64 // seconds; nil: none given
}

// CompactCommands returns the compact form of commands.
func CompactCommands(commands []agent.Command) (compact []Command) {
	for _, command := range commands {
		compact = append(compact, Command{Verb: command.Verb, Task: command.Task, Attempt: command.Attempt, GracePeriodS: command.GracePeriodS})
	}
	return compact
}

// equal reports whether two commands have the same verb and attempt. The grace period is not compared:
// one that has become shorter reaches the agent in the response to its next heartbeat.
func (c Command) equal(other Command) bool {
	return c.Verb == other.Verb && c.Task == other.Task && c.Attempt == other.Attempt
}
