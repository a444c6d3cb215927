// This file starts, renumbers and ends attempts in memory. A later batch makes each change durable.

package jobstore

import (
	"fmt"
	"time"
)

// StartAttempt starts an attempt of a waiting task and returns it. The start must not be sent to the
// worker agent before it is recorded (Attempt.Dispatchable).
//
// StartAttempt panics if the task is not waiting or the job is cancelled. Guards against a fault in the
// caller's plan: a second attempt beside a live one might run the task twice.
func (s *Store) StartAttempt(job *Job, task int, number uint64, machine string, incarnation uint64, now time.Time) *Attempt {
	if job.tasks.states[task] != taskWaiting || job.Cancelled {
		panic(fmt.Sprintf("jobstore: StartAttempt of task %s/%d in state %d (want %d), job cancelled: %t (want false)",
			job.Spec.ID, task, job.tasks.states[task], taskWaiting, job.Cancelled))
	}
	attempt := &Attempt{Job: job, Task: task, Number: number, Machine: machine, Incarnation: incarnation}
	job.tasks.start(attempt)
	job.gangDispatch = gangDispatchUnknown
	s.markDirty(job, task, now).unrecordedStarts++
	return attempt
}

// Renumbered is an attempt with a new number, and the number that it had before.
type Renumbered struct {
	Attempt        *Attempt // attempt with the new number already set
	PreviousNumber uint64
}

// RenumberUnrecorded gives numbers of a new term to all attempts that are not recorded, and so were
// never sent. It calls onRenumbered for each of them.
//
// Guards against starts that are never sent: only starts of the current term may be sent. Without a new
// number, a start that waits to be written while the leader advances its term would hold resources until
// the fault is detected (docs/incidents/inc-bc39.md).
func (s *Store) RenumberUnrecorded(term uint64, onRenumbered func(Renumbered)) {
	for job := range s.dirty {
		job.gangDispatch = gangDispatchUnknown
		newNumbers := map[uint64]uint64{} // by old number, which the members of a gang share
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

// EndAttempt ends an attempt that is proven gone. Its task becomes done if done is true, or if the job
// is a gang of which another task is done; otherwise the task waits again. If done is true and the job
// is a gang, its waiting tasks become done as well. An attempt that is no longer live is ignored.
func (s *Store) EndAttempt(attempt *Attempt, done bool, now time.Time) {
	job, task := attempt.Job, attempt.Task
	if job.tasks.live[task] != attempt {
		return
	}
	next := taskWaiting
	if done || job.gangHasDoneTask() {
		next = taskDone
	}
	job.tasks.end(task, next)
	job.gangDispatch = gangDispatchUnknown
	s.endSequence++
	job.unrecordedEnds[task] = s.endSequence
	s.markDirty(job, task, now)
	if done && job.IsGang() {
		s.markGangDone(job, now)
	}
	s.markDirtyIfReadyToEnd(job)
}

// WithdrawUnrecorded ends the attempts of a job that are not recorded, and returns them. Their starts
// were never sent, so no worker agent has to stop them.
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
