// This file keeps the state of one job in memory: which tasks wait, are live or done.

package jobstore

import (
	"time"

	"tulipshelf/internal/job"
)

// TaskState of a task.
type TaskState uint8

// States of a task.
const (
	TaskWaiting TaskState = iota
	TaskLive
	TaskDone
)

// Job is an unfinished job.
type Job struct {
	Spec        *job.Spec
	Revision    uint64 // of its record
	Arrival     uint64
	SubmittedAt time.Time
	Cancelled   bool
	CancelledAt time.Time
	Team        int // dense, set by the controller

	record  Record
	tasks   []TaskState
	live    map[int]*Attempt
	done    int
	next    int // no waiting task below it
	chunks  map[int]*chunk
	old     []int // numbers of the chunks of the layout before
	orphans []int // numbers of chunks to delete after the end is recorded

	sendable answer // whether all of a gang is recorded, as its attempts are

	unwritten map[int]uint64 // tasks whose last end is not yet recorded, with its number
	overSince time.Time      // since when its end waits to be recorded
}

// DoneTasks returns how many tasks are done.
func (j *Job) DoneTasks() int { return j.done }

// LiveTasks returns how many tasks have an attempt that is not proven gone.
func (j *Job) LiveTasks() int { return len(j.live) }

// WaitingTasks returns how many tasks wait for a machine.
func (j *Job) WaitingTasks() int {
	if j.Cancelled {
		return 0
	}
	return len(j.tasks) - j.done - len(j.live)
}

// NextWaiting returns the first waiting task at or after from, or -1.
func (j *Job) NextWaiting(from int) int {
	for t := max(from, j.next); t < len(j.tasks); t++ {
		if j.tasks[t] == TaskWaiting {
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

func (j *Job) finish(task int) {
	j.tasks[task] = TaskDone
	j.done++
}

// over tells whether a job's end can be recorded: all tasks done, or cancelled
// and no attempt left. It is worked out anew each time: a new leader reads a
// cancelled job before the attempts that are still live.
func (j *Job) over() bool {
	return j.done == len(j.tasks) || j.Cancelled && len(j.live) == 0
}
