// Package jobstore keeps the records of jobs and of the attempts to run their tasks: the leader's
// copy in memory, and the batches of conditional writes that make it durable.
//
// It does no input or output of its own. The leader's event loop feeds a Store with what it reads
// from the key-value store (Store.ApplyRecord, Store.LoadChunk), starts and ends attempts, which
// marks chunks of tasks as dirty, takes one batch at a time (Store.NextBatch) and reports its
// outcome (Store.BatchCommitted, Store.BatchFailed).
//
// Keys, whose use of the store's write rate docs/records.md explains:
//
//	job/ID         a job while it is unfinished (Record)
//	job/ID/NNNNNN  a chunk of its tasks: which are done, and the live attempts
//	end/ID         the final state of a finished job (FinalState)
package jobstore

import "time"

// Store is the leader's copy of all unfinished jobs. It has no lock: its methods, those of its jobs
// and attempts, and all of their fields are for the leader's event loop alone.
type Store struct {
	jobs  map[string]*Job   // by ID
	dirty map[*Job]struct{} // jobs with a dirty chunk or with an end to record

	// endedIDs are the jobs whose end is recorded while the watch has not yet reported the deletion
	// of their records. Without it a late event would bring an ended job back.
	endedIDs map[string]struct{}

	attemptSequence uint64 // of the last attempt number that was handed out
	endSequence     uint64 // ends of attempts so far: the number of the last one
}

// New returns an empty store.
func New() *Store {
	return &Store{jobs: map[string]*Job{}, dirty: map[*Job]struct{}{}, endedIDs: map[string]struct{}{}}
}

// Job returns an unfinished job, or nil.
func (s *Store) Job(id string) *Job { return s.jobs[id] }

// Each calls f for each unfinished job, in unspecified order.
func (s *Store) Each(f func(*Job)) {
	for _, job := range s.jobs {
		f(job)
	}
}

// Len returns how many jobs are unfinished.
func (s *Store) Len() int { return len(s.jobs) }

// markDirty marks the chunk of a task as changed at now and returns it.
func (s *Store) markDirty(job *Job, task int, now time.Time) *chunk {
	index := job.chunkOf(task)
	changed := job.chunks[index]
	if changed == nil {
		changed = &chunk{index: index}
		job.chunks[index] = changed
	}
	if !changed.dirty {
		changed.dirty, changed.dirtySince = true, now
	}
	s.dirty[job] = struct{}{}
	return changed
}

// markDirtyIfReadyToEnd marks a job as dirty if its end is to be recorded.
func (s *Store) markDirtyIfReadyToEnd(job *Job) {
	if job.readyToEnd() {
		s.dirty[job] = struct{}{}
	}
}

// clearDirtyIfWritten removes a job from the dirty ones once none of its chunks is dirty and its end
// is not to be recorded.
func (s *Store) clearDirtyIfWritten(job *Job) {
	if job.readyToEnd() {
		return
	}
	for _, c := range job.chunks {
		if c.dirty {
			return
		}
	}
	delete(s.dirty, job)
}

// remove removes and returns the job that is stored under an ID, or nil. It need not be the object
// whose end was recorded: a read that began before the end and is answered after the watch has
// reported it brings the job back as another object. Left among the dirty ones, such a job would be
// written again and again, always in vain, at the expense of the write rate that the ends of other
// jobs wait for (docs/incidents/inc-1671.md).
func (s *Store) remove(id string) *Job {
	job := s.jobs[id]
	if job != nil {
		delete(s.jobs, id)
		delete(s.dirty, job)
	}
	return job
}
