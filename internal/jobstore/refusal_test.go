package jobstore

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"tulipshelf/internal/job"
)

// refusingStore executes batches like fakeStore, but refuses those for which refuses returns true.
type refusingStore struct {
	*fakeStore
	refuses func(*Batch) bool
	refused int
}

// write builds the next batch and executes it, or refuses it. It returns false if there is no batch.
func (r *refusingStore) write(store *Store, limits BatchLimits, now time.Time) bool {
	batch := store.NextBatch(fence, limits, now)
	if batch == nil {
		return false
	}
	if r.refuses(batch) {
		r.refused++
		store.BatchRefused(batch, now)
		return true
	}
	revision, _ := r.execute(batch)
	store.BatchCommitted(batch, revision)
	return true
}

// changes returns the keys that a batch puts.
func changes(batch *Batch) (keys []string) {
	for _, mutation := range batch.Mutations {
		if mutation.Put != "" {
			keys = append(keys, mutation.Put)
		}
	}
	return keys
}

// addJobs adds arrays of one task each, whose starts or ends are to be recorded, and returns their IDs.
func addJobs(t *testing.T, store *Store, backend *fakeStore, count int, end bool) (ids []string) {
	t.Helper()
	for i := range count {
		id := fmt.Sprintf("wk-%06d", 100+i)
		value := arrayRecord(id, 1, false)
		backend.put(JobKey(id), value)
		array := mustApply(t, store, value, backend.revision)
		attempt := start(store, array, 0, startTime)
		if end {
			store.EndAttempt(attempt, true, startTime)
		}
		ids = append(ids, id)
	}
	return ids
}

// Guards against one record that stops all others: the key-value store refuses each batch that holds a
// certain change, whatever its reason. The other changes are recorded with few refusals, and the refused one
// is tried again only after a pause, and recorded once it is accepted.
func TestRefusedChangeDoesNotBlockOthers(t *testing.T) {
	for _, end := range []bool{false, true} {
		t.Run(fmt.Sprintf("ends: %t", end), func(t *testing.T) {
			store := New()
			backend := &refusingStore{fakeStore: newFakeStore(Record{Spec: testSpec(testID, job.Array, 1), ChunkSize: 4})}
			ids := addJobs(t, store, backend.fakeStore, 40, end)
			bad := ids[7]
			keyOf := func(id string) string {
				if end {
					return EndKey(id)
				}
				return chunkKey(id, 0)
			}
			accepting := false
			backend.refuses = func(batch *Batch) bool {
				return !accepting && slices.Contains(changes(batch), keyOf(bad))
			}
			limits, now := BatchLimits{16, 16, largeValue}, startTime
			for range 80 {
				backend.write(store, limits, now)
			}
			for _, id := range ids {
				if _, recorded := backend.items[keyOf(id)]; recorded == (id == bad) {
					t.Errorf("%s recorded: %t, want all but %s", id, recorded, bad)
				}
			}
			if backend.refused > 15 {
				t.Errorf("%d batches refused, want at most 15", backend.refused)
			}
			before := backend.refused
			if backend.write(store, limits, now); backend.refused != before {
				t.Error("the refused change is sent again at once")
			}
			accepting = true
			now = now.Add(refusedPause)
			for range 3 {
				backend.write(store, limits, now)
			}
			if _, recorded := backend.items[keyOf(bad)]; !recorded {
				t.Error("the change is not recorded once it is accepted")
			}
		})
	}
}

// Guards against batches that are refused without end: the key-value store takes fewer changes in a
// transaction than its limits say. The batches become small enough, and all changes are recorded.
func TestRefusedBatchIsDivided(t *testing.T) {
	store := New()
	backend := &refusingStore{fakeStore: newFakeStore(Record{Spec: testSpec(testID, job.Array, 1), ChunkSize: 4})}
	ids := addJobs(t, store, backend.fakeStore, 64, false)
	backend.refuses = func(batch *Batch) bool { return len(changes(batch)) > 3 }
	writes := 0
	for backend.write(store, BatchLimits{16, 16, largeValue}, startTime) {
		writes++
	}
	for _, id := range ids {
		if _, recorded := backend.items[chunkKey(id, 0)]; !recorded {
			t.Errorf("start of %s not recorded", id)
		}
	}
	if writes > 64 {
		t.Errorf("%d writes for %d starts, of which 3 fit into one; want at most 64", writes, len(ids))
	}
}

// Guards against a rechunk that stops all other writes because the key-value store refuses it again and
// again.
func TestRefusedRechunkDoesNotBlockOthers(t *testing.T) {
	record := Record{Spec: testSpec(testID, job.Array, 145), ChunkSize: TasksPerChunk(largeValue)}
	leader := newTestLeader(t, record)
	leader.startAll(largeValue, "vm-000001")
	leader.commitAll(largeValue)
	for _, attempt := range leader.job.tasks.live {
		leader.store.EndAttempt(attempt, false, leader.now)
		break
	}
	backend := &refusingStore{fakeStore: leader.backend, refuses: func(batch *Batch) bool { return batch.rechunk != nil }}
	ids := addJobs(t, leader.store, leader.backend, 3, false)
	for range 6 {
		backend.write(leader.store, BatchLimits{4, 4, smallValue}, leader.now.Add(time.Second))
	}
	if backend.refused != 1 {
		t.Errorf("rechunk sent %d times within its pause, want once", backend.refused)
	}
	for _, id := range ids {
		if _, recorded := backend.items[chunkKey(id, 0)]; !recorded {
			t.Errorf("start of %s not recorded", id)
		}
	}
}
