// This file applies the outcome of a batch to the state in memory.

package jobstore

// BatchCommitted applies that a batch was executed, at a revision. It returns the attempts that
// it has recorded, whose starts may now be sent (Attempt.Dispatchable), and the jobs that have
// ended.
func (s *Store) BatchCommitted(batch *Batch, revision uint64) (starts []*Attempt, ended []*Job) {
	for _, write := range batch.chunks {
		starts = write.recordStarts(starts)
		write.recordEnds()
		write.chunk.revision = revision
		write.job.gangDispatch = gangDispatchUnknown
		s.clearDirtyIfWritten(write.job)
	}
	if batch.rechunk != nil {
		s.applyRechunk(batch.rechunk, revision)
	}
	for _, write := range batch.ends {
		if duplicate := s.applyEnd(write); duplicate != nil {
			ended = append(ended, duplicate)
		}
		ended = append(ended, write.job)
	}
	return starts, ended
}

// recordStarts marks the attempts as recorded whose starts the write holds, and appends those that
// are still live to recorded.
func (w *chunkWrite) recordStarts(recorded []*Attempt) []*Attempt {
	for _, attempt := range w.starts {
		if w.job.tasks.live[attempt.Task] == attempt {
			attempt.Recorded = true
			recorded = append(recorded, attempt)
		}
	}
	return recorded
}

// recordEnds forgets the ends of attempts that the write holds. Later ones are not in it.
func (w *chunkWrite) recordEnds() {
	for task, sequence := range w.job.unrecordedEnds {
		if sequence <= w.lastEnd && w.job.chunkOf(task) == w.chunk.index {
			delete(w.job.unrecordedEnds, task)
		}
	}
}

// applyEnd removes a job whose end is recorded. If another object stands under its ID, as a late read
// has brought the job back (Store.remove), it returns that one.
func (s *Store) applyEnd(write endWrite) (duplicate *Job) {
	ended := write.job
	for _, index := range write.deletedChunks {
		delete(ended.chunks, index)
	}
	ended.addChunksToGarbage()
	current := s.remove(ended.Spec.ID)
	delete(s.dirty, ended)
	s.endedIDs[ended.Spec.ID] = struct{}{}
	if current == ended {
		return nil
	}
	return current
}

// BatchFailed applies that a batch was not executed, or that this is not known. All of it is written
// again under the same compares: of two transactions that compare the same revision of a key and
// change it at most one is ever executed.
func (s *Store) BatchFailed(batch *Batch) {
	for _, write := range batch.chunks {
		write.chunk.dirty = true
		write.chunk.unrecordedStarts += len(write.starts)
		s.dirty[write.job] = struct{}{}
	}
}

// SetChunkRevision applies the revision of a chunk's key that was found when its compare had failed,
// because an unanswered batch was executed after all. Only the leader of this term can have written
// it, so the state in memory is the newer one.
func (s *Store) SetChunkRevision(id string, number int, revision uint64) {
	job := s.jobs[id]
	if job == nil {
		return
	}
	if stored := job.chunks[number-job.record.FirstChunk]; stored != nil {
		stored.revision = revision
	}
}
