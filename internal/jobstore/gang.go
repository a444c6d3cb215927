// This file holds the rules of gangs, whose tasks run together or not at all.

package jobstore

import (
	"time"

	"tulipshelf/internal/job"
)

// gangDispatchState caches whether the starts of a gang may be sent. Every change of the gang's
// attempts sets it back to gangDispatchUnknown.
type gangDispatchState uint8

const (
	gangDispatchUnknown gangDispatchState = iota
	gangDispatchAllowed
	gangDispatchBlocked
)

// IsGang reports whether the job's tasks run together or not at all.
func (j *Job) IsGang() bool { return j.Spec.Shape == job.Gang }

// GangComplete reports whether an attempt to run a gang is complete: each of its tasks has a live
// attempt, and all of them share one number.
func (j *Job) GangComplete() bool {
	live := j.tasks.live
	if len(live) != len(j.tasks.states) {
		return false
	}
	for _, attempt := range live {
		if attempt.Number != live[0].Number {
			return false
		}
	}
	return true
}

// Dispatchable reports whether the start of an attempt may be sent: it is recorded, and so are
// those of the whole gang if the job is one. Otherwise the next leader might know but a part of
// a gang that runs.
func (a *Attempt) Dispatchable() bool {
	if !a.Recorded || !a.Job.IsGang() {
		return a.Recorded
	}
	return a.Job.gangDispatchable()
}

// gangDispatchable returns the cached answer, or computes it.
func (j *Job) gangDispatchable() bool {
	if j.gangDispatch == gangDispatchUnknown {
		j.gangDispatch = gangDispatchBlocked
		if j.allRecorded() && j.GangComplete() {
			j.gangDispatch = gangDispatchAllowed
		}
	}
	return j.gangDispatch == gangDispatchAllowed
}

// allRecorded reports whether all live attempts are recorded.
func (j *Job) allRecorded() bool {
	for _, attempt := range j.tasks.live {
		if !attempt.Recorded {
			return false
		}
	}
	return true
}

// gangHasCompleted reports whether the job is a gang of which a task is done: the tasks of a gang
// complete together, so whichever of them ends from then on is done too.
func (j *Job) gangHasCompleted() bool { return j.IsGang() && j.tasks.done > 0 }

// completeGang marks the tasks of a gang as done that were proven gone before the first was
// reported done.
func (s *Store) completeGang(gang *Job, now time.Time) {
	gang.tasks.eachWaiting(func(task int) {
		gang.tasks.markDone(task)
		s.markDirty(gang, task, now)
	})
}
