// This file tracks the stored chunks of ended jobs that are still to be deleted.

package jobstore

import "tulipshelf/internal/kvstore"

// addChunksToGarbage adds every chunk of the job that may be stored to its garbage. It is called once
// the end of the job is recorded.
func (j *Job) addChunksToGarbage() {
	for index := range j.chunks {
		j.garbageChunks = append(j.garbageChunks, j.chunkNumber(index))
	}
	j.garbageChunks = append(j.garbageChunks, j.previousChunks...)
}

// GarbageMutations removes at most limit chunks from the garbage of an ended job and returns the
// mutations that delete them.
func (j *Job) GarbageMutations(limit int) []kvstore.Mutation {
	limit = min(limit, len(j.garbageChunks))
	var deletions []kvstore.Mutation
	for _, number := range j.garbageChunks[:limit] {
		deletions = append(deletions, kvstore.Mutation{Delete: chunkKey(j.Spec.ID, number)})
	}
	j.garbageChunks = j.garbageChunks[limit:]
	return deletions
}
