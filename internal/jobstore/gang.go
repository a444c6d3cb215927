// This file holds the rules of gangs, whose tasks run together or not at all.

package jobstore

import "tulipshelf/internal/job"

// IsGang tells whether the job's tasks run together or not at all.
func (j *Job) IsGang() bool { return j.Spec.Shape == job.Gang }

// GangComplete tells whether an attempt to run a gang is complete: each of its tasks has a live
// attempt, and all share one number.
func (j *Job) GangComplete() bool {
	if len(j.live) != len(j.tasks) {
		return false
	}
	for _, a := range j.live {
		if a.Number != j.live[0].Number {
			return false
		}
	}
	return true
}

// gangDispatchState is what was worked out, or that nothing was since the last change.
type gangDispatchState uint8

const (
	gangDispatchUnknown gangDispatchState = iota
	gangDispatchAllowed
	gangDispatchBlocked
)

// Dispatchable tells whether the start of an attempt may be sent: it is recorded, and so are
// those of the whole gang if it is of one.
//
// It guards against a gang of which only a part is known to whoever leads next.
func (a *Attempt) Dispatchable() bool {
	if !a.Recorded || !a.Job.IsGang() {
		return a.Recorded
	}
	if a.Job.gangDispatch == gangDispatchUnknown {
		a.Job.gangDispatch = gangDispatchBlocked
		if a.Job.allRecorded() && a.Job.GangComplete() {
			a.Job.gangDispatch = gangDispatchAllowed
		}
	}
	return a.Job.gangDispatch == gangDispatchAllowed
}

// allRecorded tells whether all live attempts are.
func (j *Job) allRecorded() bool {
	for _, a := range j.live {
		if !a.Recorded {
			return false
		}
	}
	return true
}
