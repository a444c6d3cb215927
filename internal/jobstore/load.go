// This file loads the chunks of jobs, as a new leader reads them.

package jobstore

import (
	"errors"
	"fmt"
)

// ErrNoJob is wrapped by errors of chunks without a record of their job.
var ErrNoJob = errors.New("no such job")

// LoadChunk applies the value of the chunk with a number, as a new leader reads it after the record
// of its job and in ascending order of keys. The error wraps ErrNoJob or ErrMalformed; after one the
// Store must not be used.
func (s *Store) LoadChunk(id string, number int, value []byte, revision uint64) error {
	job := s.jobs[id]
	if job == nil {
		return fmt.Errorf("jobstore: chunk %s/%d: %w", id, number, ErrNoJob)
	}
	stored, err := decodeChunkValue(value)
	if err != nil {
		return fmt.Errorf("jobstore: chunk %s/%d: %w", id, number, err)
	}
	tasks := job.addStoredChunk(number, revision)
	job.gangDispatch = gangDispatchUnknown
	if err := job.loadTasks(tasks, &stored); err != nil {
		return fmt.Errorf("jobstore: chunk %s/%d: %w", id, number, err)
	}
	return nil
}

// addStoredChunk notes that the chunk with a number is stored, and returns its tasks.
func (j *Job) addStoredChunk(number int, revision uint64) taskRange {
	if number < j.record.FirstChunk {
		// From before the job was rechunked. It is valid until the chunk with the same
		// tasks that has replaced it is read.
		j.previousChunks = append(j.previousChunks, number)
		return j.tasks.rangeAt(number, j.record.PreviousChunkSize)
	}
	index := number - j.record.FirstChunk
	j.chunks[index] = &chunk{index: index, revision: revision}
	return j.chunkTasks(index)
}

// loadTasks replaces the states of a chunk's tasks by those in its value. The error wraps
// ErrMalformed.
func (j *Job) loadTasks(tasks taskRange, stored *chunkValue) error {
	j.tasks.reset(tasks)
	err := eachInRanges(stored.Done, func(offset int) error {
		task := tasks.first + offset
		if task >= tasks.end {
			return fmt.Errorf("%w: task %d is out of range", ErrMalformed, task)
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
			return fmt.Errorf("%w: attempt of task %d", ErrMalformed, a.Task)
		}
		j.tasks.load(&Attempt{Job: j, Task: a.Task, Number: a.Number, Machine: a.Machine, Incarnation: a.Incarnation, Recorded: true})
	}
	return nil
}

// FinishLoading is called once a new leader has read all records and chunks. It marks as dirty what
// its predecessor left to be written: ends of jobs, and chunks of rechunked ones.
func (s *Store) FinishLoading() {
	for _, job := range s.jobs {
		if job.record.FirstChunk != 0 {
			job.addMissingChunks()
			s.dirty[job] = struct{}{}
		}
		if job.gangHasCompleted() {
			job.tasks.eachWaiting(job.tasks.markDone)
		}
		s.markDirtyIfReadyToEnd(job)
	}
}
