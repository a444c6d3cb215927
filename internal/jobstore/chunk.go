// This file keeps the state of one chunk of a job's tasks, and builds its value.

package jobstore

import (
	"strconv"
	"strings"
	"time"
)

type chunk struct {
	index            int
	revision         uint64
	dirty            bool
	dirtySince       time.Time // when it became dirty
	unrecordedStarts int       // that it holds and that are not yet recorded
}

// chunkKey returns the key of a chunk.
func (j *Job) chunkKey(n int) string { return chunkKey(j.Spec.ID, j.record.FirstChunk+n) }

func (j *Job) chunkValue(n int) *chunkValue {
	first := n * j.record.ChunkSize
	last := min(first+j.record.ChunkSize, len(j.tasks))
	var v chunkValue
	var sb strings.Builder
	for t := first; t < last; t++ {
		if j.tasks[t] != taskDone {
			continue
		}
		end := t
		for end+1 < last && j.tasks[end+1] == taskDone {
			end++
		}
		if sb.Len() > 0 {
			sb.WriteByte(',')
		}
		sb.WriteString(strconv.Itoa(t - first))
		if end > t {
			sb.WriteByte('-')
			sb.WriteString(strconv.Itoa(end - first))
		}
		t = end
	}
	v.Done = sb.String()
	for t := first; t < last; t++ {
		if a := j.live[t]; a != nil {
			v.Live = append(v.Live, attemptValue{Task: t, Number: a.Number, Machine: a.Machine, Incarnation: a.Incarnation})
		}
	}
	return &v
}

// unrecordedAttempts returns the attempts of a chunk's tasks that are not recorded, by task.
func (j *Job) unrecordedAttempts(c *chunk) (out []*Attempt) {
	first := c.index * j.record.ChunkSize
	for t := first; t < first+j.record.ChunkSize; t++ {
		if a := j.live[t]; a != nil && !a.Recorded {
			out = append(out, a)
		}
	}
	return out
}
