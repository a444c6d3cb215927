// This file updates the state in memory from the outcomes of batches.

package jobstore

// BatchCommitted updates the state in memory after a batch was committed at a revision. It returns the
// live attempts whose starts the batch recorded, and the jobs whose ends it recorded, with any
// duplicates that a late read has added (Store.remove). The starts may now be sent if
// Attempt.Dispatchable reports true.
func (s *Store) BatchCommitted(batch *Batch, revision uint64) (starts []*Attempt, ended []*Job) {
	s.allowMoreChanges()
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

// recordStarts marks as recorded the attempts whose starts the write contains, if they are still live,
// and appends them to recorded.
func (w *chunkWrite) recordStarts(recorded []*Attempt) []*Attempt {
	for _, attempt := range w.starts {
		if w.job.tasks.live[attempt.Task] == attempt {
			attempt.Recorded = true
			recorded = append(recorded, attempt)
		}
	}
	return recorded
}

// recordEnds removes the ends that the write contains from the job's unrecorded ends. It keeps
// later ends, which the write does not contain.
func (w *chunkWrite) recordEnds() {
	for task, sequence := range w.job.unrecordedEnds {
		if sequence <= w.lastEnd && w.job.chunkOf(task) == w.chunk.index {
			delete(w.job.unrecordedEnds, task)
		}
	}
}

// applyEnd removes a job whose end is recorded, and adds the chunks that were not deleted with its record
// to its garbage. It returns the object that the Store holds under the job's ID if that is another one,
// which a late read has added (Store.remove), and nil otherwise.
func (s *Store) applyEnd(write endWrite) (duplicate *Job) {
	ended := write.job
	ended.endInFlight = false
	for _, index := range write.deletedChunks {
		delete(ended.chunks, index)
	}
	ended.addChunksToGarbage()
	if current := s.remove(ended.Spec.ID); current != ended {
		return current // the watch has reported the end before this answer
	}
	s.endedIDs[ended.Spec.ID] = struct{}{}
	return nil
}

// BatchFailed marks the chunks of a batch as dirty again if the batch was not executed or its outcome is
// unknown. Later batches write all of its changes again with the same compares. That is safe: of two
// transactions that compare the same revision of a key and change the key, at most one is executed.
//
// It returns the jobs of the batch whose ends are recorded all the same, by this batch or an earlier one
// that was not answered: the watch or a read has found their records deleted. Which of their chunks were
// deleted is not known, so all of them are garbage.
func (s *Store) BatchFailed(batch *Batch) (ended []*Job) {
	for _, write := range batch.chunks {
		write.chunk.dirty = true
		write.chunk.unrecordedStarts += len(write.starts)
		s.dirty[write.job] = struct{}{}
	}
	for _, write := range batch.ends {
		write.job.endInFlight = false
		if !s.holds(write.job) {
			write.job.addChunksToGarbage()
			ended = append(ended, write.job)
		}
	}
	return ended
}

// SetChunkRevision sets the revision of a chunk to the one read from the key-value store after a compare
// of the chunk's key failed, because a batch that was not answered had been executed. Only the leader of
// this term can have written the chunk, so the state in memory is newer than the stored value. A chunk
// that is not in memory is ignored.
func (s *Store) SetChunkRevision(id string, number int, revision uint64) {
	job := s.jobs[id]
	if job == nil {
		return
	}
	if stored := job.chunks[number-job.record.FirstChunk]; stored != nil {
		stored.revision = revision
	}
}
