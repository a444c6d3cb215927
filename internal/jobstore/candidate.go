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
	lazy    = 2 * time.Second
	overdue = 12 * time.Second // from then on they are written before what can wait
)

// Urgencies of changes. The end of a job that is done comes first: its user waits
// for it, and a stream of starts would hold it back for minutes. The end of a
// cancelled job is known from its record already; but until it is recorded a new leader
// takes its tasks for being there, so it becomes overdue like completions (inc-b469: 35
// ends were not recorded for 50 s, and ten sound machines were returned for them).
const (
	keyLazy      = 0
	keyCancelled = 1
	keyOverdue   = 50
	keyStart     = 200
	keyDone      = 300
)

// candidate is a change that waits to be written: of a chunk, or the end of a job.
type candidate struct {
	j       *Job
	c       *chunk // nil: the job's end
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
		cmp.Compare(k.j.Arrival, other.j.Arrival)); order != 0 {
		return order
	}
	if k.c == nil || other.c == nil {
		return 0
	}
	return k.c.n - other.c.n
}

// candidates returns all changes that may be written now.
func (b *Store) candidates(now time.Time) (out []candidate) {
	for j := range b.dirty {
		if j.over() {
			out = append(out, j.endCandidate(now))
			continue
		}
		for _, c := range j.chunks {
			if urgency, due := j.urgency(c, now); due {
				weight := now.Sub(c.since).Seconds() * float64(max(1, c.starts))
				out = append(out, candidate{j, c, urgency, weight})
			}
		}
	}
	return out
}

// endCandidate returns the end of a job as a candidate.
func (j *Job) endCandidate(now time.Time) candidate {
	if j.overSince.IsZero() {
		j.overSince = now
	}
	waited := now.Sub(j.overSince)
	switch {
	case !j.Cancelled:
		return candidate{j: j, urgency: keyDone}
	case waited < overdue:
		return candidate{j: j, urgency: keyCancelled}
	}
	return candidate{j: j, urgency: keyOverdue, weight: waited.Seconds()}
}

// urgency returns how urgent it is to write a chunk, and whether it is due at all.
func (j *Job) urgency(c *chunk, now time.Time) (urgency int, due bool) {
	switch waited := now.Sub(c.since); {
	case !c.dirty:
		return 0, false
	case c.starts > 0:
		// The starts of a cancelled job are about to be taken back, unsent.
		return keyStart + j.Spec.Rank(), !j.Cancelled
	case waited >= overdue:
		return keyOverdue, true
	default:
		return keyLazy, waited >= lazy
	}
}
