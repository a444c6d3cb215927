// This file updates the state in memory from the records of jobs: reads, cancellations and deletions.

package jobstore

import "time"

// ApplyRecord applies the value of the record of the job with an ID at a revision, from a read or from the watch. It
// returns the job and reports whether the job is new or newly cancelled. A revision that is not later
// than the one in memory is ignored. The job is nil if its end is already recorded. The error wraps
// ErrMalformed.
//
// Guards against ended jobs that are added again by a read that is answered late: a record that the Store
// does not hold although the watch has reached its revision has been deleted since
// (docs/incidents/inc-1671.md).
func (s *Store) ApplyRecord(id string, value []byte, revision uint64) (job *Job, changed bool, err error) {
	record, err := DecodeRecord(id, value)
	if err != nil {
		return nil, false, err
	}
	if _, ended := s.endedIDs[id]; ended {
		return nil, false, nil // the watch has not yet reported the end that this leader recorded
	}
	job = s.jobs[id]
	if job != nil && revision <= job.Revision {
		return job, false, nil
	}
	isNew := job == nil
	if isNew && revision <= s.watchedRevision {
		return nil, false, nil
	}
	if isNew {
		job = newJob(&record, revision)
		s.jobs[id] = job
	}
	newlyCancelled := s.updateRecord(job, record, revision)
	return job, isNew || newlyCancelled, nil
}

// WatchReached records that all records of the revision, and the later changes that the watch has
// reported up to it, have been applied.
func (s *Store) WatchReached(revision uint64) { s.watchedRevision = max(s.watchedRevision, revision) }

// newJob returns a job with all of its tasks waiting, from the first of its records that is read.
func newJob(record *Record, revision uint64) *Job {
	return &Job{
		Spec:           record.Spec,
		Arrival:        revision,
		SubmittedAt:    time.UnixMilli(record.SubmittedMS),
		record:         *record,
		tasks:          newTaskTable(record.Spec.Tasks),
		chunks:         map[int]*chunk{},
		unrecordedEnds: map[int]uint64{},
	}
}

// updateRecord replaces the record of a job by a newer one and reports whether it newly cancels the job.
func (s *Store) updateRecord(job *Job, record Record, revision uint64) (newlyCancelled bool) {
	if record.Arrival != 0 {
		job.Arrival = record.Arrival
	}
	if record.ChunkSize != job.record.ChunkSize {
		// A rechunk by this leader was committed, and its batch has not been answered.
		s.rechunk(job, record.ChunkSize)
	}
	newlyCancelled = record.CancelledMS != 0 && !job.Cancelled
	job.record, job.Revision = record, revision
	if newlyCancelled {
		s.cancel(job, time.UnixMilli(record.CancelledMS))
	}
	return newlyCancelled
}

// MarkCancelled cancels a job whose durable cancellation a controller has reported. It returns the job
// if it is newly cancelled, and nil if it is not in the Store or already cancelled. Job.Revision is
// updated only when the record is read or watched. Until then, batches that compare it meet a conflict.
func (s *Store) MarkCancelled(id string, now time.Time) *Job {
	job := s.jobs[id]
	if job == nil || job.Cancelled {
		return nil
	}
	s.cancel(job, now)
	return job
}

// cancel marks a job as cancelled at a time, and as dirty if its end can be recorded.
func (s *Store) cancel(job *Job, at time.Time) {
	job.Cancelled, job.CancelledAt = true, at
	s.markDirtyIfReadyToEnd(job)
}

// RecordFoundDeleted removes a job whose record a read did not find, and returns the job, or nil if the
// Store does not hold it. The end of the job was recorded by a transaction that was not answered, and
// the watch has yet to report the deletion. If the Store does not hold the job, the watch has reported
// the deletion before the read was answered, or the end is known in another way.
func (s *Store) RecordFoundDeleted(id string) *Job {
	job := s.removeEnded(id)
	if job != nil {
		s.endedIDs[id] = struct{}{}
	}
	return job
}

// RecordDeleted removes a job after the watch has reported the deletion of its record. It returns the
// job, or nil if the Store does not hold it.
func (s *Store) RecordDeleted(id string) *Job {
	delete(s.endedIDs, id)
	return s.removeEnded(id)
}

// removeEnded removes a job whose end is recorded, and adds all of its chunks to its garbage. Which of
// them were deleted with the record is not known. A chunk that was not deleted would otherwise stay
// until another leader reads the records. While the batch with the end is in flight, the garbage is left
// to its outcome (BatchCommitted, BatchFailed), which shows what it has deleted.
func (s *Store) removeEnded(id string) *Job {
	job := s.remove(id)
	if job != nil && !job.endInFlight {
		job.addChunksToGarbage()
	}
	return job
}
