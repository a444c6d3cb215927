// This file keeps the stored chunks of ended jobs until they are deleted.

package jobstore

import "tulipshelf/internal/kvstore"

// leaveChunks leaves what is stored of a job's chunks for deletion.
func (j *Job) leaveChunks() {
	for n := range j.chunks {
		j.orphans = append(j.orphans, j.record.FirstChunk+n)
	}
	j.orphans = append(j.orphans, j.old...)
}

// GarbageMutations returns deletions of an ended job's remaining chunks, at most n.
func (j *Job) GarbageMutations(n int) []kvstore.Mutation {
	n = min(n, len(j.orphans))
	var ops []kvstore.Mutation
	for _, c := range j.orphans[:n] {
		ops = append(ops, kvstore.Mutation{Delete: chunkKey(j.Spec.ID, c)})
	}
	j.orphans = j.orphans[n:]
	return ops
}
