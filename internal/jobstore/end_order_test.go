package jobstore

import (
	"slices"
	"testing"

	"tulipshelf/internal/job"
)

// endOrderFixture is a job of two chunks whose end a batch records. The batch deletes only one of the
// chunks.
type endOrderFixture struct {
	store     *Store
	batch     *Batch
	deletions []string // keys of chunks deleted by executed batches and by the deletions of garbage
}

func newEndOrderFixture(t *testing.T) *endOrderFixture {
	t.Helper()
	f := &endOrderFixture{store: New()}
	array := addArray(t, f.store, testID, 8, 10)
	first, second := startRecorded(t, f.store, array, 0, 11), startRecorded(t, f.store, array, 4, 12)
	f.store.MarkCancelled(testID, startTime)
	f.store.EndAttempt(first, false, startTime)
	f.store.EndAttempt(second, false, startTime)
	f.nextBatch(t)
	return f
}

// nextBatch replaces the batch by the next one, which has to record the end and to delete one chunk.
func (f *endOrderFixture) nextBatch(t *testing.T) {
	t.Helper()
	f.batch = f.store.NextBatch(fence, BatchLimits{3, 3, largeValue}, startTime)
	if f.batch == nil || len(f.batch.ends) != 1 || len(f.batch.Mutations) != 3 {
		t.Fatalf("batch %+v, want the end of the job and the deletion of one chunk", f.batch)
	}
}

// executed records that the key-value store has executed the batch.
func (f *endOrderFixture) executed() {
	f.deletions = append(f.deletions, f.batch.Mutations[2].Delete)
}

// ended deletes the garbage of jobs that were returned as ended, as the leader does.
func (f *endOrderFixture) ended(jobs ...*Job) {
	for _, ended := range jobs {
		if ended == nil {
			continue
		}
		for _, mutation := range ended.GarbageMutations(8) {
			f.deletions = append(f.deletions, mutation.Delete)
		}
	}
}

func (f *endOrderFixture) committed() {
	_, ended := f.store.BatchCommitted(f.batch, 13)
	f.ended(ended...)
}

func (f *endOrderFixture) unanswered() { f.ended(f.store.BatchFailed(f.batch)...) }
func (f *endOrderFixture) watched()    { f.ended(f.store.RecordDeleted(testID)) }
func (f *endOrderFixture) readBack()   { f.ended(f.store.RecordFoundDeleted(testID)) }

// Guards against chunks that stay stored for ever, chunks that are deleted again in vain, and IDs of
// ended jobs that stay in memory: the answer to the write of a job's end, the watch's report and a read
// of the record may come in any order, and the answer may not come at all.
func TestChunksAreDeletedInAnyOrderOfAnswerAndWatch(t *testing.T) {
	chunks := []string{"job/wk-000001/000000", "job/wk-000001/000001"}
	for name, test := range map[string]struct {
		run       func(*testing.T, *endOrderFixture)
		repeating bool // whether a chunk may be deleted again, as the outcome of a batch is never known
	}{
		"answer, watch": {run: func(_ *testing.T, f *endOrderFixture) { f.executed(); f.committed(); f.watched() }},
		"watch, answer": {run: func(_ *testing.T, f *endOrderFixture) { f.executed(); f.watched(); f.committed() }},
		"watch, no answer": {repeating: true, run: func(_ *testing.T, f *endOrderFixture) {
			f.executed()
			f.watched()
			f.unanswered()
		}},
		"no answer, watch": {repeating: true, run: func(_ *testing.T, f *endOrderFixture) {
			f.executed()
			f.unanswered()
			f.watched()
		}},
		"no answer, watch, refused second write": {repeating: true, run: func(t *testing.T, f *endOrderFixture) {
			f.executed()
			f.unanswered()
			f.nextBatch(t)
			f.watched()
			f.unanswered()
			f.readBack()
		}},
		"no answer, refused second write, read, watch": {repeating: true, run: func(t *testing.T, f *endOrderFixture) {
			f.executed()
			f.unanswered()
			f.nextBatch(t)
			f.unanswered()
			f.readBack()
			f.watched()
		}},
		"watch, read, no answer": {repeating: true, run: func(_ *testing.T, f *endOrderFixture) {
			f.executed()
			f.watched()
			f.readBack()
			f.unanswered()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newEndOrderFixture(t)
			test.run(t, f)
			slices.Sort(f.deletions)
			if distinct := slices.Compact(slices.Clone(f.deletions)); !slices.Equal(distinct, chunks) {
				t.Errorf("deleted chunks %q, want %q", distinct, chunks)
			}
			if !test.repeating && len(f.deletions) != len(chunks) {
				t.Errorf("deletions %q, want each chunk once", f.deletions)
			}
			if f.store.Len() != 0 || len(f.store.dirty) != 0 || len(f.store.endedIDs) != 0 {
				t.Errorf("%d jobs, %d dirty jobs and %d ended IDs left, want none",
					f.store.Len(), len(f.store.dirty), len(f.store.endedIDs))
			}
		})
	}
}

// Guards against a chunk that is stored after its job has ended: after a rechunk, the first write of a
// chunk may contain no start. Without an answer it may be executed late, after the end of the job.
func TestDelayedFirstWriteOfChunkIsRefusedAfterEnd(t *testing.T) {
	leader := newTestLeader(t, Record{
		Spec:              testSpec(testID, job.Array, 4),
		ChunkSize:         TasksPerChunk(smallValue),
		FirstChunk:        rechunkedFirstChunk,
		PreviousChunkSize: 200,
	})
	leader.store.FinishLoading()
	delayed := leader.store.NextBatch(fence, BatchLimits{8, 8, smallValue}, leader.now)
	if delayed == nil || len(delayed.chunks) != 1 || len(delayed.chunks[0].starts) != 0 {
		t.Fatalf("batch %+v, want the first write of the chunk, without starts", delayed)
	}
	leader.store.BatchFailed(delayed)
	leader.store.MarkCancelled(testID, leader.now)
	leader.commitAll(smallValue)
	if _, ok := leader.backend.execute(delayed); ok {
		t.Errorf("delayed write of the chunk executed after the end of the job; stored items: %v", leader.backend.items)
	}
}
