// The messages under the keys of the relay, and their limits of size. Older versions read and write
// them too: keys, codec tags and the order of fields in structs encoded as arrays never change.

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
	// MaxWrite is how many bytes of values one transaction may carry: the store's limit for the
	// whole request is 64 KiB.
	MaxWrite = 48 << 10

	// BatchOverhead is how many bytes of a batch are left for what is neither a heartbeat nor
	// commands: the names of its fields, the node's name and the term.
	BatchOverhead = 200
)

// UsableBytes returns how many bytes of a limit of the store to use: it counts a value in its JSON
// form, which is longer than the form written here.
func UsableBytes(limit int) int { return limit * 6 / 10 }

// HeartbeatBatch is the value under an up key.
type HeartbeatBatch struct {
	Node   string           `cbor:"node"` // of the proxy
	Full   []FullHeartbeat  `cbor:"reports"`
	Deltas []HeartbeatDelta `cbor:"changes"`
}

// FullHeartbeat is a compact agent.Heartbeat.
type FullHeartbeat struct {
	_                                   struct{} `cbor:",toarray"`
	Machine, Addr, Type, Zone           string
	Spot                                bool
	Incarnation, Sequence, FencingToken uint64
	TerminationNoticeS                  *float64 // seconds; nil: none was given
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

// Heartbeat returns the heartbeat that f was made of.
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

// ReportedTask is a compact agent.ReportedTask.
type ReportedTask struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Attempt uint64
	Status  agent.TaskStatus
	Cause   agent.ExitCause
}

// ID returns which attempt it is.
func (t *ReportedTask) ID() job.AttemptID { return job.AttemptID{Task: t.Task, Number: t.Attempt} }

func compactTask(task agent.ReportedTask) ReportedTask {
	return ReportedTask{Task: task.Task, Attempt: task.Attempt, Status: task.Status, Cause: task.Cause}
}

// appendTasks appends compact tasks to tasks of a heartbeat.
func appendTasks(tasks []agent.ReportedTask, compact []ReportedTask) []agent.ReportedTask {
	for _, task := range compact {
		tasks = append(tasks, agent.ReportedTask{Task: task.Task, Attempt: task.Attempt, Status: task.Status, Cause: task.Cause})
	}
	return tasks
}

// CommandBatch is the value under a down key.
type CommandBatch struct {
	Term     uint64                     `cbor:"term"` // of the leader that wrote it
	Machines map[string]MachineCommands `cbor:"machines"`
}

// MachineCommands is what one machine is to do in one of its incarnations.
type MachineCommands struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64
	Commands    []Command
	ResendFull  bool // its next heartbeat is to be forwarded in full, as the leader lacks a delta's base
}

// Command is a compact agent.Command.
type Command struct {
	_            struct{} `cbor:",toarray"`
	Verb         agent.Verb
	Task         string
	Attempt      uint64
	GracePeriodS *float64 // seconds; nil: none is given
}

// CompactCommands returns the compact form of commands.
func CompactCommands(commands []agent.Command) (compact []Command) {
	for _, command := range commands {
		compact = append(compact, Command{Verb: command.Verb, Task: command.Task, Attempt: command.Attempt, GracePeriodS: command.GracePeriodS})
	}
	return compact
}

// agentCommands returns the commands in the form in which agents take them.
func (m *MachineCommands) agentCommands() (commands []agent.Command) {
	for _, command := range m.Commands {
		commands = append(commands, agent.Command{Verb: command.Verb, Task: command.Task, Attempt: command.Attempt, GracePeriodS: command.GracePeriodS})
	}
	return commands
}

// equal reports whether two commands ask for the same of the same attempt. The grace period does
// not count: one that has become shorter reaches the agent in the response to its next heartbeat.
func (c Command) equal(other Command) bool {
	return c.Verb == other.Verb && c.Task == other.Task && c.Attempt == other.Attempt
}
