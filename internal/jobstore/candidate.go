// This file lists the changes that wait to be written, and orders them by urgency.

package jobstore

import (
	"cmp"
	"time"
)

// Completions and losses that finish no job wait for company, and longer while
// the state service's rate is short. Until they are written the worker still
// reports them, or they are found out again; nothing is told to anybody on their
// strength.
const (
	deferral    = 2 * time.Second
	maxDeferral = 12 * time.Second // from then on they are written before what can wait
)

// Urgencies of changes. The end of a job that is done comes first: its user waits
// for it, and a stream of starts would hold it back for minutes. The end of a
// cancelled job is known from its record already; but until it is recorded a new leader
// takes its tasks for being there, so it becomes overdue like completions (inc-b469: 35
// ends were not recorded for 50 s, and ten sound machines were returned for them).
const (
	urgencyDeferrable   = 0
	urgencyCancelledEnd = 1
	urgencyOverdue      = 50
	urgencyStart        = 200
	urgencyDoneEnd      = 300
)

// candidate is a change that waits to be written: of a chunk, or the end of a job.
type candidate struct {
	job     *Job
	chunk   *chunk // nil: the job's end
	urgency int

	// How long it has waited to be written, times the starts that wait with it. By the
	// jobs' arrival the chunks of a large array that change all the time went before
	// all that came later (245 small jobs of inc-bc39 were not written for 100 s); by
	// the wait alone 400 jobs of one task held up as many starts in ten chunks.
	weight float64
}

// compare orders candidates: the most urgent first.
func (k candidate) compare(other candidate) int {
	if order := cmp.Or(cmp.Compare(other.urgency, k.urgency), cmp.Compare(other.weight, k.weight),
		cmp.Compare(k.job.Arrival, other.job.Arrival)); order != 0 {
		return order
	}
	if k.chunk == nil || other.chunk == nil {
		return 0
	}
	return k.chunk.index - other.chunk.index
}

// candidates returns all changes that may be written now.
func (b *Store) candidates(now time.Time) (out []candidate) {
	for j := range b.dirty {
		if j.readyToEnd() {
			out = append(out, j.endCandidate(now))
			continue
		}
		for _, c := range j.chunks {
			if urgency, due := j.urgency(c, now); due {
				weight := now.Sub(c.dirtySince).Seconds() * float64(max(1, c.unrecordedStarts))
				out = append(out, candidate{j, c, urgency, weight})
			}
		}
	}
	return out
}

// endCandidate returns the end of a job as a candidate.
func (j *Job) endCandidate(now time.Time) candidate {
	if j.endReadySince.IsZero() {
		j.endReadySince = now
	}
	waited := now.Sub(j.endReadySince)
	switch {
	case !j.Cancelled:
		return candidate{job: j, urgency: urgencyDoneEnd}
	case waited < maxDeferral:
		return candidate{job: j, urgency: urgencyCancelledEnd}
	}
	return candidate{job: j, urgency: urgencyOverdue, weight: waited.Seconds()}
}

// urgency returns how urgent it is to write a chunk, and whether it is due at all.
func (j *Job) urgency(c *chunk, now time.Time) (urgency int, due bool) {
	switch waited := now.Sub(c.dirtySince); {
	case !c.dirty:
		return 0, false
	case c.unrecordedStarts > 0:
		// The starts of a cancelled job are about to be taken back, unsent.
		return urgencyStart + j.Spec.Rank(), !j.Cancelled
	case waited >= maxDeferral:
		return urgencyOverdue, true
	default:
		return urgencyDeferrable, waited >= deferral
	}
}
