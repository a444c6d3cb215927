// Package jobstore keeps the records of jobs and of the attempts to run their tasks: the leader's
// copy in memory, and the batches of conditional writes that make it durable.
//
// The package does no input or output. The leader's event loop
//
//   - applies records that it reads from the key-value store (Store.ApplyRecord, Store.LoadChunk),
//   - starts and ends attempts, which marks chunks of tasks as dirty,
//   - takes one batch at a time (Store.NextBatch), and
//   - reports the outcome of the batch (Store.BatchCommitted, Store.BatchFailed).
//
// A start or an end is recorded once the key-value store is known to hold it.
//
// The keys are as follows; docs/records.md explains how they use the write rate of the key-value store.
//
//	job/ID         an unfinished job (Record)
//	job/ID/NNNNNN  a chunk of the job's tasks: which are done, and the live attempts
//	end/ID         the final state of a finished job (FinalState)
package jobstore

import "time"

// Store is the leader's copy of all unfinished jobs. It has no lock: only the leader's event loop
// may use the Store, its jobs and their attempts.
type Store struct {
	jobs  map[string]*Job   // by ID
	dirty map[*Job]struct{} // jobs with a dirty chunk or an end to record

	// endedIDs holds the IDs of jobs whose end is known to be recorded while the watch has not reported
	// that the record is deleted. Guards against a late event that would add an ended job again.
	endedIDs map[string]struct{}

	watchedRevision uint64 // revision up to which the changes of records have been applied (WatchReached)

	maxChanges int // maximum number of changes in a batch after a refusal (BatchRefused); 0: no maximum

	attemptTerm     uint64 // term of the last allocated attempt number
	attemptSequence uint64 // sequence number in the last allocated attempt number; 0: none allocated
	endSequence     uint64 // sequence number of the last end of an attempt; 0: none has ended
}

// New returns an empty store.
func New() *Store {
	return &Store{jobs: map[string]*Job{}, dirty: map[*Job]struct{}{}, endedIDs: map[string]struct{}{}}
}

// Job returns the unfinished job with an ID, or nil if there is none.
func (s *Store) Job(id string) *Job { return s.jobs[id] }

// Each calls f for each unfinished job, in unspecified order.
func (s *Store) Each(f func(*Job)) {
	for _, job := range s.jobs {
		f(job)
	}
}

// Len returns the number of unfinished jobs.
func (s *Store) Len() int { return len(s.jobs) }

// holds reports whether the job is unfinished. It is false for a job that has ended, also if a late read
// has added another object with its ID.
func (s *Store) holds(job *Job) bool { return s.jobs[job.Spec.ID] == job }

// markDirty marks a task's chunk as dirty since now, and returns the chunk. A chunk that is already
// dirty keeps its earlier time.
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

// markDirtyIfReadyToEnd marks a job as dirty if its end can be recorded.
func (s *Store) markDirtyIfReadyToEnd(job *Job) {
	if job.readyToEnd() {
		s.dirty[job] = struct{}{}
	}
}

// clearDirtyIfWritten removes a job from the dirty jobs if none of its chunks is dirty and it has no end
// to record.
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

// remove removes the job with an ID from the Store and returns it, or nil if there is none.
//
// The job may be another object than the one whose end was recorded: a read that began before the end
// and is answered after the watch has reported the end adds the job again, as a new object. Such a job
// must not stay among the dirty jobs. Its writes would fail and be repeated for ever, and use up the
// write rate that the ends of other jobs need (docs/incidents/inc-1671.md).
func (s *Store) remove(id string) *Job {
	job := s.jobs[id]
	if job != nil {
		delete(s.jobs, id)
		delete(s.dirty, job)
	}
	return job
}
