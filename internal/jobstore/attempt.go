// This file defines Attempt and its identity.

package jobstore

import (
	"fmt"

	"tulipshelf/internal/job"
)

// Attempt is one attempt to run a task, on one machine during one incarnation of its worker agent.
// It is live until it is proven gone. Like its Store, it may be used only by the leader's event loop.
// Code outside this package must not write its fields.
type Attempt struct {
	Job         *Job
	Task        int    // index in the job
	Number      uint64 // attempt number (Store.NextAttemptNumber)
	Machine     string
	Incarnation uint64 // incarnation of the worker agent
	Recorded    bool   // whether the start is durable; it must not be sent before
}

// ID returns the identity of the attempt, which is unique among the attempts of all jobs.
func (a *Attempt) ID() job.AttemptID {
	return job.AttemptID{Task: a.TaskName(), Number: a.Number}
}

// TaskName returns the name of the attempt's task.
func (a *Attempt) TaskName() string { return job.TaskName(a.Job.Spec.ID, a.Task) }

// NextAttemptNumber allocates an unused attempt number in a term, which must not be lower than in earlier calls. No two
// attempts of a task have the same number. The attempts of a gang that start together share one.
//
// It panics if no number is left (AttemptNumbersLeft). Guards against starts that count as those of another term.
func (s *Store) NextAttemptNumber(term uint64) uint64 {
	if s.AttemptNumbersLeft(term) == 0 {
		panic(fmt.Sprintf("jobstore: no attempt number left in term %d", term))
	}
	if term != s.attemptTerm {
		s.attemptTerm, s.attemptSequence = term, 0
	}
	s.attemptSequence++
	return job.AttemptNumber(term, s.attemptSequence)
}

// AttemptNumbersLeft returns how many attempt numbers can still be allocated in a term.
func (s *Store) AttemptNumbersLeft(term uint64) int {
	if term != s.attemptTerm {
		return job.MaxAttemptSequence
	}
	return int(job.MaxAttemptSequence - s.attemptSequence)
}
