// This file keeps the state of one job in memory: which tasks wait, are live or done.

package jobstore

import (
	"time"

	"tulipshelf/internal/job"
)

// taskState of a task.
type taskState uint8

// States of a task.
const (
	taskWaiting taskState = iota
	taskLive
	taskDone
)

// Job is an unfinished job.
type Job struct {
	Spec        *job.Spec
	Revision    uint64 // of its record
	Arrival     uint64
	SubmittedAt time.Time
	Cancelled   bool
	CancelledAt time.Time

	record            Record
	tasks             []taskState
	live              map[int]*Attempt
	doneCount         int
	firstMaybeWaiting int // no waiting task below it
	chunks            map[int]*chunk
	previousChunks    []int // numbers of the chunks of the layout before
	garbageChunks     []int // numbers of chunks to delete after the end is recorded

	gangDispatch gangDispatchState // whether all of a gang is recorded, as its attempts are

	unrecordedEnds map[int]uint64 // tasks whose last end is not yet recorded, with its number
	endReadySince  time.Time      // since when its end waits to be recorded
}

// DoneTasks returns how many tasks are done.
func (j *Job) DoneTasks() int { return j.doneCount }

// LiveTasks returns how many tasks have an attempt that is not proven gone.
func (j *Job) LiveTasks() int { return len(j.live) }

// WaitingTasks returns how many tasks wait for a machine.
func (j *Job) WaitingTasks() int {
	if j.Cancelled {
		return 0
	}
	return len(j.tasks) - j.doneCount - len(j.live)
}

// nextWaiting returns the first waiting task at or after from, or -1.
func (j *Job) nextWaiting(from int) int {
	for t := max(from, j.firstMaybeWaiting); t < len(j.tasks); t++ {
		if j.tasks[t] == taskWaiting {
			return t
		}
	}
	return -1
}

// EachAttempt calls f for each live attempt.
func (j *Job) EachAttempt(f func(*Attempt)) {
	for _, a := range j.live {
		f(a)
	}
}

// LiveAttempt returns the live attempt of a task, or nil.
func (j *Job) LiveAttempt(task int) *Attempt { return j.live[task] }

func (j *Job) markDone(task int) {
	j.tasks[task] = taskDone
	j.doneCount++
}

// readyToEnd tells whether a job's end can be recorded: all tasks done, or cancelled
// and no attempt left. It is worked out anew each time: a new leader reads a
// cancelled job before the attempts that are still live.
func (j *Job) readyToEnd() bool {
	return j.doneCount == len(j.tasks) || j.Cancelled && len(j.live) == 0
}
