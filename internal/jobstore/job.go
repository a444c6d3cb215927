// This file defines Job and the queries on its progress.

package jobstore

import (
	"time"

	"tulipshelf/internal/job"
)

// Job is an unfinished job. Like its Store, it may be used only by the leader's event loop. Code outside
// this package must not write the exported fields.
type Job struct {
	Spec        *job.Spec
	Revision    uint64 // revision of the job's record, as last read or written
	Arrival     uint64 // revision of the job's first record; lower for jobs submitted earlier
	SubmittedAt time.Time
	Cancelled   bool
	CancelledAt time.Time // zero unless Cancelled

	record Record // record as last read or written; defines the division into chunks
	tasks  taskTable

	chunks         map[int]*chunk // by index
	previousChunks []int          // numbers of chunks that precede the rechunk and may be stored
	garbageChunks  []int          // numbers of chunks to delete; empty until the job's end is recorded

	// unrecordedEnds holds the tasks whose last ended attempt has an unrecorded end. The value is the
	// sequence number of that end (Store.endSequence).
	unrecordedEnds map[int]uint64
	endReadySince  time.Time // time at which NextBatch first found the job ready to end; zero: not yet

	pausedUntil time.Time // end of the pause of the job's end and rechunk after a refusal (Store.BatchRefused)

	gangDispatch gangDispatchState

	// unreadable is whether a stored chunk of the job could not be loaded. The states of its tasks are then
	// unknown: none is started, and neither a chunk nor the end of the job is written, until a later leader
	// can load the chunk.
	unreadable bool

	// endInFlight is whether the batch that records the end of the job has not been answered. The answer
	// then determines which of the job's chunks are garbage, whichever of answer and watch comes first.
	endInFlight bool
}

// DoneTasks returns the number of tasks that are done.
func (j *Job) DoneTasks() int { return j.tasks.done }

// LiveTasks returns the number of tasks with an attempt that is not proven gone.
func (j *Job) LiveTasks() int { return len(j.tasks.live) }

// WaitingTasks returns the number of tasks that wait for a machine. It is 0 for a cancelled or an unreadable
// job.
func (j *Job) WaitingTasks() int {
	if j.Cancelled || j.unreadable {
		return 0
	}
	return j.tasks.waiting()
}

// Unreadable reports whether a stored chunk of the job could not be loaded (Store.LoadChunk).
func (j *Job) Unreadable() bool { return j.unreadable }

// EachAttempt calls f for each live attempt, in unspecified order.
func (j *Job) EachAttempt(f func(*Attempt)) {
	for _, attempt := range j.tasks.live {
		f(attempt)
	}
}

// ResultDurable reports whether the latest end of a task is recorded. It is false while the task's chunk
// is not stored.
//
// Ends are tracked for each task, not for each chunk. Guards against machines that have run all of their
// tasks and cannot be returned before the job ends: the chunks of a large array are hardly ever clean
// while it runs, so a check of the whole chunk would nearly always fail.
func (j *Job) ResultDurable(task int) bool {
	_, unrecorded := j.unrecordedEnds[task]
	stored := j.chunks[j.chunkOf(task)]
	return !unrecorded && stored != nil && stored.revision != 0
}

// readyToEnd reports whether the end of the job can be recorded: all of its tasks are done, or it is
// cancelled and has no live attempt. The result is not cached: a new leader reads the record of a
// cancelled job before the chunks with its live attempts, and so finds no live attempt at first.
func (j *Job) readyToEnd() bool {
	if j.unreadable {
		return false
	}
	if j.tasks.done == len(j.tasks.states) {
		return true
	}
	return j.Cancelled && len(j.tasks.live) == 0
}
