package cancellation

// This file has the set of cancelled jobs itself and for how long they are kept.

import (
	"sync"
	"time"
)

// retentionSlack is for how long a cancellation is kept beyond the time in which the job's
// tasks must be gone. That time counts from the confirmation. A register may learn of a
// cancellation before it is confirmed, and another register may learn of it from this one
// long after that.
const retentionSlack = 15 * time.Second

// maxJobs bounds a register to what one message between controllers can carry. Controllers
// of earlier versions accept no larger messages (docs/size.md).
const maxJobs = 4096

// Register is one controller's replica of the set of cancelled jobs. It lives in memory only:
// a new incarnation of the process begins with an empty one. It is safe for concurrent use.
type Register struct {
	majority  int           // controllers that make one, this one included
	retention time.Duration // for which a job is kept after it was added

	mu            sync.Mutex            // guards all that follows
	jobs          map[string]entry      // by job ID
	lastSequence  uint64                // of the job learned last
	retainedSince time.Time             // nothing that was learned since then has been forgotten too early
	completeUntil time.Time             // all cancellations confirmed until then are held; zero: unknown
	peerAnswers   map[string]peerAnswer // the last answer of each other controller, by its node name
}

// entry is one cancelled job.
type entry struct {
	sequence uint64 // position in the order in which this register learned of its jobs
	addedAt  time.Time
}

// New returns the empty register of a controller in a cluster of the given number of
// controllers. The tasks of a cancelled job must be gone within taskDeadline of the
// confirmation.
func New(controllers int, taskDeadline time.Duration) *Register {
	return &Register{
		majority:      controllers/2 + 1,
		retention:     taskDeadline + retentionSlack,
		jobs:          map[string]entry{},
		retainedSince: time.Now(),
		peerAnswers:   map[string]peerAnswer{},
	}
}

// Add adds jobs whose cancellation is recorded in the key-value store and returns those that
// were not known yet.
func (r *Register) Add(ids ...string) (added []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.add(ids, time.Now())
}

// add is Add. The caller holds mu.
func (r *Register) add(ids []string, now time.Time) (added []string) {
	for _, id := range ids {
		if _, held := r.jobs[id]; held {
			continue
		}
		r.ensureCapacity(now)
		r.lastSequence++
		r.jobs[id] = entry{sequence: r.lastSequence, addedAt: now}
		added = append(added, id)
	}
	return added
}

// ensureCapacity ensures that one more job can be added. If there are too many that have to be kept,
// it forgets them all and with them what the register could answer for, like a new incarnation
// of the process. The caller holds mu.
func (r *Register) ensureCapacity(now time.Time) {
	if len(r.jobs) < maxJobs {
		return
	}
	r.expire(now)
	if len(r.jobs) < maxJobs {
		return
	}
	r.jobs = map[string]entry{}
	r.retainedSince = now
	r.completeUntil = time.Time{}
}

// expire drops the jobs of which no task can be left. The caller holds mu.
func (r *Register) expire(now time.Time) {
	for id, job := range r.jobs {
		if elapsed(now, job.addedAt) >= r.retention {
			delete(r.jobs, id)
		}
	}
}

// Contains reports whether a job is known to be cancelled.
func (r *Register) Contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, held := r.jobs[id]
	return held
}

// LearnedBefore returns, in no order, the jobs that were learned at least minAge ago and are still
// kept.
func (r *Register) LearnedBefore(minAge time.Duration) (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, job := range r.jobs {
		if elapsed(now, job.addedAt) >= minAge {
			ids = append(ids, id)
		}
	}
	return ids
}

// elapsed returns the time from start to now, by the monotonic clock or by the wall clock,
// whichever says more. One of them may not advance while the process is suspended; by that
// clock alone, what was learned before would pass for fresh.
func elapsed(now, start time.Time) time.Duration {
	monotonic := now.Sub(start)
	wall := now.Round(0).Sub(start.Round(0)) // Round strips the monotonic reading
	return max(monotonic, wall)
}
