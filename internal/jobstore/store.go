// Package jobstore keeps the records of jobs and of attempts to run their tasks:
// the leader's copy in memory and the batches of conditional writes that make
// it durable.
//
// Keys: job/ID is the job while it is unfinished; job/ID/NNNNNN a chunk of its
// tasks, with those done and the live attempts; end/ID its final state.
package jobstore

import "time"

// Store is the leader's copy of all unfinished jobs.
type Store struct {
	jobs            map[string]*Job
	dirty           map[*Job]struct{}
	endedIDs        map[string]struct{} // until the watch has seen them go
	attemptSequence uint64
	endSequence     uint64 // of attempts, so far
}

// New returns an empty list.
func New() *Store {
	return &Store{jobs: map[string]*Job{}, dirty: map[*Job]struct{}{}, endedIDs: map[string]struct{}{}}
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

func (b *Store) markDirty(j *Job, task int, now time.Time) *chunk {
	n := task / j.record.ChunkSize
	c := j.chunks[n]
	if c == nil {
		c = &chunk{index: n}
		j.chunks[n] = c
	}
	if !c.dirty {
		c.dirty, c.dirtySince = true, now
	}
	b.dirty[j] = struct{}{}
	return c
}

func (b *Store) markDirtyIfReadyToEnd(j *Job) {
	if j.readyToEnd() {
		b.dirty[j] = struct{}{}
	}
}

func (b *Store) clearDirtyIfWritten(j *Job) {
	if j.readyToEnd() {
		return
	}
	for _, c := range j.chunks {
		if c.dirty {
			return
		}
	}
	delete(b.dirty, j)
}

// remove takes the job that stands under an ID out of the list and returns it. It need
// not be the one that has ended: a read that began before the end and is answered
// after the watch has told of it brings the job back. Left among what is to be
// written, such a job was written again and again, each time in vain, and used up the
// rate that the ends of others waited for (inc-1671: 175 cancelled jobs not ended, 105
// empty machines not returned).
func (b *Store) remove(id string) *Job {
	j := b.jobs[id]
	if j != nil {
		delete(b.jobs, id)
		delete(b.dirty, j)
	}
	return j
}
