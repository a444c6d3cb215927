// This file divides the tasks of a job into chunks, each stored under a key of its own, and
// builds the value of a chunk.
//
// A chunk has an index, its position in the job counted from 0, and a number, which stands in its
// key and is counted from Record.FirstChunk.

package jobstore

import "time"

// chunk is what is known of the stored record of a chunk's tasks, and of changes that it lacks.
type chunk struct {
	index            int
	revision         uint64 // of its key; 0: not stored
	dirty            bool
	dirtySince       time.Time
	unrecordedStarts int // starts of its tasks that no batch holds yet
}

// chunkOf returns the index of a task's chunk.
func (j *Job) chunkOf(task int) int { return task / j.record.ChunkSize }

// chunkCount returns how many chunks the tasks take.
func (j *Job) chunkCount() int {
	size := j.record.ChunkSize
	return (len(j.tasks.states) + size - 1) / size
}

// chunkTasks returns the tasks of the chunk with an index.
func (j *Job) chunkTasks(index int) taskRange {
	return j.tasks.rangeAt(index, j.record.ChunkSize)
}

// chunkNumber returns the number in the key of the chunk with an index.
func (j *Job) chunkNumber(index int) int { return j.record.FirstChunk + index }

// chunkKey returns the key of the chunk with an index.
func (j *Job) chunkKey(index int) string { return chunkKey(j.Spec.ID, j.chunkNumber(index)) }

// chunkValue returns what is to be stored of the chunk with an index.
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

// doneRanges returns which of the tasks are done, as ranges that count from the first of them.
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

// unrecordedAttempts returns the attempts of a chunk's tasks that are not recorded, by task.
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
