// This file rechunks jobs: it divides the tasks of a job into smaller chunks after the key-value store
// has lowered its limit on the size of values below the one for which the chunks were sized.
//
// Guards against chunks that can no longer be written: their values would fit again only after most
// of their tasks had ended. A lost replica of a service would never be restarted, and most tasks of a
// large array would wait for minutes while machines have free capacity.
//
// Rechunking writes only the job's record. The numbers of the new chunks are beyond those of the old
// chunks, and the new chunks are written like any other changed chunk. Until a new chunk is written,
// the old chunks remain valid for its tasks (Store.LoadChunk). A job is rechunked at most once.

package jobstore

import (
	"time"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// rechunkWrite is the part of a batch that rechunks a job.
type rechunkWrite struct {
	job    *Job
	record Record // record to be written, with the new chunk size
}

// nextRechunk returns a batch that rechunks the job returned by firstToRechunk. It returns nil if there
// is no such job or limits allow no mutation.
func (s *Store) nextRechunk(fence kvstore.Compare, limits BatchLimits, now time.Time) *Batch {
	job := s.firstToRechunk(limits.ValueBytes, now)
	if job == nil || limits.Mutations < 1 {
		return nil
	}
	write := &rechunkWrite{job: job, record: job.record}
	write.record.ChunkSize = TasksPerChunk(limits.ValueBytes)
	write.record.FirstChunk = rechunkedFirstChunk
	write.record.PreviousChunkSize = job.record.ChunkSize
	write.record.Arrival = job.Arrival
	builder := newBatchBuilder(fence, limits)
	builder.compare(job.compare())
	value := wire.Marshal(write.record)
	builder.mutate(kvstore.Mutation{Put: JobKey(job.Spec.ID), Value: value}, wire.JSONSize(value))
	builder.batch.rechunk = write
	return builder.batch
}

// firstToRechunk returns the earliest job by arrival that needs to be rechunked, or nil. The key-value
// store accepts values of at most valueBytes. A job whose rechunk was refused is passed over for a while.
func (s *Store) firstToRechunk(valueBytes int, now time.Time) *Job {
	var first *Job
	for job := range s.dirty {
		if now.Before(job.pausedUntil) || !job.needsRechunk(valueBytes) {
			continue
		}
		if first == nil || job.Arrival < first.Arrival {
			first = job
		}
	}
	return first
}

// needsRechunk reports whether the value of a dirty chunk exceeds valueBytes and smaller chunks would
// help. It is false if the job was rechunked before, if its chunks are already sized for valueBytes, or
// if it is cancelled or ready to end.
func (j *Job) needsRechunk(valueBytes int) bool {
	wasRechunked := j.record.FirstChunk != 0
	if wasRechunked || j.record.ChunkSize <= TasksPerChunk(valueBytes) {
		return false
	}
	if j.Cancelled || j.unreadable || j.readyToEnd() {
		return false
	}
	return j.hasOversizedChunk(valueBytes)
}

// hasOversizedChunk reports whether the value of a dirty chunk exceeds valueBytes.
func (j *Job) hasOversizedChunk(valueBytes int) bool {
	for index, c := range j.chunks {
		if c.dirty && wire.JSONSize(wire.Marshal(j.chunkValue(index))) > valueBytes {
			return true
		}
	}
	return false
}

// applyRechunk applies a committed rechunk to the job in memory. The job's record now has the given
// revision.
func (s *Store) applyRechunk(write *rechunkWrite, revision uint64) {
	job := write.job
	if job.Revision >= revision {
		return // the watch has already reported this record or a newer one
	}
	s.rechunk(job, write.record.ChunkSize)
	job.record, job.Revision = write.record, revision
}

// rechunk divides a job into chunks of chunkSize tasks, and marks all of them as dirty, as none of them
// is known to be stored yet. The old chunks become Job.previousChunks.
func (s *Store) rechunk(job *Job, chunkSize int) {
	for index := range job.chunks {
		job.previousChunks = append(job.previousChunks, index)
	}
	job.record.ChunkSize = chunkSize
	job.chunks = map[int]*chunk{}
	job.addMissingChunks()
	for _, attempt := range job.tasks.live {
		if !attempt.Recorded {
			job.chunks[job.chunkOf(attempt.Task)].unrecordedStarts++
		}
	}
	s.dirty[job] = struct{}{}
}

// addMissingChunks adds the chunks that are not known to be stored, marked as dirty since the job's
// submission.
func (j *Job) addMissingChunks() {
	for index := range j.chunkCount() {
		if j.chunks[index] == nil {
			j.chunks[index] = &chunk{index: index, dirty: true, dirtySince: j.SubmittedAt}
		}
	}
}
