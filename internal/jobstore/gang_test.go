package jobstore

import (
	"testing"

	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// addGang applies the record of a gang of four tasks in two chunks.
func addGang(t *testing.T, store *Store) *Job {
	t.Helper()
	record := Record{Spec: testSpec(testID, job.Gang, 4), ChunkSize: 2}
	return mustApply(t, store, wire.Marshal(record), 1)
}

// startGang starts all tasks of a gang under one attempt number.
func startGang(store *Store, gang *Job) []*Attempt {
	var attempts []*Attempt
	number := store.NextAttemptNumber(1)
	for task := range gang.Spec.Tasks {
		attempts = append(attempts, store.StartAttempt(gang, task, number, "vm-1", 1, startTime))
	}
	return attempts
}

func dispatchableTasks(gang *Job) int {
	n := 0
	gang.EachAttempt(func(attempt *Attempt) {
		if attempt.Dispatchable() {
			n++
		}
	})
	return n
}

// Guards against a gang of which the next leader finds only some members: starts are sent before all of
// them are recorded. Starts may be sent once all are recorded, however many transactions that takes,
// and no longer once a member's attempt is gone.
func TestGangIsNotDispatchedInPart(t *testing.T) {
	store := New()
	gang := addGang(t, store)
	attempts := startGang(store, gang)
	for i, want := range []int{0, 4} {
		batch := store.NextBatch(fence, BatchLimits{1, 1, largeValue}, startTime)
		if len(batch.Mutations) != 1 {
			t.Fatalf("%d mutations, want 1", len(batch.Mutations))
		}
		store.BatchCommitted(batch, uint64(i+2))
		if n := dispatchableTasks(gang); n != want {
			t.Errorf("%d of 4 starts may be sent after %d of 2 transactions, want %d", n, i+1, want)
		}
	}
	store.EndAttempt(attempts[0], false, startTime)
	if n := dispatchableTasks(gang); n != 0 || gang.GangComplete() {
		t.Errorf("after a member was lost: %d starts may be sent, want 0; complete %v, want false", n, gang.GangComplete())
	}
}

// Guards against members of a gang that run again after one of them is done. The others are done as
// their attempts end; those whose machines were gone before they could report are done at once.
func TestGangCompletesTogether(t *testing.T) {
	store := New()
	gang := addGang(t, store)
	lost := startGang(store, gang)
	for revision := uint64(2); revision <= 3; revision++ {
		store.BatchCommitted(store.NextBatch(fence, BatchLimits{1, 1, largeValue}, startTime), revision)
	}
	for _, attempt := range lost {
		store.EndAttempt(attempt, false, startTime)
	}
	attempts := startGang(store, gang)
	store.EndAttempt(attempts[1], false, startTime) // its machine is gone before it can report
	store.EndAttempt(attempts[2], true, startTime)
	if gang.DoneTasks() != 2 || gang.WaitingTasks() != 0 {
		t.Errorf("%d done, %d waiting; want 2 and 0", gang.DoneTasks(), gang.WaitingTasks())
	}
	store.EndAttempt(attempts[0], false, startTime)
	if gang.DoneTasks() != 3 || gang.WaitingTasks() != 0 {
		t.Errorf("after one more was lost: %d done, %d waiting; want 3 and 0", gang.DoneTasks(), gang.WaitingTasks())
	}
	store.EndAttempt(attempts[3], true, startTime)
	if batch := nextBatch(store, startTime); gang.DoneTasks() != 4 || len(batch.ends) != 1 {
		t.Errorf("%d done, %d ends; want 4 and 1", gang.DoneTasks(), len(batch.ends))
	}
}
