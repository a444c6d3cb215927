// This file lists the changes that wait to be written, and orders them by urgency.

package jobstore

import (
	"cmp"
	"time"
)

// Completions and losses that finish no job wait for others to share a transaction with. Until
// they are recorded the worker keeps reporting them, or the next leader finds them again, and no
// answer to a user or worker relies on them.
const (
	minDeferral = 2 * time.Second  // the least wait; then they use what write rate is to spare
	maxDeferral = 12 * time.Second // the wait after which they use as much of the rate as starts do
)

// urgency orders changes: the greatest is written first.
type urgency int

// Levels of urgency. Those from urgencyOverdue on are written even if no rate is to spare.
const (
	urgencyDeferrable urgency = 0 // a completion or loss that finishes no job

	// urgencyCancelledEnd is of the end of a cancelled job. Its user learns of it from the job's
	// record. But until it is recorded a new leader takes its tasks for running, and returns sound
	// machines for them, so it becomes overdue as well (docs/incidents/inc-b469.md).
	urgencyCancelledEnd urgency = 1

	urgencyOverdue urgency = 50  // what has waited for maxDeferral
	urgencyStart   urgency = 200 // plus the rank of the job's priority

	// urgencyDoneEnd is of the end of a job that is done: its user waits for it, and a stream of
	// starts would hold it back for minutes.
	urgencyDoneEnd urgency = 300
)

// candidate is a change that waits to be written: of a chunk, or the end of a job.
type candidate struct {
	job     *Job
	chunk   *chunk // nil: the job's end
	urgency urgency

	// weight orders changes of the same urgency: the seconds for which the change has waited,
	// times the starts that wait with it. By the jobs' arrival the chunks of a large array that
	// changes all the time would go before all jobs that came later (docs/incidents/inc-bc39.md);
	// by the wait alone many jobs of one task would hold up as many starts in a few chunks.
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
			found = append(found, job.endCandidate(now))
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

// endCandidate returns the end of a job as a candidate.
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

// chunkUrgency returns how urgent it is to write a chunk, and whether it is to be written now at all.
func (j *Job) chunkUrgency(c *chunk, now time.Time) (level urgency, due bool) {
	if !c.dirty {
		return urgencyDeferrable, false
	}
	if c.unrecordedStarts > 0 {
		// The starts of a cancelled job are about to be withdrawn unsent.
		return urgencyStart + urgency(j.Spec.Rank()), !j.Cancelled
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
