// This file holds an attempt and its identity.

package jobstore

import "tulipshelf/internal/job"

// Attempt is one attempt to run a task, on one machine during one incarnation of its worker agent.
// It is live until it is proven gone. Like its Store it is for the leader's event loop alone; the
// fields are read only outside this package.
type Attempt struct {
	Job         *Job
	Task        int    // index in the job
	Number      uint64 // see Store.NextAttemptNumber
	Machine     string
	Incarnation uint64 // of the worker agent
	Recorded    bool   // durable: only then may the start be sent
}

// ID returns the identity of the attempt among all attempts of all jobs.
func (a *Attempt) ID() job.AttemptID {
	return job.AttemptID{Task: a.TaskName(), Number: a.Number}
}

// TaskName returns the name of the attempt's task.
func (a *Attempt) TaskName() string { return job.TaskName(a.Job.Spec.ID, a.Task) }

// NextAttemptNumber returns an attempt number of a term that was never used before. No two
// attempts of a task have the same number; those of a gang that start together share one.
func (s *Store) NextAttemptNumber(term uint64) uint64 {
	s.attemptSequence++
	return job.AttemptNumber(term, s.attemptSequence)
}
