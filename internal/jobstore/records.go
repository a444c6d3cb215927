// This file applies to the state in memory what is known of jobs' own records: what was read of
// them, cancellations and deletions.

package jobstore

import "time"

// ApplyRecord applies a job's record as it was read at a revision, by a read or from the watch. It
// returns the job, and whether that is news: the job is new or newly cancelled. Older revisions
// than the one known are no news; for a job whose end is recorded already the job is nil. The error
// wraps ErrMalformed.
func (s *Store) ApplyRecord(value []byte, revision uint64) (job *Job, changed bool, err error) {
	record, err := DecodeRecord(value)
	if err != nil {
		return nil, false, err
	}
	id := record.Spec.ID
	if _, ended := s.endedIDs[id]; ended {
		return nil, false, nil // the watch is behind the end that was written here
	}
	job = s.jobs[id]
	if job != nil && revision <= job.Revision {
		return job, false, nil
	}
	isNew := job == nil
	if isNew {
		job = newJob(&record, revision)
		s.jobs[id] = job
	}
	newlyCancelled := s.updateRecord(job, record, revision)
	return job, isNew || newlyCancelled, nil
}

// newJob returns a job with none of its tasks started, of which a first record was read.
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

// updateRecord takes over a newer record of a job and reports whether it newly cancels the job.
func (s *Store) updateRecord(job *Job, record Record, revision uint64) (newlyCancelled bool) {
	if record.Arrival != 0 {
		job.Arrival = record.Arrival
	}
	if record.ChunkSize != job.record.ChunkSize {
		// A rechunk that was written here without an answer was applied after all.
		s.rechunk(job, record.ChunkSize)
	}
	newlyCancelled = record.CancelledMS != 0 && !job.Cancelled
	job.record, job.Revision = record, revision
	if newlyCancelled {
		s.cancel(job, time.UnixMilli(record.CancelledMS))
	}
	return newlyCancelled
}

// MarkCancelled applies what another node has reported, that a job is durably cancelled, and returns
// the job if that is news, else nil. The revision of its record is learnt later: until then batches
// with changes of the job meet a conflict.
func (s *Store) MarkCancelled(id string, now time.Time) *Job {
	job := s.jobs[id]
	if job == nil || job.Cancelled {
		return nil
	}
	s.cancel(job, now)
	return job
}

func (s *Store) cancel(job *Job, at time.Time) {
	job.Cancelled, job.CancelledAt = true, at
	s.markDirtyIfReadyToEnd(job)
}

// RecordFoundDeleted removes a job whose record a read has found deleted, and returns it if it was
// unfinished here, else nil. Its end was recorded by a transaction without an answer; the watch has
// yet to report it.
func (s *Store) RecordFoundDeleted(id string) *Job {
	s.endedIDs[id] = struct{}{}
	return s.removeEnded(id)
}

// RecordDeleted removes a job whose record's deletion the watch has reported, and returns it if it
// was unfinished here, else nil.
func (s *Store) RecordDeleted(id string) *Job {
	delete(s.endedIDs, id)
	return s.removeEnded(id)
}

// removeEnded removes a job whose end is recorded. Whether all of its chunks were deleted with it is
// not known, so all of them become garbage; otherwise they would stay until another leader reads
// the records.
func (s *Store) removeEnded(id string) *Job {
	job := s.remove(id)
	if job != nil {
		job.addChunksToGarbage()
	}
	return job
}
