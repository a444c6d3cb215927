package jobstore

import (
	"maps"
	"slices"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// testLeader is a leader with a key-value store that holds a single job.
type testLeader struct {
	t            *testing.T
	backend      *fakeStore
	store        *Store
	job          *Job
	now          time.Time
	maxMutations int // maximum number of mutations in a batch
}

func newTestLeader(t *testing.T, record Record) *testLeader {
	t.Helper()
	backend := newFakeStore(record)
	store := backend.load(t)
	return &testLeader{t: t, backend: backend, store: store, job: store.Job(record.Spec.ID), now: startTime, maxMutations: 4}
}

// startAll starts all startable tasks on one machine and returns their attempts.
func (l *testLeader) startAll(valueBytes int, machine string) []*Attempt {
	var attempts []*Attempt
	for task := l.job.NextStartable(0, valueBytes); task >= 0; task = l.job.NextStartable(task+1, valueBytes) {
		number := l.store.NextAttemptNumber(1)
		attempts = append(attempts, l.store.StartAttempt(l.job, task, number, machine, 1, l.now))
	}
	return attempts
}

// commit executes the next batch, if there is one. If it conflicts, commit reads all stored records and
// chunk revisions.
func (l *testLeader) commit(valueBytes int) {
	l.t.Helper()
	batch := l.store.NextBatch(fence, BatchLimits{l.maxMutations, l.maxMutations, valueBytes}, l.now)
	if batch == nil {
		return
	}
	checkValueSizes(l.t, batch, valueBytes)
	if revision, ok := l.backend.execute(batch); ok {
		l.store.BatchCommitted(batch, revision)
		return
	}
	l.store.BatchFailed(batch)
	for key, item := range l.backend.items {
		if id, chunk, _ := SplitKey(key); chunk >= 0 {
			l.store.SetChunkRevision(id, chunk, item.Revision)
		} else {
			mustApply(l.t, l.store, item.Value, item.Revision)
		}
	}
}

// commitAll executes batches until there are none left, and returns the number of mutations. A conflict
// fails the test.
func (l *testLeader) commitAll(valueBytes int) int {
	l.t.Helper()
	mutations := 0
	for {
		batch := l.store.NextBatch(fence, BatchLimits{l.maxMutations, l.maxMutations, valueBytes}, l.now)
		if batch == nil {
			return mutations
		}
		checkValueSizes(l.t, batch, valueBytes)
		revision, ok := l.backend.execute(batch)
		if !ok {
			l.t.Fatalf("conflict: %+v", batch.Compares)
		}
		mutations += len(batch.Mutations)
		l.store.BatchCommitted(batch, revision)
	}
}

// readRecord applies the job's record as the watch reports it.
func (l *testLeader) readRecord() {
	l.t.Helper()
	item := l.backend.items[JobKey(testID)]
	mustApply(l.t, l.store, item.Value, item.Revision)
}

// Guards against a job that never completes: it was rechunked before, its chunks have become too large
// again, and it is not rechunked twice. A chunk is not written until its value fits, and fewer of its
// tasks are live at once, but all of them complete.
func TestOversizedChunkWaitsUntilItFits(t *testing.T) {
	const tasks = 300
	leader := newTestLeader(t, Record{
		Spec:              testSpec(testID, job.Array, tasks),
		ChunkSize:         TasksPerChunk(largeValue),
		FirstChunk:        rechunkedFirstChunk,
		PreviousChunkSize: 200,
	})
	leader.maxMutations = 8
	attempts := leader.startAll(largeValue, "vm-000001")
	if n := leader.commitAll(largeValue); n != 3 {
		t.Fatalf("%d chunks written, want 3", n)
	}
	leader.now = leader.now.Add(time.Minute)
	for _, attempt := range attempts[:20] {
		leader.store.EndAttempt(attempt, false, leader.now) // lost, to be started again
	}
	leader.now = leader.now.Add(time.Minute)
	checkNothingFits(t, leader)
	leader.endInParts(attempts[20:], 50)
	if leader.store.Job(testID) != nil {
		t.Error("the job's end is not recorded")
	}
}

// checkNothingFits checks that no chunk can be written, and none of the 20 waiting tasks started, while
// the key-value store accepts only small values.
func checkNothingFits(t *testing.T, leader *testLeader) {
	t.Helper()
	written := leader.commitAll(smallValue)
	small, large := leader.job.StartableTasks(smallValue), leader.job.StartableTasks(largeValue)
	if written != 0 || small != 0 || large != 20 {
		t.Errorf("%d mutations written, %d tasks startable, %d with large values; want 0, 0 and 20", written, small, large)
	}
	if task := leader.job.NextStartable(0, smallValue); task != -1 {
		t.Errorf("task %d is startable, want none", task)
	}
}

// endInParts ends attempts as done, in groups of at most part and in the order of their starts. It
// starts startable tasks in between, and returns when the whole job is done.
func (l *testLeader) endInParts(attempts []*Attempt, part int) {
	l.t.Helper()
	for l.job.DoneTasks() < l.job.Spec.Tasks {
		n := min(part, len(attempts))
		if n == 0 {
			l.t.Fatalf("no live attempt left with %d of %d tasks done", l.job.DoneTasks(), l.job.Spec.Tasks)
		}
		for _, attempt := range attempts[:n] {
			l.store.EndAttempt(attempt, true, l.now)
		}
		attempts = append(attempts[n:], l.startStartable()...)
		l.now = l.now.Add(time.Minute)
		l.commitAll(smallValue)
	}
}

// startStartable starts tasks until Job.StartableTasks returns 0, and returns their attempts.
func (l *testLeader) startStartable() []*Attempt {
	var attempts []*Attempt
	for next := 0; l.job.StartableTasks(smallValue) > 0; {
		task := l.job.NextStartable(next, smallValue)
		attempts = append(attempts, start(l.store, l.job, task, l.now))
		next = task + 1
	}
	return attempts
}

// rechunkOutcomes are the possible outcomes of a batch that rechunks a job, by name of the subtest.
var rechunkOutcomes = map[string]func(*testLeader, *Batch){
	"answered": func(l *testLeader, batch *Batch) {
		revision, _ := l.backend.execute(batch)
		l.store.BatchCommitted(batch, revision)
	},
	"answer lost": func(l *testLeader, batch *Batch) {
		l.backend.execute(batch)
		l.store.BatchFailed(batch)
		l.readRecord()
	},
	"the watch is first": func(l *testLeader, batch *Batch) {
		revision, _ := l.backend.execute(batch)
		l.readRecord()
		l.store.BatchCommitted(batch, revision)
	},
	"changes meanwhile": func(l *testLeader, batch *Batch) {
		revision, _ := l.backend.execute(batch)
		l.store.EndAttempt(l.job.tasks.live[7], false, l.now)
		l.store.BatchCommitted(batch, revision)
	},
	"not executed": func(l *testLeader, batch *Batch) {
		l.store.BatchFailed(batch)
		l.now = l.now.Add(time.Minute)
		l.commit(smallValue)
		l.now = l.now.Add(-time.Minute)
	},
}

// Guards against a lost replica that is never restarted, as the chunks of its service have become too
// large to be written: the service is then rechunked. Also guards against attempts that are lost by
// this: the answer is lost, more tasks change meanwhile, or the leader ends before it is finished.
func TestRechunkedServiceLosesNoAttempt(t *testing.T) {
	for name, finishRechunk := range rechunkOutcomes {
		t.Run(name, func(t *testing.T) {
			leader := serviceThatNeedsRechunk(t)
			batch := leader.store.NextBatch(fence, BatchLimits{4, 4, smallValue}, leader.now.Add(time.Minute))
			if batch == nil || len(batch.Mutations) != 1 {
				t.Fatalf("service is not rechunked: batch %+v", batch)
			}
			finishRechunk(leader, batch)
			leader.startAll(smallValue, "vm-000002")
			leader.commit(smallValue)
			checkSuccessorMidRechunk(t, leader)
			for range 20 {
				leader.now = leader.now.Add(time.Minute)
				leader.commit(smallValue)
			}
			checkAllAttemptsStored(t, leader)
			checkRechunkIsKept(t, leader)
		})
	}
}

const replicas = 100

// serviceThatNeedsRechunk returns the leader of a service whose chunks are sized for large values and
// that has lost a replica. The replica is not startable with small values before the rechunk.
func serviceThatNeedsRechunk(t *testing.T) *testLeader {
	t.Helper()
	spec := testSpec(testID, job.Service, replicas)
	spec.Priority = "high"
	leader := newTestLeader(t, Record{Spec: spec, ChunkSize: TasksPerChunk(largeValue)})
	leader.startAll(largeValue, "vm-000001")
	leader.commit(largeValue)
	leader.now = leader.now.Add(time.Minute)
	leader.store.EndAttempt(leader.job.tasks.live[50], false, leader.now)
	if leader.job.StartableTasks(smallValue) != 0 {
		t.Fatal("lost replica is startable before the service is rechunked")
	}
	return leader
}

// checkSuccessorMidRechunk checks that no attempt is lost if the leader ends before all new chunks are
// written: a new leader finds the new chunk size and all live tasks except the at most two lost ones.
func checkSuccessorMidRechunk(t *testing.T, leader *testLeader) {
	t.Helper()
	successor := leader.backend.load(t)
	successor.FinishLoading()
	service := successor.Job(testID)
	if service.LiveTasks() < replicas-2 || service.record.ChunkSize != TasksPerChunk(smallValue) {
		t.Errorf("new leader finds %d live tasks in chunks of %d, want at least %d in chunks of %d",
			service.LiveTasks(), service.record.ChunkSize, replicas-2, TasksPerChunk(smallValue))
	}
}

// checkAllAttemptsStored checks that a new leader finds every attempt in the stored records.
func checkAllAttemptsStored(t *testing.T, leader *testLeader) {
	t.Helper()
	service := leader.backend.load(t).Job(testID)
	for task := range replicas {
		inMemory, stored := leader.job.tasks.live[task], service.tasks.live[task]
		if inMemory == nil || stored == nil || !inMemory.Recorded {
			t.Fatalf("task %d: attempt %+v in memory, %+v stored; want both, recorded", task, inMemory, stored)
		}
		if inMemory.Number != stored.Number || inMemory.Machine != stored.Machine {
			t.Fatalf("task %d: attempt %+v in memory differs from %+v stored", task, inMemory, stored)
		}
	}
	if service.record.ChunkSize != TasksPerChunk(smallValue) || service.Arrival != leader.job.Arrival {
		t.Errorf("stored chunks of %d tasks, want %d; stored arrival %d, want %d",
			service.record.ChunkSize, TasksPerChunk(smallValue), service.Arrival, leader.job.Arrival)
	}
}

// checkRechunkIsKept checks that a cancellation, whose record another node writes, leaves the chunk size
// and the arrival of the job unchanged.
func checkRechunkIsKept(t *testing.T, leader *testLeader) {
	t.Helper()
	leader.store.EndAttempt(leader.job.tasks.live[0], false, leader.now)
	record := leader.job.record
	record.CancelledMS = 1
	arrival := leader.job.Arrival
	mustApply(t, leader.store, wire.Marshal(record), leader.backend.revision+1)
	if !leader.job.Cancelled || leader.job.Arrival != arrival || leader.job.record.ChunkSize != TasksPerChunk(smallValue) {
		t.Errorf("cancelled %v, want true; arrival %d, want %d; chunks of %d tasks, want %d", leader.job.Cancelled,
			leader.job.Arrival, arrival, leader.job.record.ChunkSize, TasksPerChunk(smallValue))
	}
}

// Guards against starts that are written without the compare of the job's record, because their job is
// rechunked while they wait to be written. They still are starts, and are sent once they are recorded.
func TestRechunkKeepsUnrecordedStarts(t *testing.T) {
	leader := serviceThatNeedsRechunk(t)
	attempt := start(leader.store, leader.job, 50, leader.now)
	rechunk := leader.store.NextBatch(fence, BatchLimits{4, 4, smallValue}, leader.now)
	if rechunk == nil || rechunk.rechunk == nil {
		t.Fatalf("service is not rechunked: batch %+v", rechunk)
	}
	revision, _ := leader.backend.execute(rechunk)
	leader.store.BatchCommitted(rechunk, revision)
	batch := leader.store.NextBatch(fence, BatchLimits{1, 1, smallValue}, leader.now)
	if !hasCompare(batch, JobKey(testID), revision) {
		t.Errorf("compares %v, want that of the job's record at revision %d", batch.Compares, revision)
	}
	if starts, _ := leader.store.BatchCommitted(batch, revision+1); len(starts) != 1 || starts[0] != attempt {
		t.Errorf("recorded starts %v, want only that of task 50", starts)
	}
}

// Guards against a cancellation that is undone: the answer to a rechunk arrives after a newer record,
// which cancels the job, was read. The revision in the answer is outdated too, and would cause
// conflicts.
func TestLateAnswerToRechunkDoesNotUndoCancellation(t *testing.T) {
	leader := serviceThatNeedsRechunk(t)
	batch := leader.store.NextBatch(fence, BatchLimits{4, 4, smallValue}, leader.now.Add(time.Minute))
	revision, _ := leader.backend.execute(batch)
	record := batch.rechunk.record
	record.CancelledMS = startTime.UnixMilli()
	leader.backend.put(JobKey(testID), wire.Marshal(record))
	leader.readRecord()
	leader.store.BatchCommitted(batch, revision)
	if !leader.job.Cancelled || leader.job.record.CancelledMS == 0 || leader.job.Revision != leader.backend.revision {
		t.Errorf("cancelled %v, at %d ms; revision %d, want %d",
			leader.job.Cancelled, leader.job.record.CancelledMS, leader.job.Revision, leader.backend.revision)
	}
}

// Guards against old chunks that remain among the new ones until each of their tasks changes: a leader
// ends after it has written the record of the rechunked job, before it has written the new chunks. The
// next leader writes them.
func TestNewLeaderFinishesRechunk(t *testing.T) {
	leader := serviceThatNeedsRechunk(t)
	batch := leader.store.NextBatch(fence, BatchLimits{4, 4, smallValue}, leader.now.Add(time.Minute))
	leader.backend.execute(batch)
	successor := leader.backend.load(t)
	successor.FinishLoading()
	leader.store, leader.job = successor, successor.Job(testID)
	leader.now = leader.now.Add(time.Minute)
	if n, want := leader.commitAll(smallValue), leader.job.chunkCount(); n != want {
		t.Errorf("%d of %d chunks written", n, want)
	}
	for index := range leader.job.chunkCount() {
		if leader.backend.items[leader.job.chunkKey(index)].Revision == 0 {
			t.Errorf("chunk %d is not stored", index)
		}
	}
}

// Guards against lost tasks that are not restarted, as the chunks of their array have become too large:
// the array is rechunked as soon as one of its chunks cannot be written. Also guards against keys that
// remain stored after the array has ended.
func TestRechunkedArrayRestartsLostTasks(t *testing.T) {
	const tasks = 300
	leader := newTestLeader(t, Record{Spec: testSpec(testID, job.Array, tasks), ChunkSize: TasksPerChunk(largeValue)})
	leader.startAll(largeValue, "vm-000001")
	leader.commitAll(largeValue)
	for task := range 20 {
		leader.store.EndAttempt(leader.job.tasks.live[task], task < 10, leader.now)
	}
	leader.now = leader.now.Add(time.Minute)
	leader.commitAll(smallValue)
	if n := leader.job.StartableTasks(smallValue); n != 10 {
		t.Errorf("%d lost tasks are startable, want 10", n)
	}
	successor := leader.backend.load(t).Job(testID)
	if successor.DoneTasks() != 10 || successor.LiveTasks() != 280 || successor.WaitingTasks() != 10 {
		t.Errorf("new leader finds %d tasks done, %d live, %d waiting; want 10, 280 and 10",
			successor.DoneTasks(), successor.LiveTasks(), successor.WaitingTasks())
	}
	leader.startAll(smallValue, "vm-000002")
	for task := range tasks {
		if attempt := leader.job.tasks.live[task]; attempt != nil {
			leader.store.EndAttempt(attempt, true, leader.now)
		}
		if task%50 == 0 {
			leader.now = leader.now.Add(time.Minute)
			leader.commitAll(smallValue)
		}
	}
	leader.commitAll(smallValue)
	for _, deletion := range leader.job.GarbageMutations(1000) {
		delete(leader.backend.items, deletion.Delete)
	}
	if len(leader.backend.items) != 1 || leader.backend.items[EndKey(testID)].Revision == 0 {
		t.Errorf("keys left: %v, want only that of the final state", slices.Sorted(maps.Keys(leader.backend.items)))
	}
}
