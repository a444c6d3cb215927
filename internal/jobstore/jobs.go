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

	"tulipshelf/internal/wire"
)

// Jobs is the leader's copy of all unfinished jobs.
type Jobs struct {
	jobs  map[string]*Job
	dirty map[*Job]struct{}
	ended map[string]struct{} // until the watch has seen them go
	seq   uint64
	ends  uint64 // of attempts, so far
}

// NewJobs returns an empty list.
func NewJobs() *Jobs {
	return &Jobs{jobs: map[string]*Job{}, dirty: map[*Job]struct{}{}, ended: map[string]struct{}{}}
}

// Job returns an unfinished job, or nil.
func (b *Jobs) Job(id string) *Job { return b.jobs[id] }

// Jobs calls f for each unfinished job, in no order.
func (b *Jobs) Jobs(f func(*Job)) {
	for _, j := range b.jobs {
		f(j)
	}
}

// Len returns how many jobs are unfinished.
func (b *Jobs) Len() int { return len(b.jobs) }

// PutJob takes a job's record as read at rev. It returns the job and whether
// it is new or newly cancelled.
func (b *Jobs) PutJob(value []byte, rev uint64) (*Job, bool, error) {
	rec, err := DecodeRecord(value)
	if err != nil {
		return nil, false, err
	}
	if _, over := b.ended[rec.Spec.ID]; over {
		return nil, false, nil // the watch is behind our own write
	}
	j := b.jobs[rec.Spec.ID]
	if j != nil && rev <= j.Rev {
		return j, false, nil
	}
	fresh := j == nil
	if fresh {
		j = &Job{Spec: rec.Spec, Arrival: rev, At: time.UnixMilli(rec.AtMS),
			tasks: make([]State, rec.Spec.Tasks), live: map[int]*Attempt{}, chunks: map[int]*chunk{}, unwritten: map[int]uint64{}}
		b.jobs[rec.Spec.ID] = j
	}
	if rec.Arrival != 0 {
		j.Arrival = rec.Arrival
	}
	newlyCancelled := rec.CancelledMS != 0 && !j.Cancelled
	if !fresh && rec.Chunk != j.record.Chunk {
		b.layOut(j, rec.Chunk, j.At) // an unanswered write of ours was applied
	}
	j.record, j.Rev = rec, rev
	if newlyCancelled {
		j.Cancelled, j.CancelledAt = true, time.UnixMilli(rec.CancelledMS)
		b.checkEnd(j)
	}
	return j, fresh || newlyCancelled, nil
}

// Cancel takes the word of another node that a job is cancelled, durably, and returns
// the job if that is news. The revision of its record is learnt later: until then what is
// written of the job meets a conflict.
func (b *Jobs) Cancel(id string, now time.Time) *Job {
	j := b.jobs[id]
	if j == nil || j.Cancelled {
		return nil
	}
	j.Cancelled, j.CancelledAt = true, now
	b.checkEnd(j)
	return j
}

// PutChunk takes a chunk's value as a new leader reads it.
func (b *Jobs) PutChunk(id string, n int, value []byte, rev uint64) error {
	j := b.jobs[id]
	if j == nil {
		return fmt.Errorf("jobstore: chunk %s/%d without a job", id, n)
	}
	var v chunkValue
	if err := wire.Unmarshal(value, &v); err != nil {
		return fmt.Errorf("jobstore: chunk %s/%d: %w", id, n, err)
	}
	size := j.record.Chunk
	first := (n - j.record.Base) * size
	if n >= j.record.Base {
		n -= j.record.Base
		j.chunks[n] = &chunk{n: n, rev: rev}
	} else {
		size = j.record.Was // it stands until the one of the new layout is read
		first = n * size
		j.old = append(j.old, n)
	}
	last := min(first+size, len(j.tasks))
	for t := first; t < last; t++ {
		if j.tasks[t] == TaskDone {
			j.done--
		}
		j.tasks[t] = Waiting
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
		if a.Task < first || a.Task >= last || j.tasks[a.Task] != Waiting {
			return fmt.Errorf("jobstore: chunk %s/%d: attempt of task %d", id, n, a.Task)
		}
		j.tasks[a.Task] = Live
		j.live[a.Task] = &Attempt{Job: j, Task: a.Task, Try: a.Try, Machine: a.Machine, Session: a.Session, Recorded: true}
	}
	return nil
}

// Loaded is called once a new leader has read everything; it ends jobs of
// which nothing is left to do.
func (b *Jobs) Loaded() {
	for _, j := range b.jobs {
		if j.record.Base != 0 {
			j.layAll(j.At)
			b.dirty[j] = struct{}{}
		}
		if j.Gang() && j.done > 0 {
			for t, s := range j.tasks {
				if s == Waiting {
					j.finish(t)
				}
			}
		}
		b.checkEnd(j)
	}
}

// NextTry returns an attempt number never used before. The tasks of a gang that
// start together share one; of a task, no two attempts have the same.
func (b *Jobs) NextTry(term uint64) uint64 {
	b.seq++
	return term<<termShift | b.seq
}

// Start makes an attempt. It must not be sent before a batch has recorded it.
func (b *Jobs) Start(j *Job, task int, try uint64, machine string, session uint64, now time.Time) *Attempt {
	if j.tasks[task] != Waiting || j.Cancelled {
		panic(fmt.Sprintf("jobstore: start of %s/%d in state %d", j.Spec.ID, task, j.tasks[task]))
	}
	a := &Attempt{Job: j, Task: task, Try: try, Machine: machine, Session: session}
	j.tasks[task] = Live
	j.live[task] = a
	j.sendable = unknown
	for j.next < len(j.tasks) && j.tasks[j.next] != Waiting {
		j.next++
	}
	c := b.touch(j, task, now)
	c.starts++
	return a
}

// Renumber gives attempts that are not yet recorded, and so were never sent, numbers of
// a new term, and tells of each with the number it had. It guards against starts that
// wait to be written when the leader takes a new term: under their old numbers they
// would never be sent, and hold room until that is known (inc-bc39).
func (b *Jobs) Renumber(term uint64, told func(a *Attempt, was uint64)) {
	for j := range b.dirty {
		j.sendable = unknown
		tries := map[uint64]uint64{} // the tasks of a gang share one
		for _, a := range j.live {
			if a.Recorded {
				continue
			}
			was := a.Try
			if tries[was] == 0 {
				tries[was] = b.NextTry(term)
			}
			a.Try = tries[was]
			told(a, was)
		}
	}
}

// End takes an attempt that is proven gone: done, or its task waits again.
func (b *Jobs) End(a *Attempt, done bool, now time.Time) {
	j := a.Job
	if j.live[a.Task] != a {
		return
	}
	delete(j.live, a.Task)
	j.sendable = unknown
	if done || j.Gang() && j.done > 0 {
		j.finish(a.Task)
	} else {
		j.tasks[a.Task] = Waiting
		j.next = min(j.next, a.Task)
	}
	b.ends++
	j.unwritten[a.Task] = b.ends
	b.touch(j, a.Task, now)
	if done && j.Gang() {
		// The tasks of a gang complete together: those that were proven gone before the
		// first was reported done are done too.
		for t, s := range j.tasks {
			if s == Waiting {
				j.finish(t)
				b.touch(j, t, now)
			}
		}
	}
	b.checkEnd(j)
}

func (b *Jobs) touch(j *Job, task int, now time.Time) *chunk {
	n := task / j.record.Chunk
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

func (b *Jobs) checkEnd(j *Job) {
	if j.over() {
		b.dirty[j] = struct{}{}
	}
}
