package jobstore

import (
	"maps"
	"slices"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// testLeader is a leader with its key-value store and the one job in it.
type testLeader struct {
	t            *testing.T
	backend      *fakeStore
	store        *Store
	job          *Job
	now          time.Time
	maxMutations int // of a batch
}

func newTestLeader(t *testing.T, record Record) *testLeader {
	t.Helper()
	backend := newFakeStore(record)
	store := backend.load(t)
	return &testLeader{t: t, backend: backend, store: store, job: store.Job(record.Spec.ID), now: startTime, maxMutations: 4}
}

// startAll starts all tasks that may start, on a machine, and returns their attempts.
func (l *testLeader) startAll(valueBytes int, machine string) []*Attempt {
	var attempts []*Attempt
	for task := l.job.NextStartable(0, valueBytes); task >= 0; task = l.job.NextStartable(task+1, valueBytes) {
		number := l.store.NextAttemptNumber(1)
		attempts = append(attempts, l.store.StartAttempt(l.job, task, number, machine, 1, l.now))
	}
	return attempts
}

// commit executes the next batch, if there is one, and reads what it has conflicted with.
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

// commitAll executes batches while there are any, and returns the number of mutations. None may
// conflict.
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

// A job that was rechunked before, and whose chunks are too large once more, is not rechunked
// again. A chunk is not written until it fits, fewer of its tasks start, and all of the job is
// done in the end.
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
		t.Fatalf("%d chunks written", n)
	}
	leader.now = leader.now.Add(time.Minute)
	for _, attempt := range attempts[:20] {
		leader.store.EndAttempt(attempt, false, leader.now) // they have to start again
	}
	leader.now = leader.now.Add(time.Minute)
	checkNothingFits(t, leader)
	leader.endInParts(attempts[20:], 50)
	if leader.store.Job(testID) != nil {
		t.Error("the job's end is not recorded")
	}
}

// checkNothingFits checks that 20 tasks wait of which none may start while only small values are
// taken.
func checkNothingFits(t *testing.T, leader *testLeader) {
	t.Helper()
	written := leader.commitAll(smallValue)
	small, large := leader.job.StartableTasks(smallValue), leader.job.StartableTasks(largeValue)
	if written != 0 || small != 0 || large != 20 {
		t.Errorf("%d written, %d and %d may start", written, small, large)
	}
	if task := leader.job.NextStartable(0, smallValue); task != -1 {
		t.Errorf("task %d may start where none may", task)
	}
}

// endInParts ends attempts as done, part of them at a time and the first started first, and
// starts what may start in between, until the whole job is done.
func (l *testLeader) endInParts(attempts []*Attempt, part int) {
	l.t.Helper()
	for l.job.DoneTasks() < l.job.Spec.Tasks {
		n := min(part, len(attempts))
		if n == 0 {
			l.t.Fatalf("stuck with %d done", l.job.DoneTasks())
		}
		for _, attempt := range attempts[:n] {
			l.store.EndAttempt(attempt, true, l.now)
		}
		attempts = append(attempts[n:], l.startStartable()...)
		l.now = l.now.Add(time.Minute)
		l.commitAll(smallValue)
	}
}

// startStartable starts tasks as long as the job says that any may start, and returns their attempts.
func (l *testLeader) startStartable() []*Attempt {
	var attempts []*Attempt
	for next := 0; l.job.StartableTasks(smallValue) > 0; {
		task := l.job.NextStartable(next, smallValue)
		attempts = append(attempts, start(l.store, l.job, task, l.now))
		next = task + 1
	}
	return attempts
}

// rechunkOutcomes are the ways in which a batch that rechunks a job ends.
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

