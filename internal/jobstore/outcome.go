// This file applies the outcome of a batch to the state in memory.

package jobstore

// BatchCommitted takes the news that the batch was applied at rev. It returns the
// attempts that may now be sent and the jobs that have ended.
func (b *Store) BatchCommitted(bt *Batch, rev uint64) (starts []*Attempt, ended []*Job) {
	for _, w := range bt.chunks {
		w.chunk.revision = rev
		w.job.gangDispatch = gangDispatchUnknown
		for _, a := range w.starts {
			if w.job.live[a.Task] == a {
				a.Recorded = true
				starts = append(starts, a)
			}
		}
		for t, end := range w.job.unrecordedEnds {
			if end <= w.lastEnd && t/w.job.record.ChunkSize == w.chunk.index {
				delete(w.job.unrecordedEnds, t)
			}
		}
		b.clearDirtyIfWritten(w.job)
	}
	if bt.rechunk != nil {
		b.applyRechunk(bt.rechunk, rev)
	}
	for _, w := range bt.ends {
		for _, n := range w.deletedChunks {
			delete(w.job.chunks, n)
		}
		w.job.addChunksToGarbage()
		if j := b.remove(w.job.Spec.ID); j != nil && j != w.job {
			ended = append(ended, j)
		}
		delete(b.dirty, w.job)
		b.endedIDs[w.job.Spec.ID] = struct{}{}
		ended = append(ended, w.job)
	}
	return starts, ended
}

// BatchFailed takes the news that the batch was not applied, or may not have been.
// Everything in it is written again, under the same conditions: of two
// transactions with the same condition at most one is ever applied.
func (b *Store) BatchFailed(bt *Batch) {
	for _, w := range bt.chunks {
		w.chunk.dirty = true
		w.chunk.unrecordedStarts += len(w.starts)
		b.dirty[w.job] = struct{}{}
	}
}

// SetChunkRevision takes the revision found when a chunk's condition has failed: an
// unanswered write of ours was applied after all. Only this leader's term can
// have written it, so memory is the newer state.
func (b *Store) SetChunkRevision(id string, n int, rev uint64) {
	if j := b.jobs[id]; j != nil && j.chunks[n-j.record.FirstChunk] != nil {
		j.chunks[n-j.record.FirstChunk].revision = rev
	}
}
