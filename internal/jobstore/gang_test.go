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

// startGang starts all tasks of a gang under one number.
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

// A gang of which a part is sent before all is recorded would be known but in part to the next
// leader. Its starts may be sent once all are recorded, however many transactions that takes, and
// no more once a part of the attempt is gone.
func TestGangIsNotDispatchedInPart(t *testing.T) {
	store := New()
	gang := addGang(t, store)
	attempts := startGang(store, gang)
	for i, want := range []int{0, 4} {
		batch := store.NextBatch(fence, BatchLimits{1, 1, largeValue}, startTime)
		if len(batch.Mutations) != 1 {
			t.Fatalf("%d mutations", len(batch.Mutations))
		}
		store.BatchCommitted(batch, uint64(i+2))
		if n := dispatchableTasks(gang); n != want {
			t.Errorf("%d of 4 may be sent after %d of 2 transactions", n, i+1)
		}
	}
	store.EndAttempt(attempts[0], false, startTime)
	if n := dispatchableTasks(gang); n != 0 || gang.GangComplete() {
		t.Errorf("%d may be sent of an attempt that has lost a task", n)
	}
}

// Once a task of a gang is done none of them runs again: all are done as they end, and those whose
// machines were gone before they could report it are done at once.
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
	store.EndAttempt(attempts[1], false, startTime) // its machine is gone before it could report
	store.EndAttempt(attempts[2], true, startTime)
	if gang.DoneTasks() != 2 || gang.WaitingTasks() != 0 {
		t.Errorf("%d done, %d wait", gang.DoneTasks(), gang.WaitingTasks())
	}
	store.EndAttempt(attempts[0], false, startTime)
	if gang.DoneTasks() != 3 || gang.WaitingTasks() != 0 {
		t.Errorf("after one more was lost: %d done, %d wait", gang.DoneTasks(), gang.WaitingTasks())
	}
	store.EndAttempt(attempts[3], true, startTime)
	if batch := nextBatch(store, startTime); gang.DoneTasks() != 4 || len(batch.ends) != 1 {
		t.Errorf("%d of 4 done, %d ends", gang.DoneTasks(), len(batch.ends))
	}
}
