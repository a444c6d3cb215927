// This file builds a batch: one transaction of the most urgent changes, within its limits.

package jobstore

import (
	"slices"
	"time"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// maxBatchBytes keeps a transaction below the state service's 64 KiB.
const maxBatchBytes = 48 << 10

// Batch is one transaction's worth of changes.
type Batch struct {
	Compares  []kvstore.Compare
	Mutations []kvstore.Mutation
	chunks    []chunkWrite
	ends      []endWrite
	rechunk   *rechunkWrite // nil: of none
	size      int           // in bytes, about
}

type chunkWrite struct {
	job     *Job
	chunk   *chunk
	starts  []*Attempt
	lastEnd uint64 // the last end that it records
}

type endWrite struct {
	job           *Job
	deletedChunks []int // chunks deleted with it
}

// NextBatch builds the most urgent changes into one transaction of at most
// maxOps changes, fenced by the leader's term, or returns nil. What can wait is
// left out once there are spareOps, and what is larger than the state service takes for
// as long as it is. One batch is in flight at a time.
func (b *Store) NextBatch(fence kvstore.Compare, maxOps, spareOps, valueBytes int, now time.Time) *Batch {
	if bt := b.nextRechunk(fence, maxOps, valueBytes); bt != nil {
		return bt
	}
	candidates := b.candidates(now)
	if len(candidates) == 0 || maxOps < 1 {
		return nil
	}
	slices.SortFunc(candidates, candidate.compare)
	out := &Batch{Compares: []kvstore.Compare{fence}}
	for _, k := range candidates {
		if len(out.Mutations) >= maxOps || out.size > maxBatchBytes || k.urgency < urgencyOverdue && len(out.Mutations) >= spareOps {
			break
		}
		if k.chunk == nil && k.urgency >= urgencyOverdue && maxOps-len(out.Mutations) < minEndMutations {
			break // less urgent changes would use up what it waits for
		}
		if k.chunk == nil {
			out.addEnd(k.job, maxOps, spareOps)
			continue
		}
		if !out.addChunk(k.job, k.chunk, valueBytes, b.endSequence) {
			break
		}
	}
	if len(out.Mutations) == 0 {
		return nil
	}
	return out
}

// mutationOverheadBytes is about what a change takes of a transaction beside its value.
const mutationOverheadBytes = 200

// addChunk adds what is to be stored of a chunk, and returns false if the transaction is
// full. A chunk that was laid out for larger values is left out: it fits once enough of its
// tasks have ended.
func (out *Batch) addChunk(j *Job, c *chunk, valueBytes int, ends uint64) bool {
	v := j.chunkValue(c.index)
	if v.jsonBytes() > valueBytes {
		return true
	}
	value := wire.Marshal(v)
	if out.size += len(value) + mutationOverheadBytes; out.size > maxBatchBytes && len(out.Mutations) > 0 {
		return false
	}
	key := j.chunkKey(c.index)
	out.Compares = append(out.Compares, kvstore.Compare{Key: key, Revision: c.revision})
	w := chunkWrite{job: j, chunk: c, lastEnd: ends}
	if c.unrecordedStarts > 0 {
		// A start is only recorded while its job is not cancelled.
		out.Compares = append(out.Compares, kvstore.Compare{Key: JobKey(j.Spec.ID), Revision: j.Revision})
		w.starts = j.unrecordedAttempts(c)
	}
	out.Mutations = append(out.Mutations, kvstore.Mutation{Put: key, Value: value})
	out.chunks = append(out.chunks, w)
	c.dirty, c.unrecordedStarts = false, 0 // set again by changes while it is in flight
	return true
}

// minEndMutations is the least number of changes that the end of a job takes.
const minEndMutations = 2

// addEnd adds the end of a job. Its chunks go with it if that does not hold up others:
// of the five changes that a job of one task costs the fifth can wait.
func (out *Batch) addEnd(j *Job, maxOps, spareOps int) {
	out.size += mutationOverheadBytes
	if maxOps-len(out.Mutations) < minEndMutations {
		return
	}
	status := StatusDone
	if j.Cancelled {
		status = StatusCancelled
	}
	id := j.Spec.ID
	w := endWrite{job: j}
	out.Compares = append(out.Compares, kvstore.Compare{Key: JobKey(id), Revision: j.Revision})
	out.Mutations = append(out.Mutations,
		kvstore.Mutation{Put: EndKey(id), Value: wire.Marshal(FinalState{status, j.Spec.Tasks})},
		kvstore.Mutation{Delete: JobKey(id)})
	for n, c := range j.chunks {
		if c.revision == 0 && !c.dirty {
			continue
		}
		if len(out.Mutations) >= min(maxOps, spareOps) {
			break
		}
		out.Mutations = append(out.Mutations, kvstore.Mutation{Delete: j.chunkKey(n)})
		w.deletedChunks = append(w.deletedChunks, n)
	}
	out.ends = append(out.ends, w)
}
