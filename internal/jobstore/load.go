// This file applies what is read from the key-value store: records, chunks and deletions.

package jobstore

import (
	"fmt"
	"time"

	"tulipshelf/internal/wire"
)

// ApplyRecord takes a job's record as read at rev. It returns the job and whether
// it is new or newly cancelled.
func (b *Store) ApplyRecord(value []byte, rev uint64) (*Job, bool, error) {
	rec, err := DecodeRecord(value)
	if err != nil {
		return nil, false, err
	}
	if _, over := b.endedIDs[rec.Spec.ID]; over {
		return nil, false, nil // the watch is behind our own write
	}
	j := b.jobs[rec.Spec.ID]
	if j != nil && rev <= j.Revision {
		return j, false, nil
	}
	fresh := j == nil
	if fresh {
		j = &Job{Spec: rec.Spec, Arrival: rev, SubmittedAt: time.UnixMilli(rec.SubmittedMS),
			tasks: make([]taskState, rec.Spec.Tasks), live: map[int]*Attempt{}, chunks: map[int]*chunk{}, unrecordedEnds: map[int]uint64{}}
		b.jobs[rec.Spec.ID] = j
	}
	if rec.Arrival != 0 {
		j.Arrival = rec.Arrival
	}
	newlyCancelled := rec.CancelledMS != 0 && !j.Cancelled
	if !fresh && rec.ChunkSize != j.record.ChunkSize {
		b.rechunk(j, rec.ChunkSize, j.SubmittedAt) // an unanswered write of ours was applied
	}
	j.record, j.Revision = rec, rev
	if newlyCancelled {
		j.Cancelled, j.CancelledAt = true, time.UnixMilli(rec.CancelledMS)
		b.markDirtyIfReadyToEnd(j)
	}
	return j, fresh || newlyCancelled, nil
}

// MarkCancelled takes the word of another node that a job is cancelled, durably, and returns
// the job if that is news. The revision of its record is learnt later: until then what is
// written of the job meets a conflict.
func (b *Store) MarkCancelled(id string, now time.Time) *Job {
	j := b.jobs[id]
	if j == nil || j.Cancelled {
		return nil
	}
	j.Cancelled, j.CancelledAt = true, now
	b.markDirtyIfReadyToEnd(j)
	return j
}

// LoadChunk takes a chunk's value as a new leader reads it.
func (b *Store) LoadChunk(id string, n int, value []byte, rev uint64) error {
	j := b.jobs[id]
	if j == nil {
		return fmt.Errorf("jobstore: chunk %s/%d without a job", id, n)
	}
	var v chunkValue
	if err := wire.Unmarshal(value, &v); err != nil {
		return fmt.Errorf("jobstore: chunk %s/%d: %w", id, n, err)
	}
	size := j.record.ChunkSize
	first := (n - j.record.FirstChunk) * size
	if n >= j.record.FirstChunk {
		n -= j.record.FirstChunk
		j.chunks[n] = &chunk{index: n, revision: rev}
	} else {
		size = j.record.PreviousChunkSize // it stands until the one of the new layout is read
		first = n * size
		j.previousChunks = append(j.previousChunks, n)
	}
	last := min(first+size, len(j.tasks))
	for t := first; t < last; t++ {
		if j.tasks[t] == taskDone {
			j.doneCount--
		}
		j.tasks[t] = taskWaiting
		delete(j.live, t)
	}
	j.gangDispatch = gangDispatchUnknown
	err := eachInRange(v.Done, func(i int) error {
		if first+i >= last {
			return fmt.Errorf("jobstore: chunk %s/%d: task out of range", id, n)
		}
		if j.tasks[first+i] != taskDone {
			j.tasks[first+i] = taskDone
			j.doneCount++
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, a := range v.Live {
		if a.Task < first || a.Task >= last || j.tasks[a.Task] != taskWaiting {
			return fmt.Errorf("jobstore: chunk %s/%d: attempt of task %d", id, n, a.Task)
		}
		j.tasks[a.Task] = taskLive
		j.live[a.Task] = &Attempt{Job: j, Task: a.Task, Number: a.Number, Machine: a.Machine, Incarnation: a.Incarnation, Recorded: true}
	}
	return nil
}

// FinishLoading is called once a new leader has read everything; it ends jobs of
// which nothing is left to do.
func (b *Store) FinishLoading() {
	for _, j := range b.jobs {
		if j.record.FirstChunk != 0 {
			j.addMissingChunks(j.SubmittedAt)
			b.dirty[j] = struct{}{}
		}
		if j.IsGang() && j.doneCount > 0 {
			for t, s := range j.tasks {
				if s == taskWaiting {
					j.markDone(t)
				}
			}
		}
		b.markDirtyIfReadyToEnd(j)
	}
}

// RecordFoundDeleted drops a job whose record a read has found deleted: its end was recorded, by a
// transaction that had no answer. The watch has yet to tell of it.
func (b *Store) RecordFoundDeleted(id string) *Job {
	b.endedIDs[id] = struct{}{}
	return b.removeEnded(id)
}

// RecordDeleted drops a job of whose record's deletion the watch tells.
func (b *Store) RecordDeleted(id string) *Job {
	delete(b.endedIDs, id)
	return b.removeEnded(id)
}

// removeEnded drops a job that has ended. Whether all of its chunks were deleted with it is not
// known, so their deletion is left to OrphanOps; otherwise they stayed until another leader
// read the records (TestLimitsLoweredUnderLoad).
func (b *Store) removeEnded(id string) *Job {
	j := b.remove(id)
	if j != nil {
		j.addChunksToGarbage()
	}
	return j
}
