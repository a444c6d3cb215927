// This file keeps the stored chunks of ended jobs until they are deleted.

package jobstore

import "tulipshelf/internal/kvstore"

// addChunksToGarbage leaves what is stored of a job's chunks for deletion.
func (j *Job) addChunksToGarbage() {
	for n := range j.chunks {
		j.garbageChunks = append(j.garbageChunks, j.record.FirstChunk+n)
	}
	j.garbageChunks = append(j.garbageChunks, j.previousChunks...)
}

// GarbageMutations returns deletions of an ended job's remaining chunks, at most n.
func (j *Job) GarbageMutations(n int) []kvstore.Mutation {
	n = min(n, len(j.garbageChunks))
	var ops []kvstore.Mutation
	for _, c := range j.garbageChunks[:n] {
		ops = append(ops, kvstore.Mutation{Delete: chunkKey(j.Spec.ID, c)})
	}
	j.garbageChunks = j.garbageChunks[n:]
	return ops
}
