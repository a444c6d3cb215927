package cancellation

// This file contains the state that registers exchange, what a register derives from answers and
// from reads of the records, and how long an answer is valid. The package comment has the argument
// that this is safe.

import (
	"slices"
	"time"

	"tulipshelf/internal/clock"
)

const (
	// answerValidity is the period, from the sending of a request, in which its answer is
	// evidence that the other controller holds the jobs that it was sent. It is limited because
	// that controller may have crashed since, and its next incarnation starts with an empty
	// register. Heartbeats are about a second apart, so the next answer usually arrives before
	// the period ends.
	answerValidity = 1500 * time.Millisecond

	// incarnationMargin is the minimum age that a register must have at a time t for its controller's
	// answer to cover all cancellations confirmed since t. The age counts from retainedSince, usually
	// the start of the incarnation. Half of the margin is necessary: a cancellation may be confirmed
	// by answers that are up to answerValidity old. The other half is a safety margin.
	incarnationMargin = 2 * answerValidity
)

// State is the state of a controller's register, as sent in a heartbeat or in the answer to one.
type State struct {
	Jobs []string // IDs of all jobs in the register, in no particular order

	// Ages holds the time since the start of the retention period of each of Jobs, in the same order. It
	// is nil if the controller runs an older version, which does not send it.
	Ages []time.Duration

	Sequence uint64 // sequence number of the job added last; not sent to other controllers

	// Time since the start of the incarnation or since the register last dropped jobs before the
	// end of their retention period, whichever is shorter.
	RetainedFor time.Duration

	Staleness      time.Duration // time since the latest time up to which the register is complete
	StalenessKnown bool          // whether such a time is known; if false, Staleness has no meaning
}

// peerAnswer describes the last answer of another controller.
type peerAnswer struct {
	askedAt       time.Time // time at which the answered request was sent
	retainedSince time.Time // latest possible retainedSince of its register
	acknowledged  uint64    // sequence number up to which it has merged the jobs of this register
}

// State returns the state of the register for other controllers. It drops expired jobs first.
func (r *Register) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.expire(now)
	ids := make([]string, 0, len(r.jobs))
	ages := make([]time.Duration, 0, len(r.jobs))
	for id, job := range r.jobs {
		ids = append(ids, id)
		ages = append(ages, clock.Elapsed(now, job.keptSince))
	}
	return State{
		Jobs:           ids,
		Ages:           ages,
		Sequence:       r.lastSequence,
		RetainedFor:    now.Sub(r.retainedSince),
		Staleness:      clock.Elapsed(now, r.completeUntil),
		StalenessKnown: !r.completeUntil.IsZero(),
	}
}

// Merge merges the jobs in the state that another controller has sent, as a request or as an answer. It
// returns those that the register did not hold yet.
//
// Guards against jobs that circulate without end and fill the registers: a job that is received again
// after it was dropped keeps the age that it has in the other register.
func (r *Register) Merge(state State) (added []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.merge(state, time.Now())
}

// merge implements Merge. The caller holds mu.
func (r *Register) merge(state State, now time.Time) (added []string) {
	if len(state.Ages) != len(state.Jobs) {
		return r.add(state.Jobs, now)
	}
	for i, id := range state.Jobs {
		keptSince := now.Add(-state.Ages[i])
		if state.Ages[i] >= r.retention {
			continue
		}
		if r.addOne(id, keptSince, now) {
			added = append(added, id)
		} else if job := r.jobs[id]; keptSince.After(job.keptSince) {
			job.keptSince = keptSince // renewed by another controller
			r.jobs[id] = job
		}
	}
	return added
}

// MergeAnswer merges the state that another controller, named node, returned in answer to a
// request. The request was sent at sentAt and carried the State of this register with the
// sequence number seq. By answering, the other controller acknowledges that it has merged that
// State.
func (r *Register) MergeAnswer(node string, seq uint64, sentAt time.Time, state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.merge(state, now)
	r.peerAnswers[node] = peerAnswer{askedAt: sentAt, retainedSince: now.Add(-state.RetainedFor), acknowledged: seq}
	// Guards against a register that counts as complete although it lacks jobs: jobs of the other
	// controller may have been dropped since the request, as this register was full.
	if state.StalenessKnown && sentAt.After(r.retainedSince) {
		r.advance(sentAt.Add(-state.Staleness))
	}
	r.advanceByMajority(now)
}

// MergeRead merges the result of a read of all records, sent at sentAt, in which the given jobs
// were cancelled. It returns the jobs that the register did not hold yet.
func (r *Register) MergeRead(ids []string, sentAt time.Time) (added []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	added = r.add(ids, time.Now())
	// Guards against a register that counts as complete although it lacks jobs: if the read was sent
	// before retainedSince, jobs that it returned may have been dropped since.
	if sentAt.After(r.retainedSince) {
		r.advance(sentAt)
	}
	return added
}

// advanceByMajority advances completeUntil to the latest time s for which a majority of the
// controllers was asked at s or later. Only controllers whose retainedSince is at least
// incarnationMargin before completeUntil count. This controller counts as asked now. The caller
// holds mu.
func (r *Register) advanceByMajority(now time.Time) {
	if r.completeUntil.IsZero() {
		return // answers cover no cancellation confirmed before the incarnations began
	}
	latestStart := r.completeUntil.Add(-incarnationMargin)
	var askedAt []time.Time
	if !r.retainedSince.After(latestStart) {
		askedAt = append(askedAt, now)
	}
	for _, answer := range r.peerAnswers {
		if !answer.retainedSince.After(latestStart) {
			askedAt = append(askedAt, answer.askedAt)
		}
	}
	if len(askedAt) < r.majority {
		return
	}
	latestFirst := func(a, b time.Time) int { return b.Compare(a) }
	slices.SortFunc(askedAt, latestFirst)
	r.advance(askedAt[r.majority-1])
}

// advance sets completeUntil to the given time if that is later. The caller holds mu.
func (r *Register) advance(until time.Time) {
	if until.After(r.completeUntil) {
		r.completeUntil = until
	}
}

// Staleness returns the time since the latest time up to which the register is complete: it holds
// every cancellation that was confirmed until then and whose tasks may still run. If ok is false,
// no such time is known and staleness has no meaning.
func (r *Register) Staleness() (staleness time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clock.Elapsed(time.Now(), r.completeUntil), !r.completeUntil.IsZero()
}

// HeldByMajority reports whether a majority of the controllers, this one included, holds a job's
// cancellation in memory, according to answers to requests that were sent less than answerValidity
// ago. Only then may the cancellation of an unfinished job be confirmed to a user.
func (r *Register) HeldByMajority(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	job, held := r.jobs[id]
	if !held {
		return false
	}
	now := time.Now()
	holders := 1
	for _, answer := range r.peerAnswers {
		acknowledged := answer.acknowledged >= job.sequence
		if acknowledged && clock.Elapsed(now, answer.askedAt) < answerValidity {
			holders++
		}
	}
	return holders >= r.majority
}
