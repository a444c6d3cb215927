// This file computes the sizes of chunk values, in bytes of JSON as the key-value store counts them.

package jobstore

import "strconv"

// Sizes from which the number of tasks in a chunk follows.
const (
	attemptBytes       = 56 // one attempt with long names and numbers; a task that is done takes far less
	chunkOverheadBytes = 64 // the rest of a chunk's value

	// maxTasksPerChunk bounds what one change of a task writes again, however large values may be.
	maxTasksPerChunk = 1024
)

// TasksPerChunk returns how many tasks fit into one chunk with all of them live, if a value takes so
// many bytes. Where names are so long that they do not, fewer are live at once
// (Job.StartableTasks).
func TasksPerChunk(valueBytes int) int {
	fitting := (valueBytes - chunkOverheadBytes) / attemptBytes
	return max(1, min(maxTasksPerChunk, fitting))
}

// jsonBytes returns the length of a chunk's value in JSON, or a little more.
func (v *chunkValue) jsonBytes() int {
	n := len(`{"done":"","live":[]}`) + len(v.Done)
	for i := range v.Live {
		a := &v.Live[i]
		n += len(`[,,"",],`) + len(a.Machine)
		n += decimalDigits(uint64(a.Task)) + decimalDigits(a.Number) + decimalDigits(a.Incarnation)
	}
	return n
}

func decimalDigits(n uint64) int { return len(strconv.FormatUint(n, 10)) }
