package cancellation

// This file has what a register exchanges with the registers of the other controllers, what
// follows from their answers and from reads of the records, and for how long. The argument is
// in the package comment.

import (
	"slices"
	"time"
)

const (
	// answerValidity is for how long a controller that has answered is taken to hold what it
	// was sent. It may have crashed since, and its next incarnation holds nothing. Heartbeats
	// are about a second apart, so the next answer usually comes before this one is too old.
	answerValidity = 1500 * time.Millisecond

	// incarnationMargin is by how much an incarnation must have begun before a time if it is to
	// answer for all cancellations confirmed since that time. They may have been held up to
	// answerValidity before they were confirmed; as much again is slack.
	incarnationMargin = 2 * answerValidity
)

// State is what a controller says of its register in a heartbeat or in the answer to one.
type State struct {
	Jobs           []string      // all that it holds, in no order
	Sequence       uint64        // number of the job that it learned last; not sent to others
	Memory         time.Duration // for which it has forgotten nothing too early
	Staleness      time.Duration // since the time until which it is complete
	StalenessKnown bool          // whether there is such a time; otherwise Age means nothing
}

// peerAnswer is the last answer of another controller.
type peerAnswer struct {
	askedAt       time.Time // when the request was sent that it answered
	retainedSince time.Time // its memory began no later
	acknowledged  uint64    // it holds the jobs of this register up to that sequence number
}

// State returns what to send to other controllers.
func (r *Register) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.expire(now)
	ids := make([]string, 0, len(r.jobs))
	for id := range r.jobs {
		ids = append(ids, id)
	}
	return State{
		Jobs:           ids,
		Sequence:       r.lastSequence,
		Memory:         now.Sub(r.retainedSince),
		Staleness:      elapsed(now, r.completeUntil),
		StalenessKnown: !r.completeUntil.IsZero(),
	}
}

// MergeAnswer merges the state in the answer of another controller to a request that was sent at
// sentAt with the State of this register at the given sequence number. By answering, the other
// controller says that it has merged that state.
func (r *Register) MergeAnswer(node string, seq uint64, sentAt time.Time, state State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.add(state.Jobs, now)
	r.peerAnswers[node] = peerAnswer{askedAt: sentAt, retainedSince: now.Add(-state.Memory), acknowledged: seq}
	if state.StalenessKnown {
		r.advance(sentAt.Add(-state.Staleness))
	}
	r.advanceByMajority(now)
}

// MergeRead merges a read of all records, sent at sentAt, that found the given jobs cancelled. It
// returns those that were not known yet.
func (r *Register) MergeRead(ids []string, sentAt time.Time) (added []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	added = r.add(ids, time.Now())
	// What such a read returned may have been forgotten if it was sent before memory began.
	if sentAt.After(r.retainedSince) {
		r.advance(sentAt)
	}
	return added
}

// advanceByMajority advances the time until which the register is complete to the latest time
// at which, or later, a majority was asked that answers for everything since. This controller
// counts as asked now. The caller holds mu.
func (r *Register) advanceByMajority(now time.Time) {
	if r.completeUntil.IsZero() {
		return // nobody can answer for all cancellations since ever
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

// advance notes that the register is complete until the given time. The caller holds mu.
func (r *Register) advance(until time.Time) {
	if until.After(r.completeUntil) {
		r.completeUntil = until
	}
}

// Staleness returns how long ago the register was complete: it holds every cancellation that
// was confirmed until then. ok is false if no such time is known.
func (r *Register) Staleness() (staleness time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return elapsed(time.Now(), r.completeUntil), !r.completeUntil.IsZero()
}

// HeldByMajority reports whether a majority of the controllers, this one included, holds a
// job's cancellation in memory, by the answers that are not too old. Only then may a user be
// told of the cancellation of an unfinished job.
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
		if acknowledged && elapsed(now, answer.askedAt) < answerValidity {
			holders++
		}
	}
	return holders >= r.majority
}
