package jobstore

import (
	"errors"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// A new leader that took a cancelled job for ended before it had read its live attempts would not
// count them, and a team would exceed its quota.
func TestCancelledJobReadBeforeItsAttempts(t *testing.T) {
	predecessor := New()
	before := addArray(t, predecessor, testID, 2, 10)
	startRecorded(t, predecessor, before, 0, 11)
	value := wire.Marshal(before.chunkValue(0))

	store := New()
	array := addCancelledArray(t, store, testID, 2, 12)
	if err := store.LoadChunk(testID, 0, value, 11); err != nil {
		t.Fatal(err)
	}
	store.FinishLoading()
	if batch := nextBatch(store, startTime.Add(time.Minute)); batch != nil {
		t.Fatalf("job with a live attempt is ended: %+v", batch.Mutations)
	}
	if array.LiveTasks() != 1 || store.Job(testID) == nil {
		t.Fatalf("%d live attempts", array.LiveTasks())
	}
	store.EndAttempt(array.tasks.live[0], false, startTime)
	batch := nextBatch(store, startTime)
	if batch == nil || len(batch.Mutations) != 3 || batch.Mutations[0].Put != "end/wk-000001" {
		t.Fatalf("end is not recorded: %+v", batch)
	}
}

// A read of a job that is answered after the watch has reported its end, and before the end's own
// write is answered, must leave nothing to be written: that would be refused for ever.
func TestLateReadOfEndedJobIsNotWritten(t *testing.T) {
	store := New()
	addCancelledArray(t, store, testID, 1, 10)
	end := nextBatch(store, startTime)
	if end == nil || end.Mutations[0].Put != "end/wk-000001" {
		t.Fatalf("end is not recorded: %+v", end)
	}
	store.RecordDeleted(testID)
	addCancelledArray(t, store, testID, 1, 10)
	if _, ended := store.BatchCommitted(end, 11); len(ended) != 2 || store.Len() != 0 {
		t.Errorf("%d jobs returned as ended, %d left", len(ended), store.Len())
	}
	if batch := nextBatch(store, startTime.Add(time.Minute)); batch != nil {
		t.Errorf("written again: %+v", batch.Mutations)
	}
}

// A job whose end was recorded without an answer is found deleted by a read. The watch, which is
// behind, must not bring it back, and its chunks must not stay.
func TestJobFoundDeletedDoesNotComeBack(t *testing.T) {
	store := New()
	array := addArray(t, store, testID, 1, 10)
	startRecorded(t, store, array, 0, 11)
	if store.RecordFoundDeleted(testID) != array || store.Len() != 0 {
		t.Fatal("job is not removed")
	}
	if deletions := array.GarbageMutations(8); len(deletions) != 1 || deletions[0].Delete != "job/wk-000001/000000" {
		t.Errorf("left to delete: %+v", deletions)
	}
	if again := addCancelledArray(t, store, testID, 1, 12); again != nil {
		t.Error("the job comes back before the watch has reported its end")
	}
	if store.RecordDeleted(testID) != nil {
		t.Error("removed twice")
	}
	if again := addArray(t, store, testID, 1, 13); again == nil {
		t.Error("its ID stays blocked")
	}
}

// Older revisions, which a slow read returns, must not undo a cancellation.
func TestOlderRecordIsIgnored(t *testing.T) {
	store := New()
	array, changed, err := store.ApplyRecord(arrayRecord(testID, 2, true), 12)
	if err != nil || !changed || !array.Cancelled || !array.CancelledAt.Equal(startTime) {
		t.Fatalf("%+v, news %v, %v", array, changed, err)
	}
	again, changed, err := store.ApplyRecord(arrayRecord(testID, 2, false), 11)
	if err != nil || changed || again != array || !array.Cancelled || array.Revision != 12 {
		t.Errorf("%+v, news %v, %v", again, changed, err)
	}
}

// A new leader that went on from a chunk that does not fit its job would lose or repeat tasks.
func TestChunkThatDoesNotFitIsRefused(t *testing.T) {
	attempt := func(task int) []attemptValue {
		return []attemptValue{{Task: task, Number: 3, Machine: "vm-1", Incarnation: 7}}
	}
	for name, value := range map[string]chunkValue{
		"done beyond the chunk":    {Done: "0-4"},
		"ranges":                   {Done: "3-1"},
		"attempt before the chunk": {Live: attempt(3)},
		"attempt behind the chunk": {Live: attempt(8)},
		"attempt of a done task":   {Done: "1", Live: attempt(5)},
		"two attempts of a task":   {Live: append(attempt(5), attempt(5)...)},
	} {
		t.Run(name, func(t *testing.T) {
			store := New()
			addArray(t, store, testID, 12, 10)
			if err := store.LoadChunk(testID, 1, wire.Marshal(value), 11); !errors.Is(err, ErrMalformed) {
				t.Errorf("loaded with %v", err)
			}
		})
	}
	if err := New().LoadChunk(testID, 0, wire.Marshal(chunkValue{}), 11); !errors.Is(err, ErrNoJob) {
		t.Errorf("chunk without a job loaded with %v", err)
	}
}

// A leader that ends between the first end of a gang's task and the others' leaves tasks that
// wait, of a gang that is done: the next one must not start them again.
func TestNewLeaderCompletesGang(t *testing.T) {
	store := New()
	record := Record{Spec: testSpec(testID, job.Gang, 4), ChunkSize: 4}
	gang := mustApply(t, store, wire.Marshal(record), 10)
	if err := store.LoadChunk(testID, 0, wire.Marshal(chunkValue{Done: "2"}), 11); err != nil {
		t.Fatal(err)
	}
	store.FinishLoading()
	if gang.DoneTasks() != 4 || gang.WaitingTasks() != 0 {
		t.Errorf("%d done, %d wait", gang.DoneTasks(), gang.WaitingTasks())
	}
	if batch := nextBatch(store, startTime); batch == nil || len(batch.ends) != 1 {
		t.Errorf("end is not recorded: %+v", batch)
	}
}
