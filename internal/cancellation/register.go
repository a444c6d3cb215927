package cancellation

// This file contains the set of cancelled jobs and its retention.

import (
	"sync"
	"time"

	"tulipshelf/internal/clock"
)

// retentionSlack is the part of a job's retention period that exceeds the deadline of its tasks.
// The deadline counts from the confirmation, but the retention period starts when the job is added
// to the first register, or is renewed (Register.Renew), shortly before the confirmation.
const retentionSlack = 15 * time.Second

// renewAfter is the time since the start of a job's retention period after which the cancellation is
// not confirmed without a renewal. It leaves most of retentionSlack for the replication of the renewal.
const renewAfter = retentionSlack / 3

// maxJobs is the maximum number of jobs in a register. One message between controllers carries
// all of them, and controllers of earlier versions accept no larger messages (docs/size.md).
const maxJobs = 4096

// Register is one controller's replica of the set of cancelled jobs. It lives in memory only:
// a new incarnation of the process starts with an empty one. It is safe for concurrent use.
type Register struct {
	majority  int           // number of controllers that form a majority, this one included
	retention time.Duration // period for which a job is kept after it was added or renewed

	mu           sync.Mutex       // guards the fields below
	jobs         map[string]entry // cancelled jobs by job ID
	lastSequence uint64           // sequence number of the job added last

	// Start of the incarnation, or the last time at which jobs were dropped before the end of
	// their retention period.
	retainedSince time.Time

	// Time up to which the register is complete: it holds every cancellation that was confirmed
	// until then and whose tasks may still run. Zero if no such time is known.
	completeUntil time.Time

	peerAnswers map[string]peerAnswer // last answer of each other controller, by its node name
}

// entry describes one cancelled job in a register.
type entry struct {
	sequence  uint64    // position in the order in which jobs were added to this register or renewed
	addedAt   time.Time // when the job was added, or earlier if another register added it before
	keptSince time.Time // start of the retention period
}

// New returns an empty register for a controller in a cluster of the given number of
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
// the register did not hold yet.
func (r *Register) Add(ids ...string) (added []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.add(ids, time.Now())
}

// add implements Add. The caller holds mu.
func (r *Register) add(ids []string, now time.Time) (added []string) {
	for _, id := range ids {
		if r.addOne(id, now, now) {
			added = append(added, id)
		}
	}
	return added
}

// addOne adds a job whose retention period began at keptSince, and returns false if the register holds
// it already. The caller holds mu.
func (r *Register) addOne(id string, keptSince, now time.Time) bool {
	if _, held := r.jobs[id]; held {
		return false
	}
	r.ensureCapacity(now)
	r.lastSequence++
	r.jobs[id] = entry{sequence: r.lastSequence, addedAt: keptSince, keptSince: keptSince}
	return true
}

// Renew begins the retention period of a job anew, unless it began less than renewAfter ago or the
// register does not hold the job. The other controllers then have to acknowledge the job again. It is
// called before the cancellation is confirmed to a user.
//
// Guards against a register that drops a job before the deadline of its tasks: the deadline counts from
// the confirmation, which may come long after the job was added.
func (r *Register) Renew(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job, held := r.jobs[id]
	now := time.Now()
	if !held || clock.Elapsed(now, job.keptSince) < renewAfter {
		return
	}
	r.lastSequence++
	job.sequence, job.keptSince = r.lastSequence, now
	r.jobs[id] = job
}

// ensureCapacity ensures that one more job can be added. If the register is full of jobs that are
// still within their retention period, it drops all of them, sets retainedSince to now and clears
// completeUntil. Like the register of a new incarnation of the process, the register then covers no
// earlier cancellation. The caller holds mu.
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

// expire drops the jobs whose retention period has ended. No task of theirs can be left. The
// caller holds mu.
func (r *Register) expire(now time.Time) {
	for id, job := range r.jobs {
		if clock.Elapsed(now, job.keptSince) >= r.retention {
			delete(r.jobs, id)
		}
	}
}

// Contains reports whether the register holds the cancellation of a job.
func (r *Register) Contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, held := r.jobs[id]
	return held
}

// AddedBefore returns, in no particular order, the jobs that were added to this register, or to the one
// from which it received them, at least minAge ago and are still kept.
func (r *Register) AddedBefore(minAge time.Duration) (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, job := range r.jobs {
		if clock.Elapsed(now, job.addedAt) >= minAge {
			ids = append(ids, id)
		}
	}
	return ids
}
