// This file holds a job and what can be asked about its progress.

package jobstore

import (
	"time"

	"tulipshelf/internal/job"
)

// Job is an unfinished job. Like its Store it is for the leader's event loop alone; the exported
// fields are read only outside this package.
type Job struct {
	Spec        *job.Spec
	Revision    uint64 // of its record, as last read or written
	Arrival     uint64 // revision of its first record: jobs that were submitted earlier have smaller ones
	SubmittedAt time.Time
	Cancelled   bool
	CancelledAt time.Time // zero unless Cancelled

	record Record // as last read or written; the chunks in memory are divided as it says
	tasks  taskTable

	chunks         map[int]*chunk // by index
	previousChunks []int          // numbers of stored chunks from before the job was rechunked
	garbageChunks  []int          // numbers of stored chunks to delete now that the end is recorded

	// unrecordedEnds has, for each task whose last end is not recorded yet, that end's number in
	// the order of Store.endSequence.
	unrecordedEnds map[int]uint64
	endReadySince  time.Time // when the end was first found to be ready; zero: not yet

	gangDispatch gangDispatchState
}

// DoneTasks returns how many tasks are done.
func (j *Job) DoneTasks() int { return j.tasks.done }

// LiveTasks returns how many tasks have an attempt that is not proven gone.
func (j *Job) LiveTasks() int { return len(j.tasks.live) }

// WaitingTasks returns how many tasks wait for a machine; none of a cancelled job do.
func (j *Job) WaitingTasks() int {
	if j.Cancelled {
		return 0
	}
	return j.tasks.waiting()
}

// EachAttempt calls f for each live attempt, in unspecified order.
func (j *Job) EachAttempt(f func(*Attempt)) {
	for _, attempt := range j.tasks.live {
		f(attempt)
	}
}

// ResultDurable reports whether the last end of a task is recorded. It is kept for each task, as a
// whole chunk is hardly ever clean while a large array runs: by the chunk, machines that had run
// all of their tasks could not be returned until the array ended.
func (j *Job) ResultDurable(task int) bool {
	_, unrecorded := j.unrecordedEnds[task]
	stored := j.chunks[j.chunkOf(task)]
	return !unrecorded && stored != nil && stored.revision != 0
}

// readyToEnd reports whether the end of the job can be recorded: all of its tasks are done, or it is
// cancelled and has no live attempt. It is computed each time: a new leader reads a cancelled job
// before the attempts that are still live.
func (j *Job) readyToEnd() bool {
	if j.tasks.done == len(j.tasks.states) {
		return true
	}
	return j.Cancelled && len(j.tasks.live) == 0
}
