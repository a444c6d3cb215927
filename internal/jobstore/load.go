// This file loads the stored chunks of jobs into the Store of a new leader.

package jobstore

import (
	"errors"
	"fmt"
)

// ErrNoJob is wrapped by the errors for chunks of a job that the Store does not hold.
var ErrNoJob = errors.New("no such job")

// LoadChunk loads the value of the chunk with a number, which a new leader has read. It must be called
// after ApplyRecord for the chunk's job, and in ascending order of keys. The error wraps ErrNoJob or
// ErrMalformed.
//
// After ErrMalformed the job is unreadable: none of its tasks is started. Guards against tasks that run
// twice, as those of the chunk would seem to wait (docs/incidents/unreadable-values.md).
func (s *Store) LoadChunk(id string, number int, value []byte, revision uint64) error {
	job := s.jobs[id]
	if job == nil {
		return fmt.Errorf("jobstore: load chunk %s/%d: %w", id, number, ErrNoJob)
	}
	if err := job.loadChunk(number, value, revision); err != nil {
		job.unreadable = true
		return fmt.Errorf("jobstore: load chunk %s/%d: %w", id, number, err)
	}
	return nil
}

// loadChunk implements LoadChunk.
func (j *Job) loadChunk(number int, value []byte, revision uint64) error {
	stored, err := decodeChunkValue(value)
	if err != nil {
		return err
	}
	tasks := j.addStoredChunk(number, revision)
	j.gangDispatch = gangDispatchUnknown
	return j.loadTasks(tasks, &stored)
}

// addStoredChunk adds the chunk with a number as stored at a revision, and returns its tasks.
func (j *Job) addStoredChunk(number int, revision uint64) taskRange {
	if number < j.record.FirstChunk {
		// This chunk precedes a rechunk. Its states are valid until they are replaced by those
		// of a new chunk with the same tasks.
		j.previousChunks = append(j.previousChunks, number)
		return j.tasks.rangeAt(number, j.record.PreviousChunkSize)
	}
	index := number - j.record.FirstChunk
	j.chunks[index] = &chunk{index: index, revision: revision}
	return j.chunkTasks(index)
}

// loadTasks replaces the states of a chunk's tasks by those in the chunk's value. The error wraps
// ErrMalformed.
func (j *Job) loadTasks(tasks taskRange, stored *chunkValue) error {
	j.tasks.reset(tasks)
	err := eachInRanges(stored.Done, func(offset int) error {
		task := tasks.first + offset
		if task >= tasks.end {
			return fmt.Errorf("%w: done task %d is beyond the chunk, which ends before task %d", ErrMalformed, task, tasks.end)
		}
		if j.tasks.states[task] != taskDone {
			j.tasks.markDone(task)
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, a := range stored.Live {
		inRange := tasks.first <= a.Task && a.Task < tasks.end
		if !inRange || j.tasks.states[a.Task] != taskWaiting {
			return fmt.Errorf("%w: live attempt of task %d, which is done, has another attempt or is not in [%d, %d)",
				ErrMalformed, a.Task, tasks.first, tasks.end)
		}
		j.tasks.load(&Attempt{Job: j, Task: a.Task, Number: a.Number, Machine: a.Machine, Incarnation: a.Incarnation, Recorded: true})
	}
	return nil
}

// FinishLoading marks as dirty the changes that the previous leader left unwritten: ends of jobs, and
// chunks of rechunked jobs. It also marks the waiting tasks of a gang as done if another of its tasks is
// done. A new leader calls it once, after it has loaded all records and chunks.
func (s *Store) FinishLoading() {
	for _, job := range s.jobs {
		if job.record.FirstChunk != 0 {
			job.addMissingChunks()
			s.dirty[job] = struct{}{}
		}
		if job.gangHasDoneTask() {
			job.tasks.eachWaiting(job.tasks.markDone)
		}
		s.markDirtyIfReadyToEnd(job)
	}
}
