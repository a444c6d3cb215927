// Deltas: a heartbeat as what differs from the one of the same machine that was forwarded before.

package relay

import (
	"slices"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
)

// HeartbeatDelta stands for a heartbeat by what differs from its base: the heartbeat of the same
// incarnation that was forwarded before. It means nothing to whoever does not have the base. A
// termination notice cannot be expressed.
type HeartbeatDelta struct {
	_            struct{} `cbor:",toarray"`
	Machine      string
	Incarnation  uint64
	BaseSequence uint64 // sequence number of the base
	Sequence     uint64
	FencingToken uint64
	Tasks        []ReportedTask // new or changed
	Removed      []ReportedTask // no longer listed; only task and attempt are set
}

// newDelta returns the delta from base to heartbeat, both of one incarnation of a machine.
func newDelta(base, heartbeat *agent.Heartbeat) HeartbeatDelta {
	delta := HeartbeatDelta{
		Machine:      heartbeat.Machine,
		Incarnation:  heartbeat.Incarnation,
		BaseSequence: base.Sequence,
		Sequence:     heartbeat.Sequence,
		FencingToken: heartbeat.FencingToken,
	}
	unmatched := make(map[job.AttemptID]agent.ReportedTask, len(base.Tasks)) // in heartbeat, so far
	for _, task := range base.Tasks {
		unmatched[task.ID()] = task
	}
	for _, task := range heartbeat.Tasks {
		id := task.ID()
		if previous, ok := unmatched[id]; !ok || previous != task {
			delta.Tasks = append(delta.Tasks, compactTask(task))
		}
		delete(unmatched, id)
	}
	for _, task := range base.Tasks {
		if _, ok := unmatched[task.ID()]; ok {
			delta.Removed = append(delta.Removed, ReportedTask{Task: task.Task, Attempt: task.Attempt})
		}
	}
	return delta
}

// hasChanges reports whether the delta says more than that the machine is alive.
func (d *HeartbeatDelta) hasChanges(base *agent.Heartbeat) bool {
	return len(d.Tasks)+len(d.Removed) > 0 || d.FencingToken != base.FencingToken
}

// Apply returns the heartbeat that the delta stands for. base must be its base: of the same
// incarnation, with the sequence number BaseSequence.
func (d *HeartbeatDelta) Apply(base agent.Heartbeat) agent.Heartbeat {
	heartbeat := base
	heartbeat.Sequence, heartbeat.FencingToken, heartbeat.Tasks = d.Sequence, d.FencingToken, nil
	replaced := map[job.AttemptID]bool{}
	for _, task := range slices.Concat(d.Tasks, d.Removed) {
		replaced[task.ID()] = true
	}
	for _, task := range base.Tasks {
		if !replaced[task.ID()] {
			heartbeat.Tasks = append(heartbeat.Tasks, task)
		}
	}
	heartbeat.Tasks = appendTasks(heartbeat.Tasks, d.Tasks)
	return heartbeat
}
