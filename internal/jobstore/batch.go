// This file builds batches: transactions of the most urgent changes, within the limits.

package jobstore

import (
	"slices"
	"time"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// minEndMutations is the minimum number of mutations for the end of a job: one puts the final state, one
// deletes the job's record.
const minEndMutations = 2

// Batch holds the changes of one transaction. The leader executes it on condition that all Compares
// hold, and then reports the outcome to Store.BatchCommitted or Store.BatchFailed.
type Batch struct {
	Compares  []kvstore.Compare
	Mutations []kvstore.Mutation
	Bytes     int // size of the transaction in bytes of JSON, or slightly more

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
// whose value exceeds limits.ValueBytes, or is too large for any transaction, is left out until the value
// fits.
//
// The batch is conditional on fence, the compare of the leader's term. Its outcome has to be reported
// before the next call: only one batch may be in flight.
func (s *Store) NextBatch(fence kvstore.Compare, limits BatchLimits, now time.Time) *Batch {
	if batch := s.nextRechunk(fence, limits, now); batch != nil {
		return batch
	}
	candidates := s.candidates(now)
	if len(candidates) == 0 || limits.Mutations < 1 {
		return nil
	}
	slices.SortFunc(candidates, candidate.compare)
	builder := newBatchBuilder(fence, limits)
	builder.lastEnd = s.endSequence
	for _, c := range candidates {
		if s.takesNoMoreChanges(builder.batch) || !builder.add(c) {
			break
		}
	}
	if len(builder.batch.Mutations) == 0 {
		return nil
	}
	return builder.batch
}

// batchBuilder adds candidates to a batch until one of its limits is reached.
type batchBuilder struct {
	batch   *Batch
	limits  BatchLimits
	lastEnd uint64 // Store.endSequence at the time the batch is built
}

// newBatchBuilder returns the builder of a batch that is conditional on fence and has no changes so far.
func newBatchBuilder(fence kvstore.Compare, limits BatchLimits) batchBuilder {
	builder := batchBuilder{batch: &Batch{Bytes: kvstore.EmptyTransactionBytes}, limits: limits}
	builder.compare(fence)
	return builder
}

// add adds a candidate or skips it. It returns false if the batch takes no more candidates.
func (b *batchBuilder) add(c candidate) bool {
	if b.isFullFor(c) {
		return false
	}
	if c.isEnd() {
		return b.addEnd(c.job)
	}
	return b.addChunk(c.job, c.chunk)
}

// isFullFor reports whether the batch takes neither next nor any less urgent candidate.
func (b *batchBuilder) isFullFor(next candidate) bool {
	if b.mutationsLeft() <= 0 {
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

// fits reports whether the transaction may grow by a number of bytes of JSON.
//
// Guards against batches that the key-value store refuses whenever they are sent: it counts the JSON form
// of a transaction, and for hundreds of live attempts that is half as long again as the CBOR form that is
// sent (docs/incidents/batch-over-transaction-limit.md).
func (b *batchBuilder) fits(bytes int) bool {
	return b.batch.Bytes+bytes <= kvstore.UsableTransactionBytes
}

// addChunk adds the write of a chunk, and returns false if the transaction is full. A chunk whose
// value is too large is skipped: the value fits once enough of the chunk's tasks have ended.
func (b *batchBuilder) addChunk(job *Job, changed *chunk) bool {
	value := wire.Marshal(job.chunkValue(changed.index))
	valueBytes := wire.JSONSize(value)
	if valueBytes > b.limits.ValueBytes {
		return true
	}
	key := job.chunkKey(changed.index)
	put := kvstore.Mutation{Put: key, Value: value}
	compares := []kvstore.Compare{{Key: key, Revision: changed.revision}}
	if changed.unrecordedStarts > 0 || changed.revision == 0 {
		// A start must not be recorded once its job is cancelled, nor a chunk be created once its job has
		// ended, however late the transaction is executed.
		compares = append(compares, job.compare())
	}
	if !b.fits(put.Size(valueBytes) + sizeOf(compares)) {
		onlyTooLarge := len(b.batch.Mutations) == 0 // no transaction has room for it
		return onlyTooLarge
	}
	b.compare(compares...)
	b.mutate(put, valueBytes)
	write := chunkWrite{job: job, chunk: changed, lastEnd: b.lastEnd}
	if changed.unrecordedStarts > 0 {
		write.starts = job.unrecordedAttempts(changed.index)
	}
	b.batch.chunks = append(b.batch.chunks, write)
	changed.dirty, changed.unrecordedStarts = false, 0 // changes while in flight set them again
	return true
}

// addEnd adds the end of a job, and returns false if the transaction is full. It skips an end that needs
// more mutations than are left.
func (b *batchBuilder) addEnd(job *Job) bool {
	if b.mutationsLeft() < minEndMutations {
		return true
	}
	id := job.Spec.ID
	final := wire.Marshal(FinalState{Status: job.finalStatus(), Tasks: job.Spec.Tasks})
	finalBytes := wire.JSONSize(final)
	record := job.compare()
	put := kvstore.Mutation{Put: EndKey(id), Value: final}
	deletion := kvstore.Mutation{Delete: JobKey(id)}
	if !b.fits(record.Size() + put.Size(finalBytes) + deletion.Size(0)) {
		return false
	}
	b.compare(record)
	b.mutate(put, finalBytes)
	b.mutate(deletion, 0)
	b.batch.ends = append(b.batch.ends, endWrite{job: job, deletedChunks: b.deleteChunks(job)})
	job.endInFlight = true
	return true
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
		deletion := kvstore.Mutation{Delete: job.chunkKey(index)}
		if len(b.batch.Mutations) >= limit || !b.fits(deletion.Size(0)) {
			break
		}
		b.mutate(deletion, 0)
		deleted = append(deleted, index)
	}
	return deleted
}

// compare adds compares to the transaction.
func (b *batchBuilder) compare(compares ...kvstore.Compare) {
	b.batch.Compares = append(b.batch.Compares, compares...)
	b.batch.Bytes += sizeOf(compares)
}

// mutate adds a mutation whose value has a size to the transaction.
func (b *batchBuilder) mutate(mutation kvstore.Mutation, valueBytes int) {
	b.batch.Mutations = append(b.batch.Mutations, mutation)
	b.batch.Bytes += mutation.Size(valueBytes)
}

// sizeOf returns the size of compares in a transaction, in bytes of JSON.
func sizeOf(compares []kvstore.Compare) int {
	size := 0
	for i := range compares {
		size += compares[i].Size()
	}
	return size
}

// compare returns the compare of the job's record at its present revision.
func (j *Job) compare() kvstore.Compare {
	return kvstore.Compare{Key: JobKey(j.Spec.ID), Revision: j.Revision}
}

// finalStatus returns the FinalState.Status with which the end of the job is recorded.
func (j *Job) finalStatus() string {
	if j.Cancelled {
		return StatusCancelled
	}
	return StatusDone
}
