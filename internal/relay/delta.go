// Deltas: heartbeats encoded as differences from the previously forwarded heartbeat of the machine.

package relay

import (
	"slices"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
)

// HeartbeatDelta encodes a heartbeat as its differences from a base, the previously forwarded
// heartbeat of the same incarnation. It can be decoded only by a receiver that has the base. It cannot
// express a termination notice.
type HeartbeatDelta struct {
	_            struct{} `cbor:",toarray"`
	Machine      string
	Incarnation  uint64
	BaseSequence uint64 // sequence number of the base
	Sequence     uint64
	FencingToken uint64
	Tasks        []ReportedTask // new and changed tasks
	Removed      []ReportedTask // tasks of the base no longer listed; only Task and Attempt are set
}

// newDelta returns the delta from base to heartbeat. Both must be of the same incarnation of a machine.
func newDelta(base, heartbeat *agent.Heartbeat) HeartbeatDelta {
	delta := HeartbeatDelta{
		Machine:      heartbeat.Machine,
		Incarnation:  heartbeat.Incarnation,
		BaseSequence: base.Sequence,
		Sequence:     heartbeat.Sequence,
		FencingToken: heartbeat.FencingToken,
	}
	unmatched := make(map[job.AttemptID]agent.ReportedTask, len(base.Tasks)) // not yet found in heartbeat
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

// hasChanges reports whether the delta changes tasks or the fencing token, rather than only showing
// that the machine is alive.
func (d *HeartbeatDelta) hasChanges(base *agent.Heartbeat) bool {
	return len(d.Tasks)+len(d.Removed) > 0 || d.FencingToken != base.FencingToken
}

// Apply returns the heartbeat that the delta encodes. base must be the delta's base: the heartbeat of
// the same machine and incarnation with the sequence number BaseSequence.
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
