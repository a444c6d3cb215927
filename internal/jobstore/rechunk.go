// This file divides the tasks of a job into smaller chunks once its values have become too large.

package jobstore

import (
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// rechunkedFirstChunk is where the numbers of a job's chunks begin once it is laid out anew: beyond
// those of any layout before.
const rechunkedFirstChunk = job.MaxTasks

// rechunkWrite is a job's record with a new layout.
type rechunkWrite struct {
	job    *Job
	record Record
}

// nextRechunk returns a transaction that lays out a job for smaller values, if there is one
// with a chunk that is to be written and is too large. Only the record is written: the
// chunks of the new layout have numbers of their own and are written like any other that
// has changed, and until one is, what the old ones say of its tasks stands (PutChunk).
//
// It guards against jobs that were laid out for larger values than the state service takes
// by now: a chunk of theirs could be written again only once most of its tasks had ended. A
// replica that was lost would never start again, and of a large array most tasks waited
// for minutes while machines had room (an upgrade day of our own on omaruru-fares-next).
func (b *Store) nextRechunk(fence kvstore.Compare, maxOps, valueBytes int) *Batch {
	size := TasksPerChunk(valueBytes)
	var next *Job
	for j := range b.dirty {
		if j.record.ChunkSize > size && j.record.FirstChunk == 0 && !j.Cancelled && !j.readyToEnd() && j.hasOversizedChunk(valueBytes) &&
			(next == nil || j.Arrival < next.Arrival) {
			next = j
		}
	}
	if next == nil || maxOps < 1 {
		return nil
	}
	w := &rechunkWrite{job: next, record: next.record}
	w.record.ChunkSize, w.record.FirstChunk, w.record.PreviousChunkSize, w.record.Arrival = size, rechunkedFirstChunk, next.record.ChunkSize, next.Arrival
	key := JobKey(next.Spec.ID)
	return &Batch{
		Compares:  []kvstore.Compare{fence, {Key: key, Revision: next.Revision}},
		Mutations: []kvstore.Mutation{{Put: key, Value: wire.Marshal(w.record)}},
		rechunk:   w,
	}
}

func (j *Job) hasOversizedChunk(valueBytes int) bool {
	for n, c := range j.chunks {
		if c.dirty && j.chunkValue(n).jsonBytes() > valueBytes {
			return true
		}
	}
	return false
}

// rechunk takes a new layout, of which no chunk is known to be written yet.
func (b *Store) rechunk(j *Job, size int, since time.Time) {
	for n := range j.chunks {
		j.previousChunks = append(j.previousChunks, n)
	}
	j.record.ChunkSize = size
	j.chunks = map[int]*chunk{}
	j.addMissingChunks(since)
	for _, a := range j.live {
		if !a.Recorded {
			j.chunks[a.Task/size].unrecordedStarts++
		}
	}
	b.dirty[j] = struct{}{}
}

// addMissingChunks sees to it that every chunk is written.
func (j *Job) addMissingChunks(since time.Time) {
	for n := range (len(j.tasks) + j.record.ChunkSize - 1) / j.record.ChunkSize {
		if j.chunks[n] == nil {
			j.chunks[n] = &chunk{index: n, dirty: true, dirtySince: since}
		}
	}
}

// applyRechunk takes the news that a layout was written at rev.
func (b *Store) applyRechunk(w *rechunkWrite, rev uint64) {
	j := w.job
	if j.Revision >= rev {
		return // the watch was first
	}
	b.rechunk(j, w.record.ChunkSize, j.SubmittedAt)
	j.record, j.Revision = w.record, rev
}
