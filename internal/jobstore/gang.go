// This file holds the rules of gangs, whose tasks run together or not at all.

package jobstore

import (
	"time"

	"tulipshelf/internal/job"
)

// gangDispatchState caches whether the starts of a gang may be sent. Every change to the gang's
// attempts resets it to gangDispatchUnknown.
type gangDispatchState uint8

const (
	gangDispatchUnknown gangDispatchState = iota
	gangDispatchAllowed
	gangDispatchBlocked
)

// IsGang reports whether the job's tasks run together or not at all.
func (j *Job) IsGang() bool { return j.Spec.Shape == job.Gang }

// GangComplete reports whether every task of a gang has a live attempt and all of these attempts
// share one number.
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

// Dispatchable reports whether the start of the attempt may be sent to the worker agent. The attempt
// has to be recorded; if the job is a gang, the gang has to be complete with all attempts recorded.
// Guards against a running gang of which the next leader finds only some members in the records.
func (a *Attempt) Dispatchable() bool {
	if !a.Recorded || !a.Job.IsGang() {
		return a.Recorded
	}
	return a.Job.gangDispatchable()
}

// gangDispatchable reports whether the starts of the gang may be sent. The result is cached in
// gangDispatch.
func (j *Job) gangDispatchable() bool {
	if j.gangDispatch == gangDispatchUnknown {
		j.gangDispatch = gangDispatchBlocked
		if j.allRecorded() && j.GangComplete() {
			j.gangDispatch = gangDispatchAllowed
		}
	}
	return j.gangDispatch == gangDispatchAllowed
}

// allRecorded reports whether all live attempts of the job are recorded.
func (j *Job) allRecorded() bool {
	for _, attempt := range j.tasks.live {
		if !attempt.Recorded {
			return false
		}
	}
	return true
}

// gangHasDoneTask reports whether the job is a gang with at least one done task. The members of a gang
// complete together, so from then on each member whose attempt ends is done too.
func (j *Job) gangHasDoneTask() bool { return j.IsGang() && j.tasks.done > 0 }

// markGangDone marks the waiting tasks of a gang as done: their attempts were proven gone before the
// first member was reported done.
func (s *Store) markGangDone(gang *Job, now time.Time) {
	gang.tasks.eachWaiting(func(task int) {
		gang.tasks.markDone(task)
		s.markDirty(gang, task, now)
	})
}
