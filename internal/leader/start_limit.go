package leader

import (
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// This file limits the starts that wait to be recorded.
//
// Guards against leaders that end for memory: hundreds of thousands of tiny tasks fit on the machines at once, while
// the key-value store takes a few thousand starts a second (docs/incidents/unrecorded-starts-fill-memory.md).

const (
	// waitingStartBytes is the memory for a start that waits to be recorded: the attempt, its assignment, and the copy
	// for the next pass.
	waitingStartBytes = 512

	// waitingStartsDivisor is the divisor of the memory that gives the share for such starts. Far more than the starts
	// of ordinary jobs fit into it.
	waitingStartsDivisor = 32
)

// startLimit is the number of tasks that a pass may start.
type startLimit struct {
	allowed int
	idle    bool // no start waits to be recorded
}

func (s *scheduler) startLimit() startLimit {
	maximum := int(s.Settings.Resources.MemBytes / waitingStartsDivisor / waitingStartBytes)
	waiting := s.jobs.store.WaitingStarts()
	numbersLeft := s.jobs.store.AttemptNumbersLeft(s.term.Number())
	return startLimit{allowed: min(max(0, maximum-waiting), numbersLeft), idle: waiting == 0}
}

// tasksOf returns how many of a job's waiting tasks a pass has to place. A gang is placed whole.
func (l startLimit) tasksOf(j *jobstore.Job, waiting int) int {
	if j.IsGang() {
		return waiting
	}
	return min(waiting, l.allowed)
}

// first returns those of a pass's assignments whose tasks may start now. A later pass decides on the others anew. A
// gang starts whole, also beyond the limit if nothing else waits.
func (l startLimit) first(assignments []placement.Assignment, waiting []*jobstore.Job) []placement.Assignment {
	end := min(l.allowed, len(assignments))
	for end > 0 && splitsGang(assignments, end, waiting) {
		end--
	}
	if end > 0 || !l.idle || len(assignments) == 0 {
		return assignments[:end]
	}
	for end++; splitsGang(assignments, end, waiting); end++ {
	}
	return assignments[:end]
}

// splitsGang reports whether some but not all members of a gang are before end.
func splitsGang(assignments []placement.Assignment, end int, waiting []*jobstore.Job) bool {
	if end == len(assignments) {
		return false
	}
	last, next := assignments[end-1].Job, assignments[end].Job
	return last == next && waiting[last].IsGang()
}
