package jobstore

import (
	"cmp"
	"slices"
	"time"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Completions and losses that finish no job wait for company, and longer while
// the state service's rate is short. Until they are written the worker still
// reports them, or they are found out again; nothing is told to anybody on their
// strength.
const (
	lazy    = 2 * time.Second
	overdue = 12 * time.Second // from then on they are written before what can wait
)

// Urgencies of changes. The end of a job that is done comes first: its user waits
// for it, and a stream of starts would hold it back for minutes. The end of a
// cancelled job is known from its record already; but until it is recorded a new leader
// takes its tasks for being there, so it becomes overdue like completions (inc-b469: 35
// ends were not recorded for 50 s, and ten sound machines were returned for them).
const (
	keyLazy      = 0
	keyCancelled = 1
	keyOverdue   = 50
	keyStart     = 200
	keyDone      = 300
)

// maxBatch keeps a transaction below the state service's 64 KiB.
const maxBatch = 48 << 10

// Batch is one transaction's worth of changes.
type Batch struct {
	Compares  []kvstore.Compare
	Mutations []kvstore.Mutation
	chunks    []chunkWrite
	ends      []endWrite
	layout    *layoutWrite // nil: of none
	size      int          // in bytes, about
}

type chunkWrite struct {
	j      *Job
	c      *chunk
	starts []*Attempt
	ends   uint64 // the last end that it records
}

type endWrite struct {
	j    *Job
	gone []int // chunks deleted with it
}

// candidate is a change that waits to be written: of a chunk, or the end of a job.
type candidate struct {
	j       *Job
	c       *chunk // nil: the job's end
	urgency int

	// How long it has waited to be written, times the starts that wait with it. By the
	// jobs' arrival the chunks of a large array that change all the time went before
	// all that came later (245 small jobs of inc-bc39 were not written for 100 s); by
	// the wait alone 400 jobs of one task held up as many starts in ten chunks.
	weight float64
}

// compare orders candidates: the most urgent first.
func (k candidate) compare(other candidate) int {
	if order := cmp.Or(cmp.Compare(other.urgency, k.urgency), cmp.Compare(other.weight, k.weight),
		cmp.Compare(k.j.Arrival, other.j.Arrival)); order != 0 {
		return order
	}
	if k.c == nil || other.c == nil {
		return 0
	}
	return k.c.n - other.c.n
}

// candidates returns all changes that may be written now.
func (b *Store) candidates(now time.Time) (out []candidate) {
	for j := range b.dirty {
		if j.over() {
			out = append(out, j.endCandidate(now))
			continue
		}
		for _, c := range j.chunks {
			if urgency, due := j.urgency(c, now); due {
				weight := now.Sub(c.since).Seconds() * float64(max(1, c.starts))
				out = append(out, candidate{j, c, urgency, weight})
			}
		}
	}
	return out
}

// endCandidate returns the end of a job as a candidate.
func (j *Job) endCandidate(now time.Time) candidate {
	if j.overSince.IsZero() {
		j.overSince = now
	}
	waited := now.Sub(j.overSince)
	switch {
	case !j.Cancelled:
		return candidate{j: j, urgency: keyDone}
	case waited < overdue:
		return candidate{j: j, urgency: keyCancelled}
	}
	return candidate{j: j, urgency: keyOverdue, weight: waited.Seconds()}
}

// urgency returns how urgent it is to write a chunk, and whether it is due at all.
func (j *Job) urgency(c *chunk, now time.Time) (urgency int, due bool) {
	switch waited := now.Sub(c.since); {
	case !c.dirty:
		return 0, false
	case c.starts > 0:
		// The starts of a cancelled job are about to be taken back, unsent.
		return keyStart + j.Spec.Rank(), !j.Cancelled
	case waited >= overdue:
		return keyOverdue, true
	default:
		return keyLazy, waited >= lazy
	}
}

// NextBatch builds the most urgent changes into one transaction of at most
// maxOps changes, fenced by the leader's term, or returns nil. What can wait is
// left out once there are spareOps, and what is larger than the state service takes for
// as long as it is. One batch is in flight at a time.
func (b *Store) NextBatch(fence kvstore.Compare, maxOps, spareOps, valueBytes int, now time.Time) *Batch {
	if bt := b.nextLayout(fence, maxOps, valueBytes); bt != nil {
		return bt
	}
	candidates := b.candidates(now)
	if len(candidates) == 0 || maxOps < 1 {
		return nil
	}
	slices.SortFunc(candidates, candidate.compare)
	out := &Batch{Compares: []kvstore.Compare{fence}}
	for _, k := range candidates {
		if len(out.Mutations) >= maxOps || out.size > maxBatch || k.urgency < keyOverdue && len(out.Mutations) >= spareOps {
			break
		}
		if k.c == nil && k.urgency >= keyOverdue && maxOps-len(out.Mutations) < endOps {
			break // less urgent changes would use up what it waits for
		}
		if k.c == nil {
			out.addEnd(k.j, maxOps, spareOps)
			continue
		}
		if !out.addChunk(k.j, k.c, valueBytes, b.ends) {
			break
		}
	}
	if len(out.Mutations) == 0 {
		return nil
	}
	return out
}

// opBytes is about what a change takes of a transaction beside its value.
const opBytes = 200

// addChunk adds what is to be stored of a chunk, and returns false if the transaction is
// full. A chunk that was laid out for larger values is left out: it fits once enough of its
// tasks have ended.
func (out *Batch) addChunk(j *Job, c *chunk, valueBytes int, ends uint64) bool {
	v := j.chunkValue(c.n)
	if v.size() > valueBytes {
		return true
	}
	value := wire.Marshal(v)
	if out.size += len(value) + opBytes; out.size > maxBatch && len(out.Mutations) > 0 {
		return false
	}
	key := j.key(c.n)
	out.Compares = append(out.Compares, kvstore.Compare{Key: key, Revision: c.rev})
	w := chunkWrite{j: j, c: c, ends: ends}
	if c.starts > 0 {
		// A start is only recorded while its job is not cancelled.
		out.Compares = append(out.Compares, kvstore.Compare{Key: JobKey(j.Spec.ID), Revision: j.Revision})
		w.starts = j.unrecordedIn(c)
	}
	out.Mutations = append(out.Mutations, kvstore.Mutation{Put: key, Value: value})
	out.chunks = append(out.chunks, w)
	c.dirty, c.starts = false, 0 // set again by changes while it is in flight
	return true
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

// endOps is the least number of changes that the end of a job takes.
const endOps = 2

// addEnd adds the end of a job. Its chunks go with it if that does not hold up others:
// of the five changes that a job of one task costs the fifth can wait.
func (out *Batch) addEnd(j *Job, maxOps, spareOps int) {
	out.size += opBytes
	if maxOps-len(out.Mutations) < endOps {
		return
	}
	status := StatusDone
	if j.Cancelled {
		status = StatusCancelled
	}
	id := j.Spec.ID
	w := endWrite{j: j}
	out.Compares = append(out.Compares, kvstore.Compare{Key: JobKey(id), Revision: j.Revision})
	out.Mutations = append(out.Mutations,
		kvstore.Mutation{Put: EndKey(id), Value: wire.Marshal(FinalState{status, j.Spec.Tasks})},
		kvstore.Mutation{Delete: JobKey(id)})
	for n, c := range j.chunks {
		if c.rev == 0 && !c.dirty {
			continue
		}
		if len(out.Mutations) >= min(maxOps, spareOps) {
			break
		}
		out.Mutations = append(out.Mutations, kvstore.Mutation{Delete: j.key(n)})
		w.gone = append(w.gone, n)
	}
	out.ends = append(out.ends, w)
}

// Backlog returns how many starts wait to be written and in how many chunks, and how
// many ends of jobs do.
func (b *Store) Backlog() (starts, chunks, ends int) {
	for j := range b.dirty {
		if j.over() {
			ends++
			continue
		}
		for _, c := range j.chunks {
			if c.dirty && c.starts > 0 {
				chunks++
			}
		}
		for _, a := range j.live {
			if !a.Recorded {
				starts++
			}
		}
	}
	return starts, chunks, ends
}

// BatchCommitted takes the news that the batch was applied at rev. It returns the
// attempts that may now be sent and the jobs that have ended.
func (b *Store) BatchCommitted(bt *Batch, rev uint64) (starts []*Attempt, ended []*Job) {
	for _, w := range bt.chunks {
		w.c.rev = rev
		w.j.sendable = unknown
		for _, a := range w.starts {
			if w.j.live[a.Task] == a {
				a.Recorded = true
				starts = append(starts, a)
			}
		}
		for t, end := range w.j.unwritten {
			if end <= w.ends && t/w.j.record.ChunkSize == w.c.n {
				delete(w.j.unwritten, t)
			}
		}
		b.clean(w.j)
	}
	if bt.layout != nil {
		b.laidOut(bt.layout, rev)
	}
	for _, w := range bt.ends {
		for _, n := range w.gone {
			delete(w.j.chunks, n)
		}
		w.j.leaveChunks()
		if j := b.drop(w.j.Spec.ID); j != nil && j != w.j {
			ended = append(ended, j)
		}
		delete(b.dirty, w.j)
		b.ended[w.j.Spec.ID] = struct{}{}
		ended = append(ended, w.j)
	}
	return starts, ended
}

// BatchFailed takes the news that the batch was not applied, or may not have been.
// Everything in it is written again, under the same conditions: of two
// transactions with the same condition at most one is ever applied.
func (b *Store) BatchFailed(bt *Batch) {
	for _, w := range bt.chunks {
		w.c.dirty = true
		w.c.starts += len(w.starts)
		b.dirty[w.j] = struct{}{}
	}
}

// SetChunkRevision takes the revision found when a chunk's condition has failed: an
// unanswered write of ours was applied after all. Only this leader's term can
// have written it, so memory is the newer state.
func (b *Store) SetChunkRevision(id string, n int, rev uint64) {
	if j := b.jobs[id]; j != nil && j.chunks[n-j.record.FirstChunk] != nil {
		j.chunks[n-j.record.FirstChunk].rev = rev
	}
}

// RecordFoundDeleted drops a job whose record a read has found deleted: its end was recorded, by a
// transaction that had no answer. The watch has yet to tell of it.
func (b *Store) RecordFoundDeleted(id string) *Job {
	b.ended[id] = struct{}{}
	return b.dropEnded(id)
}

// RecordDeleted drops a job of whose record's deletion the watch tells.
func (b *Store) RecordDeleted(id string) *Job {
	delete(b.ended, id)
	return b.dropEnded(id)
}

// dropEnded drops a job that has ended. Whether all of its chunks were deleted with it is not
// known, so their deletion is left to OrphanOps; otherwise they stayed until another leader
// read the records (TestStoreLimitsLoweredDuringCancellations).
func (b *Store) dropEnded(id string) *Job {
	j := b.drop(id)
	if j != nil {
		j.leaveChunks()
	}
	return j
}

// leaveChunks leaves what is stored of a job's chunks for deletion.
func (j *Job) leaveChunks() {
	for n := range j.chunks {
		j.orphans = append(j.orphans, j.record.FirstChunk+n)
	}
	j.orphans = append(j.orphans, j.old...)
}

// drop takes the job that stands under an ID out of the list and returns it. It need
// not be the one that has ended: a read that began before the end and is answered
// after the watch has told of it brings the job back. Left among what is to be
// written, such a job was written again and again, each time in vain, and used up the
// rate that the ends of others waited for (inc-1671: 175 cancelled jobs not ended, 105
// empty machines not returned).
func (b *Store) drop(id string) *Job {
	j := b.jobs[id]
	if j != nil {
		delete(b.jobs, id)
		delete(b.dirty, j)
	}
	return j
}

// WithdrawUnrecorded takes back the attempts of a cancelled job that no batch has
// recorded: their starts were never sent.
func (b *Store) WithdrawUnrecorded(j *Job, now time.Time) (dropped []*Attempt) {
	for _, a := range j.live {
		if !a.Recorded {
			dropped = append(dropped, a)
		}
	}
	for _, a := range dropped {
		b.EndAttempt(a, false, now)
	}
	return dropped
}

func (b *Store) clean(j *Job) {
	if j.over() {
		return
	}
	for _, c := range j.chunks {
		if c.dirty {
			return
		}
	}
	delete(b.dirty, j)
}

// ResultDurable tells whether the last end of the job's task is recorded. It is asked for
// each task: a chunk as a whole is hardly ever clean while a large array runs, and
// machines that had done their part of it could not be returned (66 to 85 of 260 in
// the tail of steady of omaruru-fares-grown).
func (j *Job) ResultDurable(task int) bool {
	_, unwritten := j.unwritten[task]
	c := j.chunks[task/j.record.ChunkSize]
	return !unwritten && c != nil && c.rev != 0
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