// A service whose chunks are too large by now is rechunked when a replica of it has to start
// again: it would never start otherwise. No attempt may be lost, also if the answer to that is
// lost, or more changes meanwhile, or the leader ends in the middle of it.
func TestRechunkedServiceLosesNoAttempt(t *testing.T) {
	for name, finishRechunk := range rechunkOutcomes {
		t.Run(name, func(t *testing.T) {
			leader := serviceThatNeedsRechunk(t)
			batch := leader.store.NextBatch(fence, BatchLimits{4, 4, smallValue}, leader.now.Add(time.Minute))
			if batch == nil || len(batch.Mutations) != 1 {
				t.Fatalf("not rechunked: %+v", batch)
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

// serviceThatNeedsRechunk returns the leader of a service of which a replica is lost after only
// small values are taken.
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
		t.Fatal("the replica may start before there is room for it")
	}
	return leader
}

// checkSuccessorMidRechunk checks that a leader that ends before all of the new chunks are written
// loses nothing.
func checkSuccessorMidRechunk(t *testing.T, leader *testLeader) {
	t.Helper()
	successor := leader.backend.load(t)
	successor.FinishLoading()
	service := successor.Job(testID)
	if service.LiveTasks() < replicas-2 || service.record.ChunkSize != TasksPerChunk(smallValue) {
		t.Errorf("%d tasks live for a leader in the middle, chunks of %d", service.LiveTasks(), service.record.ChunkSize)
	}
}

// checkAllAttemptsStored checks that a new leader finds every attempt.
func checkAllAttemptsStored(t *testing.T, leader *testLeader) {
	t.Helper()
	service := leader.backend.load(t).Job(testID)
	for task := range replicas {
		inMemory, stored := leader.job.tasks.live[task], service.tasks.live[task]
		if inMemory == nil || stored == nil || !inMemory.Recorded {
			t.Fatalf("task %d: %+v, stored %+v", task, inMemory, stored)
		}
		if inMemory.Number != stored.Number || inMemory.Machine != stored.Machine {
			t.Fatalf("task %d: %+v, stored %+v", task, inMemory, stored)
		}
	}
	if service.record.ChunkSize != TasksPerChunk(smallValue) || service.Arrival != leader.job.Arrival {
		t.Errorf("chunks of %d tasks, arrived at %d and %d", service.record.ChunkSize, service.Arrival, leader.job.Arrival)
	}
}

// checkRechunkIsKept checks that a cancellation, whose record other nodes write, leaves the
// chunks as they are.
func checkRechunkIsKept(t *testing.T, leader *testLeader) {
	t.Helper()
	leader.store.EndAttempt(leader.job.tasks.live[0], false, leader.now)
	record := leader.job.record
	record.CancelledMS = 1
	arrival := leader.job.Arrival
	mustApply(t, leader.store, wire.Marshal(record), leader.backend.revision+1)
	if !leader.job.Cancelled || leader.job.Arrival != arrival || leader.job.record.ChunkSize != TasksPerChunk(smallValue) {
		t.Errorf("cancelled %v, arrived at %d, chunks of %d tasks", leader.job.Cancelled, leader.job.Arrival, leader.job.record.ChunkSize)
	}
}

// Starts that wait to be written as their job is rechunked are still starts: written under the
// compare of the job's record, and sent once they are recorded.
func TestRechunkKeepsUnrecordedStarts(t *testing.T) {
	leader := serviceThatNeedsRechunk(t)
	attempt := start(leader.store, leader.job, 50, leader.now)
	rechunk := leader.store.NextBatch(fence, BatchLimits{4, 4, smallValue}, leader.now)
	if rechunk == nil || rechunk.rechunk == nil {
		t.Fatalf("not rechunked: %+v", rechunk)
	}
	revision, _ := leader.backend.execute(rechunk)
	leader.store.BatchCommitted(rechunk, revision)
	batch := leader.store.NextBatch(fence, BatchLimits{1, 1, smallValue}, leader.now)
	if !hasCompare(batch, JobKey(testID), revision) {
		t.Errorf("compares %v", batch.Compares)
	}
	if starts, _ := leader.store.BatchCommitted(batch, revision+1); len(starts) != 1 || starts[0] != attempt {
		t.Errorf("recorded: %v", starts)
	}
}

// The answer to a rechunk that arrives after a newer record was read must not undo that: a
// cancellation would be forgotten, and the revision would be one that conflicts.
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
		t.Errorf("cancelled %v, revision %d of %d", leader.job.Cancelled, leader.job.Revision, leader.backend.revision)
	}
}

// A leader that ends once a job's record names smaller chunks leaves it to the next one to write
// them. Otherwise old chunks would stay among the new ones until each of their tasks changes.
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

// An array whose chunks are too large by now is rechunked as soon as one of them can't be
// written. Otherwise what was lost would not start again; and nothing of it may be left stored in
// the end.
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
		t.Errorf("%d of 10 may start", n)
	}
	successor := leader.backend.load(t).Job(testID)
	if successor.DoneTasks() != 10 || successor.LiveTasks() != 280 || successor.WaitingTasks() != 10 {
		t.Errorf("a new leader finds %d done, %d live, %d that wait", successor.DoneTasks(), successor.LiveTasks(), successor.WaitingTasks())
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
		t.Errorf("left: %v", slices.Sorted(maps.Keys(leader.backend.items)))
	}
}
