// This file builds batches: transactions of the most urgent changes, within the limits.

package jobstore

import (
	"slices"
	"time"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

const (
	// maxBatchBytes limits the estimated size of a transaction, in bytes. It leaves a margin below
	// the key-value store's limit of 64 KiB.
	maxBatchBytes = 48 << 10

	// mutationOverheadBytes is the estimated size of a mutation without its value, in bytes.
	mutationOverheadBytes = 200

	// minEndMutations is the minimum number of mutations for the end of a job: one puts the final
	// state, one deletes the job's record.
	minEndMutations = 2
)

// Batch holds the changes of one transaction. The leader executes it on condition that all Compares
// hold, and then reports the outcome to Store.BatchCommitted or Store.BatchFailed.
type Batch struct {
	Compares  []kvstore.Compare
	Mutations []kvstore.Mutation

	chunks  []chunkWrite
	ends    []endWrite
	rechunk *rechunkWrite // nil unless the batch rechunks a job
}

// chunkWrite is the part of a batch that writes a chunk.
type chunkWrite struct {
	job     *Job
	chunk   *chunk
	starts  []*Attempt // attempts whose starts the write contains
	lastEnd uint64     // Store.endSequence when the batch was built; the write contains no later end
}

// endWrite is the part of a batch that records the end of a job.
type endWrite struct {
	job           *Job
	deletedChunks []int // indices of the chunks that the batch deletes
}

// BatchLimits limits a batch to what the key-value store accepts at present.
type BatchLimits struct {
	Mutations      int // maximum number of mutations
	SpareMutations int // a batch with this many mutations takes no further deferrable change
	ValueBytes     int // maximum size of a value, in bytes of JSON
}

// NextBatch builds a transaction of the most urgent changes within limits. It returns nil if nothing
// can be written now. A job that needs to be rechunked comes first, in a batch of its own. A chunk
// whose value exceeds limits.ValueBytes is left out until the value fits.
//
// The batch is conditional on fence, the compare of the leader's term. Its outcome has to be reported
// before the next call: only one batch may be in flight.
func (s *Store) NextBatch(fence kvstore.Compare, limits BatchLimits, now time.Time) *Batch {
	if batch := s.nextRechunk(fence, limits); batch != nil {
		return batch
	}
	candidates := s.candidates(now)
	if len(candidates) == 0 || limits.Mutations < 1 {
		return nil
	}
	slices.SortFunc(candidates, candidate.compare)
	batch := &Batch{Compares: []kvstore.Compare{fence}}
	builder := batchBuilder{batch: batch, limits: limits, lastEnd: s.endSequence}
	for _, c := range candidates {
		if !builder.add(c) {
			break
		}
	}
	if len(batch.Mutations) == 0 {
		return nil
	}
	return batch
}

// batchBuilder adds candidates to a batch until one of its limits is reached.
type batchBuilder struct {
	batch   *Batch
	limits  BatchLimits
	lastEnd uint64 // Store.endSequence at the time the batch is built
	bytes   int    // estimated size of the transaction
}

// add adds a candidate or skips it. It returns false if the batch takes no more candidates.
func (b *batchBuilder) add(c candidate) bool {
	if b.isFullFor(c) {
		return false
	}
	if c.isEnd() {
		b.addEnd(c.job)
		return true
	}
	return b.addChunk(c.job, c.chunk)
}

// isFullFor reports whether the batch takes neither next nor any less urgent candidate.
func (b *batchBuilder) isFullFor(next candidate) bool {
	if b.mutationsLeft() <= 0 || b.bytes > maxBatchBytes {
		return true
	}
	canWait := next.urgency < urgencyOverdue
	if canWait && len(b.batch.Mutations) >= b.limits.SpareMutations {
		return true
	}
	// Guards against starvation of ends: if an urgent end no longer fits, less urgent changes would
	// use up the write rate that it waits for. It goes into the next batch.
	return next.isEnd() && !canWait && b.mutationsLeft() < minEndMutations
}

func (b *batchBuilder) mutationsLeft() int { return b.limits.Mutations - len(b.batch.Mutations) }

// addChunk adds the write of a chunk, and returns false if the transaction is full. A chunk whose
// value is too large is skipped: the value fits once enough of the chunk's tasks have ended.
func (b *batchBuilder) addChunk(job *Job, changed *chunk) bool {
	value := job.chunkValue(changed.index)
	if value.jsonBytes() > b.limits.ValueBytes {
		return true
	}
	encoded := wire.Marshal(value)
	b.bytes += len(encoded) + mutationOverheadBytes
	if b.bytes > maxBatchBytes && len(b.batch.Mutations) > 0 {
		return false
	}
	key := job.chunkKey(changed.index)
	b.compare(key, changed.revision)
	write := chunkWrite{job: job, chunk: changed, lastEnd: b.lastEnd}
	if changed.unrecordedStarts > 0 {
		write.starts = job.unrecordedAttempts(changed.index)
	}
	if changed.unrecordedStarts > 0 || changed.revision == 0 {
		// A start must not be recorded once its job is cancelled, nor a chunk be created once its job has
		// ended, however late the transaction is executed.
		b.compare(JobKey(job.Spec.ID), job.Revision)
	}
	b.mutate(kvstore.Mutation{Put: key, Value: encoded})
	b.batch.chunks = append(b.batch.chunks, write)
	changed.dirty, changed.unrecordedStarts = false, 0 // changes while in flight set them again
	return true
}

// addEnd adds the end of a job, or skips it if it needs more mutations than are left.
func (b *batchBuilder) addEnd(job *Job) {
	b.bytes += mutationOverheadBytes
	if b.mutationsLeft() < minEndMutations {
		return
	}
	id := job.Spec.ID
	final := FinalState{Status: job.finalStatus(), Tasks: job.Spec.Tasks}
	b.compare(JobKey(id), job.Revision)
	b.mutate(kvstore.Mutation{Put: EndKey(id), Value: wire.Marshal(final)})
	b.mutate(kvstore.Mutation{Delete: JobKey(id)})
	b.batch.ends = append(b.batch.ends, endWrite{job: job, deletedChunks: b.deleteChunks(job)})
	job.endInFlight = true
}

// deleteChunks adds deletions of an ended job's chunks as far as there is write rate to spare, and
// returns the indices of these chunks. The other chunks become garbage that is deleted later, so
// that they do not delay other changes. If the first attempt of a job of one task is done and the
// job is not cancelled, the deletion of its chunk is the only one of its mutations that can be deferred.
func (b *batchBuilder) deleteChunks(job *Job) []int {
	var deleted []int
	limit := min(b.limits.Mutations, b.limits.SpareMutations)
	for index, c := range job.chunks {
		if c.revision == 0 && !c.dirty {
			continue
		}
		if len(b.batch.Mutations) >= limit {
			break
		}
		b.mutate(kvstore.Mutation{Delete: job.chunkKey(index)})
		deleted = append(deleted, index)
	}
	return deleted
}

func (b *batchBuilder) compare(key string, revision uint64) {
	b.batch.Compares = append(b.batch.Compares, kvstore.Compare{Key: key, Revision: revision})
}

func (b *batchBuilder) mutate(mutation kvstore.Mutation) {
	b.batch.Mutations = append(b.batch.Mutations, mutation)
}

// finalStatus returns the FinalState.Status with which the end of the job is recorded.
func (j *Job) finalStatus() string {
	if j.Cancelled {
		return StatusCancelled
	}
	return StatusDone
}
