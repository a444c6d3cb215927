// This file relates records and chunks to the limit on the size of values, in bytes of JSON, as the key-value
// store counts them.

package jobstore

import (
	"math"

	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// Sizes that determine the number of tasks in a chunk.
const (
	attemptBytes       = 56 // size of an attempt with long names and numbers; a done task takes far less
	chunkOverheadBytes = 64 // size of a chunk's value without its tasks

	// maxTasksPerChunk bounds the size of the value that a change of one task rewrites, whatever size of
	// value the key-value store accepts.
	maxTasksPerChunk = 1024
)

// TasksPerChunk returns the number of tasks per chunk, at least 1 and at most maxTasksPerChunk. A chunk
// of this size fits into a value of valueBytes bytes even while all of its tasks are live, unless names
// are longer than attemptBytes allows for or valueBytes is too small for even one task. A value that is
// too large is written only once enough of the chunk's tasks have ended (batchBuilder.addChunk).
func TasksPerChunk(valueBytes int) int {
	fitting := (valueBytes - chunkOverheadBytes) / attemptBytes
	return max(1, min(maxTasksPerChunk, fitting))
}

// Fits reports whether the record of a new job fits into a value of valueBytes bytes, and will still fit
// with the fields that a cancellation or a rechunk adds.
//
// Guards against jobs that cannot be accepted or cancelled however often their users ask: the key-value
// store refuses a record over its limit each time (docs/incidents/descriptions-over-value-limit.md).
func (r Record) Fits(valueBytes int) bool {
	r.Arrival, r.CancelledMS = math.MaxUint64, math.MaxInt64
	r.FirstChunk, r.PreviousChunkSize = rechunkedFirstChunk, job.MaxTasks
	return wire.JSONSize(wire.Marshal(r)) <= valueBytes
}
