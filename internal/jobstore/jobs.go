// Package jobstore keeps the records of jobs and of attempts to run their tasks:
// the leader's copy in memory and the batches of conditional writes that make
// it durable.
//
// Keys: job/ID is the job while it is unfinished; job/ID/NNNNNN a chunk of its
// tasks, with those done and the live attempts; end/ID its final state.
package jobstore

import (
	"fmt"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// Store is the leader's copy of all unfinished jobs.
type Store struct {
	jobs  map[string]*Job
	dirty map[*Job]struct{}
	ended map[string]struct{} // until the watch has seen them go
	seq   uint64
	ends  uint64 // of attempts, so far
}

// New returns an empty list.
func New() *Store {
	return &Store{jobs: map[string]*Job{}, dirty: map[*Job]struct{}{}, ended: map[string]struct{}{}}
}

// Job returns an unfinished job, or nil.
func (b *Store) Job(id string) *Job { return b.jobs[id] }

// Each calls f for each unfinished job, in no order.
func (b *Store) Each(f func(*Job)) {
	for _, j := range b.jobs {
		f(j)
	}
}

// Len returns how many jobs are unfinished.
func (b *Store) Len() int { return len(b.jobs) }

// ApplyRecord takes a job's record as read at rev. It returns the job and whether
// it is new or newly cancelled.
func (b *Store) ApplyRecord(value []byte, rev uint64) (*Job, bool, error) {
	rec, err := DecodeRecord(value)
	if err != nil {
		return nil, false, err
	}
	if _, over := b.ended[rec.Spec.ID]; over {
		return nil, false, nil // the watch is behind our own write
	}
	j := b.jobs[rec.Spec.ID]
	if j != nil && rev <= j.Revision {
		return j, false, nil
	}
	fresh := j == nil
	if fresh {
		j = &Job{Spec: rec.Spec, Arrival: rev, SubmittedAt: time.UnixMilli(rec.SubmittedMS),
			tasks: make([]TaskState, rec.Spec.Tasks), live: map[int]*Attempt{}, chunks: map[int]*chunk{}, unwritten: map[int]uint64{}}
		b.jobs[rec.Spec.ID] = j
	}
	if rec.Arrival != 0 {
		j.Arrival = rec.Arrival
	}
	newlyCancelled := rec.CancelledMS != 0 && !j.Cancelled
	if !fresh && rec.ChunkSize != j.record.ChunkSize {
		b.layOut(j, rec.ChunkSize, j.SubmittedAt) // an unanswered write of ours was applied
	}
	j.record, j.Revision = rec, rev
	if newlyCancelled {
		j.Cancelled, j.CancelledAt = true, time.UnixMilli(rec.CancelledMS)
		b.checkEnd(j)
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
	b.checkEnd(j)
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
		j.chunks[n] = &chunk{n: n, rev: rev}
	} else {
		size = j.record.PreviousChunkSize // it stands until the one of the new layout is read
		first = n * size
		j.old = append(j.old, n)
	}
	last := min(first+size, len(j.tasks))
	for t := first; t < last; t++ {
		if j.tasks[t] == TaskDone {
			j.done--
		}
		j.tasks[t] = TaskWaiting
		delete(j.live, t)
	}
	j.sendable = unknown
	err := eachInRanges(v.Done, func(i int) error {
		if first+i >= last {
			return fmt.Errorf("jobstore: chunk %s/%d: task out of range", id, n)
		}
		if j.tasks[first+i] != TaskDone {
			j.tasks[first+i] = TaskDone
			j.done++
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, a := range v.Live {
		if a.Task < first || a.Task >= last || j.tasks[a.Task] != TaskWaiting {
			return fmt.Errorf("jobstore: chunk %s/%d: attempt of task %d", id, n, a.Task)
		}
		j.tasks[a.Task] = TaskLive
		j.live[a.Task] = &Attempt{Job: j, Task: a.Task, Number: a.Try, Machine: a.Machine, Incarnation: a.Session, Recorded: true}
	}
	return nil
}

// FinishLoading is called once a new leader has read everything; it ends jobs of
// which nothing is left to do.
func (b *Store) FinishLoading() {
	for _, j := range b.jobs {
		if j.record.FirstChunk != 0 {
			j.layAll(j.SubmittedAt)
			b.dirty[j] = struct{}{}
		}
		if j.IsGang() && j.done > 0 {
			for t, s := range j.tasks {
				if s == TaskWaiting {
					j.finish(t)
				}
			}
		}
		b.checkEnd(j)
	}
}

// NextAttemptNumber returns an attempt number never used before. The tasks of a gang that
// start together share one; of a task, no two attempts have the same.
func (b *Store) NextAttemptNumber(term uint64) uint64 {
	b.seq++
	return job.AttemptNumber(term, b.seq)
}

// StartAttempt makes an attempt. It must not be sent before a batch has recorded it.
func (b *Store) StartAttempt(j *Job, task int, try uint64, machine string, session uint64, now time.Time) *Attempt {
	if j.tasks[task] != TaskWaiting || j.Cancelled {
		panic(fmt.Sprintf("jobstore: start of %s/%d in state %d", j.Spec.ID, task, j.tasks[task]))
	}
	a := &Attempt{Job: j, Task: task, Number: try, Machine: machine, Incarnation: session}
	j.tasks[task] = TaskLive
	j.live[task] = a
	j.sendable = unknown
	for j.next < len(j.tasks) && j.tasks[j.next] != TaskWaiting {
		j.next++
	}
	c := b.touch(j, task, now)
	c.starts++
	return a
}

// RenumberUnrecorded gives attempts that are not yet recorded, and so were never sent, numbers of
// a new term, and tells of each with the number it had. It guards against starts that
// wait to be written when the leader takes a new term: under their old numbers they
// would never be sent, and hold room until that is known (inc-bc39).
func (b *Store) RenumberUnrecorded(term uint64, told func(a *Attempt, was uint64)) {
	for j := range b.dirty {
		j.sendable = unknown
		tries := map[uint64]uint64{} // the tasks of a gang share one
		for _, a := range j.live {
			if a.Recorded {
				continue
			}
			was := a.Number
			if tries[was] == 0 {
				tries[was] = b.NextAttemptNumber(term)
			}
			a.Number = tries[was]
			told(a, was)
		}
	}
}

// EndAttempt takes an attempt that is proven gone: done, or its task waits again.
func (b *Store) EndAttempt(a *Attempt, done bool, now time.Time) {
	j := a.Job
	if j.live[a.Task] != a {
		return
	}
	delete(j.live, a.Task)
	j.sendable = unknown
	if done || j.IsGang() && j.done > 0 {
		j.finish(a.Task)
	} else {
		j.tasks[a.Task] = TaskWaiting
		j.next = min(j.next, a.Task)
	}
	b.ends++
	j.unwritten[a.Task] = b.ends
	b.touch(j, a.Task, now)
	if done && j.IsGang() {
		// The tasks of a gang complete together: those that were proven gone before the
		// first was reported done are done too.
		for t, s := range j.tasks {
			if s == TaskWaiting {
				j.finish(t)
				b.touch(j, t, now)
			}
		}
	}
	b.checkEnd(j)
}

func (b *Store) touch(j *Job, task int, now time.Time) *chunk {
	n := task / j.record.ChunkSize
	c := j.chunks[n]
	if c == nil {
		c = &chunk{n: n}
		j.chunks[n] = c
	}
	if !c.dirty {
		c.dirty, c.since = true, now
	}
	b.dirty[j] = struct{}{}
	return c
}

func (b *Store) checkEnd(j *Job) {
	if j.over() {
		b.dirty[j] = struct{}{}
	}
}
