// This file rechunks a job: it divides its tasks into smaller chunks once the key-value store takes
// only smaller values than those for which the chunks were made.
//
// Otherwise such a chunk could be written again only once most of its tasks had ended: a lost replica
// of a service would never start again, and most tasks of a large array would wait for minutes
// while machines have room.
//
// Only the job's record is written for that. The new chunks have numbers beyond those of the old ones
// and are written as any other that has changed; until one is, the old ones stay valid for its
// tasks (Store.LoadChunk). A job is rechunked once at most.

package jobstore

import (
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// rechunkWrite is the batch that rechunks a job.
type rechunkWrite struct {
	job    *Job
	record Record // with the new size of chunks
}

// nextRechunk returns a batch that rechunks the job that arrived first of those that need it, or nil.
func (s *Store) nextRechunk(fence kvstore.Compare, limits BatchLimits) *Batch {
	job := s.firstToRechunk(limits.ValueBytes)
	if job == nil || limits.Mutations < 1 {
		return nil
	}
	write := &rechunkWrite{job: job, record: job.record}
	write.record.ChunkSize = TasksPerChunk(limits.ValueBytes)
	write.record.FirstChunk = rechunkedFirstChunk
	write.record.PreviousChunkSize = job.record.ChunkSize
	write.record.Arrival = job.Arrival
	key := JobKey(job.Spec.ID)
	return &Batch{
		Compares:  []kvstore.Compare{fence, {Key: key, Revision: job.Revision}},
		Mutations: []kvstore.Mutation{{Put: key, Value: wire.Marshal(write.record)}},
		rechunk:   write,
	}
}

// firstToRechunk returns the job that arrived first of those that need to be rechunked, or nil.
func (s *Store) firstToRechunk(valueBytes int) *Job {
	var first *Job
	for job := range s.dirty {
		if !job.needsRechunk(valueBytes) {
			continue
		}
		if first == nil || job.Arrival < first.Arrival {
			first = job
		}
	}
	return first
}

// needsRechunk reports whether a chunk that is to be written exceeds valueBytes and smaller chunks
// would help.
func (j *Job) needsRechunk(valueBytes int) bool {
	wasRechunked := j.record.FirstChunk != 0
	if wasRechunked || j.record.ChunkSize <= TasksPerChunk(valueBytes) {
		return false
	}
	if j.Cancelled || j.readyToEnd() {
		return false
	}
	return j.hasOversizedChunk(valueBytes)
}

// hasOversizedChunk reports whether the value of a dirty chunk exceeds valueBytes.
func (j *Job) hasOversizedChunk(valueBytes int) bool {
	for index, c := range j.chunks {
		if c.dirty && j.chunkValue(index).jsonBytes() > valueBytes {
			return true
		}
	}
	return false
}

// applyRechunk applies that a batch has rechunked a job, at a revision.
func (s *Store) applyRechunk(write *rechunkWrite, revision uint64) {
	job := write.job
	if job.Revision >= revision {
		return // the watch has reported it first
	}
	s.rechunk(job, write.record.ChunkSize)
	job.record, job.Revision = write.record, revision
}

// rechunk divides a job into chunks of chunkSize tasks, none of which is known to be stored yet.
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

// addMissingChunks adds the chunks that are not known to be stored, as dirty since the job was
// submitted.
func (j *Job) addMissingChunks() {
	for index := range j.chunkCount() {
		if j.chunks[index] == nil {
			j.chunks[index] = &chunk{index: index, dirty: true, dirtySince: j.SubmittedAt}
		}
	}
}
