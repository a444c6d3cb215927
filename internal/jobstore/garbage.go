// This file keeps the stored chunks of ended jobs until they are deleted.

package jobstore

import "tulipshelf/internal/kvstore"

// addChunksToGarbage adds to the garbage what may be stored of the job's chunks, once its end is
// recorded.
func (j *Job) addChunksToGarbage() {
	for index := range j.chunks {
		j.garbageChunks = append(j.garbageChunks, j.chunkNumber(index))
	}
	j.garbageChunks = append(j.garbageChunks, j.previousChunks...)
}

// GarbageMutations takes at most limit chunks of an ended job out of its garbage and returns their
// deletions.
func (j *Job) GarbageMutations(limit int) []kvstore.Mutation {
	limit = min(limit, len(j.garbageChunks))
	var deletions []kvstore.Mutation
	for _, number := range j.garbageChunks[:limit] {
		deletions = append(deletions, kvstore.Mutation{Delete: chunkKey(j.Spec.ID, number)})
	}
	j.garbageChunks = j.garbageChunks[limit:]
	return deletions
}
