// This file lists the changes that wait to be written, and orders them by urgency.

package jobstore

import (
	"cmp"
	"time"
)

// Bounds of the deferral of changes. Done and lost attempts that do not end their job are
// deferred so that several of them share a transaction. This is safe: until such a change is recorded,
// the worker agent keeps reporting it or the next leader detects it again, and no answer to a user or
// worker agent depends on it.
const (
	minDeferral = 2 * time.Second  // minimum wait, after which spare write rate may be used
	maxDeferral = 12 * time.Second // wait after which the change is written even without spare write rate
)

// urgency is the priority with which a change is written. Higher values are written first.
type urgency int

// Levels of urgency. Changes at urgencyOverdue and above are written even without spare write rate.
const (
	urgencyDeferrable urgency = 0 // done or lost attempt that does not end its job

	// urgencyCancelledEnd is the urgency of the end of a cancelled job. The end can be deferred, as
	// the job's record already shows its user the cancellation. It becomes overdue after maxDeferral.
	// Guards against the return of healthy machines: until the end is recorded, a new leader treats
	// the job's tasks as running, and returns their machines because the tasks outlive the
	// cancellation (docs/incidents/inc-b469.md).
	urgencyCancelledEnd urgency = 1

	urgencyOverdue urgency = 50  // change that has waited for maxDeferral
	urgencyStart   urgency = 200 // start of an attempt; the rank of the job's priority is added

	// urgencyDoneEnd is the urgency of the end of a job that is not cancelled and whose tasks are all
	// done. Its user waits for it, and a stream of starts at a higher urgency would delay it by minutes.
	urgencyDoneEnd urgency = 300
)

// candidate is a change that waits to be written: a changed chunk or the end of a job.
type candidate struct {
	job     *Job
	chunk   *chunk // nil for the end of the job
	urgency urgency

	// weight orders changes of the same urgency, the highest first. It is the change's waiting time
	// in seconds, for a chunk multiplied by the number of its unrecorded starts (at least 1). It is
	// 0 for an end that is not overdue.
	//
	// Ordering by arrival instead would place the chunks of a large, constantly changing array
	// before all jobs that arrived later (docs/incidents/inc-bc39.md). Ordering by waiting time
	// alone would let many jobs of one task delay an equal number of starts in a few chunks.
	weight float64
}

// isEnd reports whether the candidate is the end of its job.
func (c candidate) isEnd() bool { return c.chunk == nil }

// compare orders candidates, the most urgent first.
func (c candidate) compare(other candidate) int {
	if byUrgency := cmp.Compare(other.urgency, c.urgency); byUrgency != 0 {
		return byUrgency
	}
	if byWeight := cmp.Compare(other.weight, c.weight); byWeight != 0 {
		return byWeight
	}
	if byArrival := cmp.Compare(c.job.Arrival, other.job.Arrival); byArrival != 0 {
		return byArrival
	}
	if c.isEnd() || other.isEnd() {
		return 0
	}
	return c.chunk.index - other.chunk.index
}

// candidates returns all changes that may be written now, in unspecified order.
func (s *Store) candidates(now time.Time) []candidate {
	var found []candidate
	for job := range s.dirty {
		if job.readyToEnd() {
			if !now.Before(job.pausedUntil) {
				found = append(found, job.endCandidate(now))
			}
			continue
		}
		for _, c := range job.chunks {
			if urgency, due := job.chunkUrgency(c, now); due {
				found = append(found, candidate{job: job, chunk: c, urgency: urgency, weight: c.weight(now)})
			}
		}
	}
	return found
}

// endCandidate returns the end of the job as a candidate. The waiting time of the end starts at the
// first call.
func (j *Job) endCandidate(now time.Time) candidate {
	if j.endReadySince.IsZero() {
		j.endReadySince = now
	}
	if !j.Cancelled {
		return candidate{job: j, urgency: urgencyDoneEnd}
	}
	waited := now.Sub(j.endReadySince)
	if waited < maxDeferral {
		return candidate{job: j, urgency: urgencyCancelledEnd}
	}
	return candidate{job: j, urgency: urgencyOverdue, weight: waited.Seconds()}
}

// chunkUrgency returns the urgency of writing a chunk, and whether the write is due at now. It clears the
// count of unrecorded starts of a cancelled job's chunk once all of them were withdrawn.
func (j *Job) chunkUrgency(c *chunk, now time.Time) (level urgency, due bool) {
	if !c.dirty || j.unreadable || now.Before(c.pausedUntil) {
		return urgencyDeferrable, false
	}
	if c.unrecordedStarts > 0 && j.Cancelled {
		if len(j.unrecordedAttempts(c.index)) > 0 {
			return urgencyDeferrable, false // the starts are about to be withdrawn unsent
		}
		c.unrecordedStarts = 0 // all of them were withdrawn
	}
	if c.unrecordedStarts > 0 {
		return urgencyStart + urgency(j.Spec.Rank()), true
	}
	waited := now.Sub(c.dirtySince)
	if waited >= maxDeferral {
		return urgencyOverdue, true
	}
	return urgencyDeferrable, waited >= minDeferral
}

// weight returns the candidate.weight of a dirty chunk.
func (c *chunk) weight(now time.Time) float64 {
	return now.Sub(c.dirtySince).Seconds() * float64(max(1, c.unrecordedStarts))
}
