// This file builds a batch: one transaction of the most urgent changes, within its limits.

package jobstore

import (
	"slices"
	"time"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

const (
	// maxBatchBytes keeps a transaction well below the 64 KiB that the key-value store takes.
	maxBatchBytes = 48 << 10

	// mutationOverheadBytes is about what a mutation takes of a transaction beside its value.
	mutationOverheadBytes = 200

	// minEndMutations is the least number of mutations for the end of a job: the final state is
	// put and the record deleted.
	minEndMutations = 2
)

// Batch is one transaction's changes. The leader executes it, if Compares hold, and then reports the
// outcome to Store.BatchCommitted or Store.BatchFailed.
type Batch struct {
	Compares  []kvstore.Compare
	Mutations []kvstore.Mutation

	chunks  []chunkWrite
	ends    []endWrite
	rechunk *rechunkWrite // nil: none
}

// chunkWrite is the part of a batch that writes a chunk.
type chunkWrite struct {
	job     *Job
	chunk   *chunk
	starts  []*Attempt // that it records
	lastEnd uint64     // it records the ends up to this one in the order of Store.endSequence
}

// endWrite is the part of a batch that records the end of a job.
type endWrite struct {
	job           *Job
	deletedChunks []int // indices of the chunks that it deletes
}

// BatchLimits is what one batch may hold, as the key-value store allows it now.
type BatchLimits struct {
	Mutations      int // at most
	SpareMutations int // from so many on changes that can wait are left out
	ValueBytes     int // of the largest value that the key-value store takes
}

// NextBatch builds a transaction of the most urgent changes within limits that is executed only while
// fence holds, the compare of the leader's term. It returns nil if there is nothing to write. Chunks
// whose value is too large are left out until it fits. The outcome has to be reported before the next call: one
// batch is in flight at a time.
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
	lastEnd uint64 // Store.endSequence
	bytes   int    // of the transaction, about
}

// add adds a candidate, or leaves it out. It returns false if the batch takes no more candidates.
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

// isFullFor reports whether the batch takes neither the next candidate nor any less urgent one.
func (b *batchBuilder) isFullFor(next candidate) bool {
	if b.mutationsLeft() <= 0 || b.bytes > maxBatchBytes {
		return true
	}
	canWait := next.urgency < urgencyOverdue
	if canWait && len(b.batch.Mutations) >= b.limits.SpareMutations {
		return true
	}
	// An urgent end that does not fit any more must have the next batch, so less urgent changes
	// must not use up the rate that it waits for.
	return next.isEnd() && !canWait && b.mutationsLeft() < minEndMutations
}

func (b *batchBuilder) mutationsLeft() int { return b.limits.Mutations - len(b.batch.Mutations) }

// addChunk adds what is to be stored of a chunk, and returns false if the transaction is full. A
// chunk whose value is too large is left out: it fits once enough of its tasks have ended.
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
		// A start must not be recorded once its job is cancelled.
		b.compare(JobKey(job.Spec.ID), job.Revision)
		write.starts = job.unrecordedAttempts(changed.index)
	}
	b.mutate(kvstore.Mutation{Put: key, Value: encoded})
	b.batch.chunks = append(b.batch.chunks, write)
	changed.dirty, changed.unrecordedStarts = false, 0 // changes while it is in flight set them again
	return true
}

// addEnd adds the end of a job, unless it needs more mutations than are left.
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
}

// deleteChunks adds the deletion of a job's chunks as far as it holds up no other changes, and
// returns their indices. The rest becomes garbage that is deleted later: of the mutations that a
// job of one task costs in all, only this one can wait.
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

// finalStatus returns the FinalState.Status of a job whose end is recorded.
func (j *Job) finalStatus() string {
	if j.Cancelled {
		return StatusCancelled
	}
	return StatusDone
}
