// This file starts, renumbers and ends attempts in memory; a batch makes it durable.

package jobstore

import (
	"fmt"
	"time"

	"tulipshelf/internal/job"
)

// Attempt is one try to run a task on one machine in one of its sessions. It
// is live until there is proof that it is gone.
type Attempt struct {
	Job         *Job
	Task        int
	Number      uint64
	Machine     string
	Incarnation uint64
	Recorded    bool // durable: only then may the start be sent
}

// ID returns what tells the attempt from all others.
func (a *Attempt) ID() job.AttemptID {
	return job.AttemptID{Task: job.TaskName(a.Job.Spec.ID, a.Task), Number: a.Number}
}

// TaskName returns the name of the attempt's task.
func (a *Attempt) TaskName() string { return job.TaskName(a.Job.Spec.ID, a.Task) }

// NextAttemptNumber returns an attempt number never used before. The tasks of a gang that
// start together share one; of a task, no two attempts have the same.
func (b *Store) NextAttemptNumber(term uint64) uint64 {
	b.attemptSequence++
	return job.AttemptNumber(term, b.attemptSequence)
}

// StartAttempt makes an attempt. It must not be sent before a batch has recorded it.
func (b *Store) StartAttempt(j *Job, task int, try uint64, machine string, session uint64, now time.Time) *Attempt {
	if j.tasks[task] != taskWaiting || j.Cancelled {
		panic(fmt.Sprintf("jobstore: start of %s/%d in state %d", j.Spec.ID, task, j.tasks[task]))
	}
	a := &Attempt{Job: j, Task: task, Number: try, Machine: machine, Incarnation: session}
	j.tasks[task] = taskLive
	j.live[task] = a
	j.gangDispatch = gangDispatchUnknown
	for j.firstMaybeWaiting < len(j.tasks) && j.tasks[j.firstMaybeWaiting] != taskWaiting {
		j.firstMaybeWaiting++
	}
	c := b.markDirty(j, task, now)
	c.unrecordedStarts++
	return a
}

// RenumberUnrecorded gives attempts that are not yet recorded, and so were never sent, numbers of
// a new term, and tells of each with the number it had. It guards against starts that
// wait to be written when the leader takes a new term: under their old numbers they
// would never be sent, and hold room until that is known (inc-bc39).
func (b *Store) RenumberUnrecorded(term uint64, told func(a *Attempt, was uint64)) {
	for j := range b.dirty {
		j.gangDispatch = gangDispatchUnknown
		tries := map[uint64]uint64{} // the tasks of a gang share one
		for _, a := range j.live {
			if a.Recorded {
				continue
			}
			was := a.Number
			if tries[was] == 0 {
				tries[was] = b.NextAttemptNumber(term)
			}
			a.Number = tries[was]
			told(a, was)
		}
	}
}

// EndAttempt takes an attempt that is proven gone: done, or its task waits again.
func (b *Store) EndAttempt(a *Attempt, done bool, now time.Time) {
	j := a.Job
	if j.live[a.Task] != a {
		return
	}
	delete(j.live, a.Task)
	j.gangDispatch = gangDispatchUnknown
	if done || j.IsGang() && j.doneCount > 0 {
		j.markDone(a.Task)
	} else {
		j.tasks[a.Task] = taskWaiting
		j.firstMaybeWaiting = min(j.firstMaybeWaiting, a.Task)
	}
	b.endSequence++
	j.unrecordedEnds[a.Task] = b.endSequence
	b.markDirty(j, a.Task, now)
	if done && j.IsGang() {
		// The tasks of a gang complete together: those that were proven gone before the
		// first was reported done are done too.
		for t, s := range j.tasks {
			if s == taskWaiting {
				j.markDone(t)
				b.markDirty(j, t, now)
			}
		}
	}
	b.markDirtyIfReadyToEnd(j)
}

// WithdrawUnrecorded takes back the attempts of a cancelled job that no batch has
// recorded: their starts were never sent.
func (b *Store) WithdrawUnrecorded(j *Job, now time.Time) (dropped []*Attempt) {
	for _, a := range j.live {
		if !a.Recorded {
			dropped = append(dropped, a)
		}
	}
	for _, a := range dropped {
		b.EndAttempt(a, false, now)
	}
	return dropped
}
