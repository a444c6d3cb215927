package leader

import (
	"time"

	"tulipshelf/internal/agent"
)

// commandSource determines which commands a machine is sent.
type commandSource struct {
	*environment
	jobs *jobTable
}

// requestFor returns the commands for a machine, with the fencing token under which they have to be sent.
// While it is not certain that this controller still leads, the commands only halt tasks of cancelled jobs.
//
// Guards against tasks of cancelled jobs that run beyond the cancellation deadline: an outage of the
// key-value store, or a partition from it, may outlast that deadline.
//
// The term is read once, as it may be advanced at any time. Guards against a task that runs twice: an agent
// that has seen a token above the term of an attempt must not execute its start
// (docs/incidents/start-under-later-token.md).
func (c *commandSource) requestFor(machine *agent.Machine, now time.Time) agent.CommandRequest {
	request := agent.CommandRequest{FencingToken: c.term.Number(), Incarnation: machine.Incarnation}
	if c.term.Valid() {
		request.Commands = machine.PendingCommands(request.FencingToken, agent.MaxCommands, c.jobs.resultSettled, now)
	} else {
		request.Commands = machine.HaltCommands(agent.MaxCommands)
	}
	return request
}

// relayedCommands returns the commands for a machine that only another controller reaches, to be sent under
// the given fencing token. Commands to forget exited tasks are left out, as they can wait until the partition
// is over. With them the commands for a large zone exceeded the size limits of the key-value store. Starts are
// not marked as sent: the commands may still not fit.
func relayedCommands(machine *agent.Machine, token uint64) []agent.Command {
	neverSettled := func(string) bool { return false }
	return machine.UnsentCommands(token, agent.MaxCommands, neverSettled)
}

// resultsSettled reports whether the result of every exited task that a machine still reports is recorded,
// or needed by nobody.
func (c *commandSource) resultsSettled(machine *agent.Machine) bool {
	settled := true
	machine.EachExited(func(taskName string) { settled = settled && c.jobs.resultSettled(taskName) })
	return settled
}
