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

// forMachine returns the commands for a machine. While it is not certain that this controller still
// leads, these only halt tasks of cancelled jobs.
//
// Guards against tasks of cancelled jobs that run beyond the cancellation deadline: an outage of the
// key-value store, or a partition from it, may outlast that deadline.
func (c *commandSource) forMachine(machine *agent.Machine, now time.Time) []agent.Command {
	if !c.term.Valid() {
		return machine.HaltCommands(agent.MaxCommands)
	}
	return machine.PendingCommands(c.term.Number(), agent.MaxCommands, c.jobs.resultSettled, now)
}

// forRelayedMachine returns the commands for a machine that only another controller reaches. Commands
// to forget exited tasks are left out, as they can wait until the partition is over. With them the
// commands for a large zone exceeded the size limits of the key-value store. Starts are not marked as sent:
// the commands may still not fit.
func (c *commandSource) forRelayedMachine(machine *agent.Machine) []agent.Command {
	neverSettled := func(string) bool { return false }
	return machine.UnsentCommands(c.term.Number(), agent.MaxCommands, neverSettled)
}

// resultsSettled reports whether the result of every exited task that a machine still reports is recorded,
// or needed by nobody.
func (c *commandSource) resultsSettled(machine *agent.Machine) bool {
	settled := true
	machine.EachExited(func(taskName string) { settled = settled && c.jobs.resultSettled(taskName) })
	return settled
}
