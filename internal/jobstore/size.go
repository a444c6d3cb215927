// This file computes the sizes of chunk values.

package jobstore

import "strconv"

// Sizes of a chunk's value, counted in JSON as the state service does.
const (
	attemptBytes       = 56 // one attempt with long names and numbers; a task that is done takes far less
	chunkOverheadBytes = 64
)

// TasksPerChunk returns how many tasks fit into one chunk with all of them live. Should names
// be so long that they do not, fewer of them are live at once (Job.Startable).
func TasksPerChunk(valueBytes int) int {
	return max(1, min(1024, (valueBytes-chunkOverheadBytes)/attemptBytes))
}

// jsonBytes returns the length of a chunk's value in JSON.
func (v *chunkValue) jsonBytes() int {
	n := len(`{"done":"","live":[]}`) + len(v.Done)
	for i := range v.Live {
		a := &v.Live[i]
		n += len(`[,,"",],`) + len(a.Machine) + decimalDigits(uint64(a.Task)) + decimalDigits(a.Number) + decimalDigits(a.Incarnation)
	}
	return n
}

func decimalDigits(n uint64) int { return len(strconv.FormatUint(n, 10)) }
