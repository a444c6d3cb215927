package leader

import (
	"time"

	"tulipshelf/internal/agent"
)

// maxCommands is how many commands one answer carries: far below the protocol's 64 KiB.
const maxCommands = 40

// commandSource says which commands a machine is to get.
type commandSource struct {
	*environment
	jobs *jobTable
}

// forMachine returns the commands for a machine. While it is not sure that this controller still
// leads, they end what is left of cancelled jobs and do nothing else.
//
// It guards against an outage of the key-value store, or a partition from it, that outlasts the
// time in which a cancelled task must be gone.
func (c *commandSource) forMachine(machine *agent.Machine, now time.Time) []agent.Command {
	if !c.term.Valid() {
		return machine.HaltCommands(maxCommands)
	}
	return machine.PendingCommands(c.term.Number(), maxCommands, c.jobs.resultSettled, now)
}

// forRelayedMachine returns the commands for a machine that only another controller reaches. What
// may be forgotten can wait until the partition is over; with it the commands of a large zone did
// not fit into what may be written.
func (c *commandSource) forRelayedMachine(machine *agent.Machine, now time.Time) []agent.Command {
	neverSettled := func(string) bool { return false }
	return machine.PendingCommands(c.term.Number(), maxCommands, neverSettled, now)
}

// allSettled reports whether all results that a machine still reports are recorded.
func (c *commandSource) allSettled(machine *agent.Machine) bool {
	settled := true
	machine.EachExited(func(taskName string) { settled = settled && c.jobs.resultSettled(taskName) })
	return settled
}
