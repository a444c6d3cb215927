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

// TasksPerChunk returns the number of tasks per chunk at which a value of valueBytes bytes holds the
// chunk with all of its tasks live. If names are longer than attemptBytes allows for, the value of
// such a chunk can be too large. It is then written only once enough of the tasks have ended
// (batchBuilder.addChunk).
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
