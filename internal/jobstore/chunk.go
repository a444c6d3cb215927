// This file divides the tasks of a job into chunks, each stored under a key of its own, and
// builds the value of a chunk.
//
// The index of a chunk is its position in the job, counted from 0. The number of a chunk is the index
// plus Record.FirstChunk; it is part of the chunk's key.

package jobstore

import "time"

// chunk is the write state of one chunk: the revision of its stored value and the changes that are
// not stored yet.
type chunk struct {
	index            int
	revision         uint64    // revision of the chunk's key; 0 if it is not known to be stored
	dirty            bool      // whether there are changes that no batch holds yet
	dirtySince       time.Time // start of the waiting time of these changes
	unrecordedStarts int       // number of starts that no batch holds yet, also of attempts ended since
	pausedUntil      time.Time // end of the pause after a refusal (Store.BatchRefused)
}

// chunkOf returns the index of the chunk that holds a task.
func (j *Job) chunkOf(task int) int { return task / j.record.ChunkSize }

// chunkCount returns the number of chunks into which the tasks are divided.
func (j *Job) chunkCount() int {
	size := j.record.ChunkSize
	return (len(j.tasks.states) + size - 1) / size
}

// chunkTasks returns the range of tasks in the chunk with the given index.
func (j *Job) chunkTasks(index int) taskRange {
	return j.tasks.rangeAt(index, j.record.ChunkSize)
}

// chunkNumber returns the number of the chunk with the given index, which is part of its key.
func (j *Job) chunkNumber(index int) int { return j.record.FirstChunk + index }

// chunkKey returns the key of the chunk with the given index.
func (j *Job) chunkKey(index int) string { return chunkKey(j.Spec.ID, j.chunkNumber(index)) }

// chunkValue returns the value to be stored for the chunk with the given index.
func (j *Job) chunkValue(index int) *chunkValue {
	tasks := j.chunkTasks(index)
	var value chunkValue
	value.Done = j.doneRanges(tasks)
	for task := tasks.first; task < tasks.end; task++ {
		if a := j.tasks.live[task]; a != nil {
			value.Live = append(value.Live, attemptValue{Task: task, Number: a.Number, Machine: a.Machine, Incarnation: a.Incarnation})
		}
	}
	return &value
}

// doneRanges returns the done tasks among tasks as a text of ranges (rangeWriter). Numbers in it are
// offsets from tasks.first.
func (j *Job) doneRanges(tasks taskRange) string {
	var ranges rangeWriter
	for task := tasks.first; task < tasks.end; task++ {
		if j.tasks.states[task] != taskDone {
			continue
		}
		last := task
		for last+1 < tasks.end && j.tasks.states[last+1] == taskDone {
			last++
		}
		ranges.add(task-tasks.first, last-tasks.first)
		task = last
	}
	return ranges.String()
}

// unrecordedAttempts returns the live attempts that are not recorded yet in the chunk with the given
// index, in ascending order of their tasks.
func (j *Job) unrecordedAttempts(index int) []*Attempt {
	var unrecorded []*Attempt
	tasks := j.chunkTasks(index)
	for task := tasks.first; task < tasks.end; task++ {
		if attempt := j.tasks.live[task]; attempt != nil && !attempt.Recorded {
			unrecorded = append(unrecorded, attempt)
		}
	}
	return unrecorded
}
