// This file applies the outcome of a batch to the state in memory.

package jobstore

// BatchCommitted takes the news that the batch was applied at rev. It returns the
// attempts that may now be sent and the jobs that have ended.
func (b *Store) BatchCommitted(bt *Batch, rev uint64) (starts []*Attempt, ended []*Job) {
	for _, w := range bt.chunks {
		w.c.rev = rev
		w.j.sendable = unknown
		for _, a := range w.starts {
			if w.j.live[a.Task] == a {
				a.Recorded = true
				starts = append(starts, a)
			}
		}
		for t, end := range w.j.unwritten {
			if end <= w.ends && t/w.j.record.ChunkSize == w.c.n {
				delete(w.j.unwritten, t)
			}
		}
		b.clean(w.j)
	}
	if bt.layout != nil {
		b.laidOut(bt.layout, rev)
	}
	for _, w := range bt.ends {
		for _, n := range w.gone {
			delete(w.j.chunks, n)
		}
		w.j.leaveChunks()
		if j := b.drop(w.j.Spec.ID); j != nil && j != w.j {
			ended = append(ended, j)
		}
		delete(b.dirty, w.j)
		b.ended[w.j.Spec.ID] = struct{}{}
		ended = append(ended, w.j)
	}
	return starts, ended
}

// BatchFailed takes the news that the batch was not applied, or may not have been.
// Everything in it is written again, under the same conditions: of two
// transactions with the same condition at most one is ever applied.
func (b *Store) BatchFailed(bt *Batch) {
	for _, w := range bt.chunks {
		w.c.dirty = true
		w.c.starts += len(w.starts)
		b.dirty[w.j] = struct{}{}
	}
}

// SetChunkRevision takes the revision found when a chunk's condition has failed: an
// unanswered write of ours was applied after all. Only this leader's term can
// have written it, so memory is the newer state.
func (b *Store) SetChunkRevision(id string, n int, rev uint64) {
	if j := b.jobs[id]; j != nil && j.chunks[n-j.record.FirstChunk] != nil {
		j.chunks[n-j.record.FirstChunk].rev = rev
	}
}
