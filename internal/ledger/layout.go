package ledger

import (
	"time"

	"tulipshelf/internal/statestore"
	"tulipshelf/internal/wire"
)

// layoutWrite is a job whose chunks are laid out anew, all in one transaction.
type layoutWrite struct {
	j      *Job
	record Record
	starts []*Attempt
	ends   uint64 // the last end that it records
	chunks map[int]*chunk
}

// nextLayout returns a transaction that lays out a job for smaller values, if there is one
// with a chunk that is to be written and is too large, and if it fits into maxOps changes.
//
// It guards against services that were laid out for larger values than the state service
// takes by now: their chunks do not shrink as tasks end, so a replica that was lost would
// never be recorded as started again.
func (b *Book) nextLayout(fence statestore.Cond, maxOps, valueBytes int) *Batch {
	size := ChunkSize(valueBytes)
	var next *Job
	for j := range b.dirty {
		if j.record.Chunk > size && !j.Cancelled && !j.over() && j.chunksOf(size)+1 <= maxOps && j.tooLarge(valueBytes) &&
			(next == nil || j.Arrival < next.Arrival) {
			next = j
		}
	}
	if next == nil {
		return nil
	}
	j := next
	w := layoutWrite{j: j, record: j.record, ends: b.ends, chunks: j.chunks}
	w.record.Chunk, w.record.Arrival = size, j.Arrival
	id := j.Spec.ID
	out := &Batch{
		Conds: []statestore.Cond{fence, {Key: JobKey(id), Rev: j.Rev}},
		Ops:   []statestore.Op{{Put: JobKey(id), Value: wire.Marshal(w.record)}},
	}
	for n := range j.chunksOf(size) {
		rev := uint64(0)
		if c := j.chunks[n]; c != nil {
			rev = c.rev
		}
		out.Conds = append(out.Conds, statestore.Cond{Key: chunkKey(id, n), Rev: rev})
		out.Ops = append(out.Ops, statestore.Op{Put: chunkKey(id, n), Value: wire.Marshal(j.valueOf(n*size, size))})
	}
	for _, a := range j.live {
		if !a.Recorded {
			w.starts = append(w.starts, a)
		}
	}
	for _, c := range j.chunks {
		c.dirty, c.starts = false, 0 // set again by changes while it is in flight
	}
	out.layouts = []layoutWrite{w}
	return out
}

func (j *Job) chunksOf(size int) int { return (len(j.tasks) + size - 1) / size }

func (j *Job) tooLarge(valueBytes int) bool {
	for n, c := range j.chunks {
		if c.dirty && j.chunkValue(n).size() > valueBytes {
			return true
		}
	}
	return false
}

// layOut takes a new layout, of which nothing is known to be written yet.
func (b *Book) layOut(j *Job, size int, since time.Time) {
	j.record.Chunk = size
	j.chunks = map[int]*chunk{}
	for n := range j.chunksOf(size) {
		j.chunks[n] = &chunk{n: n, dirty: true, since: since}
	}
	for _, a := range j.live {
		if !a.Recorded {
			j.chunks[a.Task/size].starts++
		}
	}
	b.dirty[j] = struct{}{}
}

// laidOut takes the news that a layout was written at rev, and returns the attempts that
// may be sent.
func (b *Book) laidOut(w *layoutWrite, rev uint64) (starts []*Attempt) {
	j := w.j
	changed := j.record.Chunk == w.record.Chunk // the watch was first, and knows of no chunk
	var since time.Time
	for _, c := range w.chunks {
		if c.dirty {
			changed, since = true, c.since
		}
	}
	for _, a := range w.starts {
		if j.live[a.Task] == a {
			a.Recorded = true
			starts = append(starts, a)
		}
	}
	for t, end := range j.unwritten {
		if end <= w.ends {
			delete(j.unwritten, t)
		}
	}
	if j.record.Chunk != w.record.Chunk {
		b.layOut(j, w.record.Chunk, since)
	}
	cancelled := j.record.CancelledMS
	j.record = w.record
	j.record.CancelledMS = max(j.record.CancelledMS, cancelled)
	j.Rev = max(j.Rev, rev)
	for _, c := range j.chunks {
		c.rev, c.dirty = rev, changed
	}
	b.clean(j)
	return starts
}
