// This file starts, renumbers and ends attempts in memory. A batch makes each change durable later.

package jobstore

import (
	"fmt"
	"time"
)

// StartAttempt makes a waiting task live. The attempt must not be sent before a batch has recorded it
// (Attempt.Dispatchable). It panics if the task does not wait or the job is cancelled: a second
// attempt beside a live one might run the task twice, so the caller's plan is at fault.
func (s *Store) StartAttempt(job *Job, task int, number uint64, machine string, incarnation uint64, now time.Time) *Attempt {
	if job.tasks.states[task] != taskWaiting || job.Cancelled {
		panic(fmt.Sprintf("jobstore: start of %s/%d in state %d", job.Spec.ID, task, job.tasks.states[task]))
	}
	attempt := &Attempt{Job: job, Task: task, Number: number, Machine: machine, Incarnation: incarnation}
	job.tasks.start(attempt)
	job.gangDispatch = gangDispatchUnknown
	s.markDirty(job, task, now).unrecordedStarts++
	return attempt
}

// Renumbered is an attempt that has a new number.
type Renumbered struct {
	Attempt        *Attempt // with its new number
	PreviousNumber uint64
}

// RenumberUnrecorded gives the attempts that are not recorded, and so were never sent, numbers of
// a new term, and calls onRenumbered for each. Starts that wait to be written while the leader
// advances its term would never be sent under their old numbers, and would hold resources until
// that is noticed (docs/incidents/inc-bc39.md).
func (s *Store) RenumberUnrecorded(term uint64, onRenumbered func(Renumbered)) {
	for job := range s.dirty {
		job.gangDispatch = gangDispatchUnknown
		newNumbers := map[uint64]uint64{} // by the old one, which members of a gang share
		for _, attempt := range job.tasks.live {
			if attempt.Recorded {
				continue
			}
			previous := attempt.Number
			if newNumbers[previous] == 0 {
				newNumbers[previous] = s.NextAttemptNumber(term)
			}
			attempt.Number = newNumbers[previous]
			onRenumbered(Renumbered{attempt, previous})
		}
	}
}

// EndAttempt applies the proof that an attempt is gone: its task is done, or else waits again.
// An attempt that is not live any more is ignored.
func (s *Store) EndAttempt(attempt *Attempt, done bool, now time.Time) {
	job, task := attempt.Job, attempt.Task
	if job.tasks.live[task] != attempt {
		return
	}
	next := taskWaiting
	if done || job.gangHasCompleted() {
		next = taskDone
	}
	job.tasks.end(task, next)
	job.gangDispatch = gangDispatchUnknown
	s.endSequence++
	job.unrecordedEnds[task] = s.endSequence
	s.markDirty(job, task, now)
	if done && job.IsGang() {
		s.completeGang(job, now)
	}
	s.markDirtyIfReadyToEnd(job)
}

// WithdrawUnrecorded ends the attempts of a cancelled job that no batch has recorded, and returns
// them. Their starts were never sent, so nothing has to be stopped.
func (s *Store) WithdrawUnrecorded(job *Job, now time.Time) []*Attempt {
	var withdrawn []*Attempt
	for _, attempt := range job.tasks.live {
		if !attempt.Recorded {
			withdrawn = append(withdrawn, attempt)
		}
	}
	for _, attempt := range withdrawn {
		s.EndAttempt(attempt, false, now)
	}
	return withdrawn
}
