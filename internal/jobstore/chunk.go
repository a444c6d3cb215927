// This file keeps the state of one chunk of a job's tasks, and builds its value.

package jobstore

import (
	"strconv"
	"strings"
	"time"
)

type chunk struct {
	n      int
	rev    uint64
	dirty  bool
	since  time.Time // when it became dirty
	starts int       // that it holds and that are not yet recorded
}

// key returns the key of a chunk.
func (j *Job) key(n int) string { return chunkKey(j.Spec.ID, j.record.FirstChunk+n) }

func (j *Job) chunkValue(n int) *chunkValue {
	first := n * j.record.ChunkSize
	last := min(first+j.record.ChunkSize, len(j.tasks))
	var v chunkValue
	var sb strings.Builder
	for t := first; t < last; t++ {
		if j.tasks[t] != TaskDone {
			continue
		}
		end := t
		for end+1 < last && j.tasks[end+1] == TaskDone {
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
			v.Live = append(v.Live, attemptValue{Task: t, Try: a.Number, Machine: a.Machine, Session: a.Incarnation})
		}
	}
	return &v
}

// unrecordedIn returns the attempts of a chunk's tasks that are not recorded, by task.
func (j *Job) unrecordedIn(c *chunk) (out []*Attempt) {
	first := c.n * j.record.ChunkSize
	for t := first; t < first+j.record.ChunkSize; t++ {
		if a := j.live[t]; a != nil && !a.Recorded {
			out = append(out, a)
		}
	}
	return out
}
