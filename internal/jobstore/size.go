// This file computes the sizes of chunk values, in bytes of JSON, as the key-value store counts them.

package jobstore

import "strconv"

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

// jsonBytes returns the size of a chunk's value in JSON, in bytes, or slightly more.
func (v *chunkValue) jsonBytes() int {
	n := len(`{"done":"","live":[]}`) + len(v.Done)
	for i := range v.Live {
		a := &v.Live[i]
		n += len(`[,,"",],`) + len(a.Machine)
		n += decimalDigits(uint64(a.Task)) + decimalDigits(a.Number) + decimalDigits(a.Incarnation)
	}
	return n
}

// decimalDigits returns the number of digits of n in decimal notation.
func decimalDigits(n uint64) int { return len(strconv.FormatUint(n, 10)) }
