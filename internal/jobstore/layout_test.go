package jobstore

import (
	"maps"
	"slices"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// A chunk of a job that was laid out anew before, and is too large once more, is not written
// until it fits, fewer of its tasks start, and all of the job is done in the end.
func TestChunkLaidOutForMore(t *testing.T) {
	const small = 2 << 10
	b := New()
	r := Record{Spec: &job.Spec{ID: "wk-000001", Shape: job.Array, Priority: "standard", Tasks: 300, CPUs: 1}, ChunkSize: TasksPerChunk(8 << 10), FirstChunk: rechunkedFirstChunk, PreviousChunkSize: 200}
	j, _, err := b.ApplyRecord(wire.Marshal(r), 1)
	if err != nil {
		t.Fatal(err)
	}
	var live []*Attempt
	for task := range 300 {
		live = append(live, b.StartAttempt(j, task, b.NextAttemptNumber(1), "vm-000001", 1, t0))
	}
	rev := uint64(1)
	write := func(valueBytes int, now time.Time) (wrote int) {
		for {
			bt := b.NextBatch(fence, 8, 8, valueBytes, now)
			if bt == nil {
				return wrote
			}
			for _, op := range bt.Mutations {
				if op.Value != nil && len(op.Value) > valueBytes {
					t.Fatalf("a value of %d bytes", len(op.Value))
				}
			}
			rev++
			wrote += len(bt.Mutations)
			b.BatchCommitted(bt, rev)
		}
	}
	if n := write(8<<10, t0); n != 3 {
		t.Fatalf("%d chunks written", n)
	}
	now := t0.Add(time.Minute)
	for _, a := range live[:20] {
		b.EndAttempt(a, false, now) // they have to start again
	}
	now = now.Add(time.Minute)
	if n := write(small, now); n != 0 || j.StartableTasks(small) != 0 || j.StartableTasks(8<<10) != 20 {
		t.Errorf("%d written, %d and %d may start", n, j.StartableTasks(small), j.StartableTasks(8<<10))
	}
	if task := j.NextStartable(0, small); task != -1 {
		t.Errorf("task %d may start where none may", task)
	}
	for rest := live[20:]; j.DoneTasks() < 300; {
		k := min(50, len(rest))
		for _, a := range rest[:k] {
			b.EndAttempt(a, true, now)
		}
		rest = rest[k:]
		for next := 0; j.StartableTasks(small) > 0; {
			task := j.NextStartable(next, small)
			rest = append(rest, b.StartAttempt(j, task, b.NextAttemptNumber(1), "vm-000001", 1, now))
			next = task + 1
		}
		now = now.Add(time.Minute)
		write(small, now)
	}
	if b.Job("wk-000001") != nil {
		t.Error("the job's end is not recorded")
	}
}

// store is what a state service holds of a book's writes.
type store struct {
	rev  uint64
	keys map[string]kvstore.Item
}

// apply carries out a batch if its conditions hold.
func (s *store) apply(bt *Batch) (rev uint64, ok bool) {
	for _, c := range bt.Compares[1:] {
		if s.keys[c.Key].Revision != c.Revision {
			return s.rev, false
		}
	}
	s.rev++
	for _, op := range bt.Mutations {
		if op.Put == "" {
			delete(s.keys, op.Delete)
			continue
		}
		s.keys[op.Put] = kvstore.Item{Key: op.Put, Value: op.Value, Revision: s.rev}
	}
	return s.rev, true
}

// read returns the book of a new leader.
func (s *store) read(t *testing.T) *Store {
	t.Helper()
	b := New()
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		id, n, _ := SplitKey(key)
		it := s.keys[key]
		var err error
		if n < 0 {
			_, _, err = b.ApplyRecord(it.Value, it.Revision)
		} else {
			err = b.LoadChunk(id, n, it.Value, it.Revision)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	return b
}

// A service that was laid out for larger values than the state service takes by now is laid
// out anew when a replica of it has to start again, also if the answer to that is lost or
// more changes meanwhile; a new leader finds every attempt.
func TestServiceLaidOutAnew(t *testing.T) {
	const small, replicas = 2 << 10, 100
	for _, name := range []string{"answered", "answer lost", "the watch is first", "changes meanwhile", "not applied"} {
		t.Run(name, func(t *testing.T) {
			s := &store{keys: map[string]kvstore.Item{}}
			r := Record{Spec: &job.Spec{ID: "wk-000001", Shape: job.Service, Priority: "high", Tasks: replicas, CPUs: 1}, ChunkSize: TasksPerChunk(8 << 10)}
			s.apply(&Batch{Compares: []kvstore.Compare{fence}, Mutations: []kvstore.Mutation{{Put: JobKey("wk-000001"), Value: wire.Marshal(r)}}})
			b := s.read(t)
			j := b.Job("wk-000001")
			for task := range replicas {
				b.StartAttempt(j, task, b.NextAttemptNumber(1), "vm-000001", 1, t0)
			}
			commit := func(valueBytes int, now time.Time) bool {
				bt := b.NextBatch(fence, 4, 4, valueBytes, now)
				if bt == nil {
					return false
				}
				for _, op := range bt.Mutations {
					if len(op.Value) > valueBytes {
						t.Fatalf("a value of %d bytes", len(op.Value))
					}
				}
				if rev, ok := s.apply(bt); ok {
					b.BatchCommitted(bt, rev)
					return true
				}
				b.BatchFailed(bt)
				for key, it := range s.keys { // as a leader reads what has conflicted
					if id, n, _ := SplitKey(key); n >= 0 {
						b.SetChunkRevision(id, n, it.Revision)
					} else if _, _, err := b.ApplyRecord(it.Value, it.Revision); err != nil {
						t.Fatal(err)
					}
				}
				return true
			}
			commit(8<<10, t0)
			now := t0.Add(time.Minute)
			b.EndAttempt(j.tasks.live[50], false, now)
			if j.StartableTasks(small) != 0 {
				t.Fatal("it may start before there is room for it")
			}
			bt := b.NextBatch(fence, 4, 4, small, now.Add(time.Minute))
			if bt == nil || len(bt.Mutations) != 1 {
				t.Fatalf("not laid out anew: %+v", bt)
			}
			record := func() {
				it := s.keys[JobKey("wk-000001")]
				if _, _, err := b.ApplyRecord(it.Value, it.Revision); err != nil {
					t.Fatal(err)
				}
			}
			switch name {
			case "answered":
				rev, _ := s.apply(bt)
				b.BatchCommitted(bt, rev)
			case "answer lost":
				s.apply(bt)
				b.BatchFailed(bt)
				record()
			case "the watch is first":
				rev, _ := s.apply(bt)
				record()
				b.BatchCommitted(bt, rev)
			case "changes meanwhile":
				rev, _ := s.apply(bt)
				b.EndAttempt(j.tasks.live[7], false, now)
				b.BatchCommitted(bt, rev)
			case "not applied":
				b.BatchFailed(bt)
				commit(small, now.Add(time.Minute))
			}
			for task := j.NextStartable(0, small); task >= 0; task = j.NextStartable(0, small) {
				b.StartAttempt(j, task, b.NextAttemptNumber(1), "vm-000002", 1, now)
			}
			// A leader that ends before all of the new layout is written loses nothing.
			commit(small, now)
			half := s.read(t)
			half.FinishLoading()
			if k := half.Job("wk-000001"); k.LiveTasks() < replicas-2 || k.record.ChunkSize != TasksPerChunk(small) {
				t.Errorf("%d tasks live for a leader in the middle, laid out for %d", k.LiveTasks(), k.record.ChunkSize)
			}
			for range 20 {
				now = now.Add(time.Minute)
				commit(small, now)
			}
			again := s.read(t).Job("wk-000001")
			for task := range replicas {
				mine, kept := j.tasks.live[task], again.tasks.live[task]
				if mine == nil || kept == nil || !mine.Recorded || mine.Number != kept.Number || mine.Machine != kept.Machine {
					t.Fatalf("task %d: %+v, kept %+v", task, mine, kept)
				}
			}
			b.EndAttempt(j.tasks.live[0], false, now)
			if _, _, err := b.ApplyRecord(wire.Marshal(func() Record { r := j.record; r.CancelledMS = 1; return r }()), s.rev+1); err != nil {
				t.Fatal(err)
			}
			if again.record.ChunkSize != TasksPerChunk(small) || again.Arrival != j.Arrival {
				t.Errorf("laid out for %d tasks, arrived at %d and %d", again.record.ChunkSize, again.Arrival, j.Arrival)
			}
		})
	}
}

// An array that was laid out for larger values is laid out anew as soon as one of its chunks
// can't be written: what was lost may start at once, and nothing of it is left in the end.
func TestArrayLaidOutAnew(t *testing.T) {
	const small = 2 << 10
	s := &store{keys: map[string]kvstore.Item{}}
	r := Record{Spec: &job.Spec{ID: "wk-000001", Shape: job.Array, Priority: "standard", Tasks: 300, CPUs: 1}, ChunkSize: TasksPerChunk(8 << 10)}
	s.apply(&Batch{Compares: []kvstore.Compare{fence}, Mutations: []kvstore.Mutation{{Put: JobKey("wk-000001"), Value: wire.Marshal(r)}}})
	b := s.read(t)
	j := b.Job("wk-000001")
	now := t0
	write := func(valueBytes int) {
		for {
			bt := b.NextBatch(fence, 4, 4, valueBytes, now)
			if bt == nil {
				return
			}
			rev, ok := s.apply(bt)
			if !ok {
				t.Fatalf("conflict: %+v", bt.Compares)
			}
			b.BatchCommitted(bt, rev)
		}
	}
	for task := range 300 {
		b.StartAttempt(j, task, b.NextAttemptNumber(1), "vm-000001", 1, now)
	}
	write(8 << 10)
	for task := range 20 {
		b.EndAttempt(j.tasks.live[task], task < 10, now)
	}
	now = now.Add(time.Minute)
	write(small)
	if n := j.StartableTasks(small); n != 10 {
		t.Errorf("%d of 10 may start", n)
	}
	k := s.read(t).Job("wk-000001")
	if k.DoneTasks() != 10 || k.LiveTasks() != 280 || k.WaitingTasks() != 10 {
		t.Errorf("a new leader finds %d done, %d live, %d that wait", k.DoneTasks(), k.LiveTasks(), k.WaitingTasks())
	}
	for task := j.NextStartable(0, small); task >= 0; task = j.NextStartable(task+1, small) {
		b.StartAttempt(j, task, b.NextAttemptNumber(1), "vm-000002", 1, now)
	}
	for task := range 300 {
		if a := j.tasks.live[task]; a != nil {
			b.EndAttempt(a, true, now)
		}
		if task%50 == 0 {
			now = now.Add(time.Minute)
			write(small)
		}
	}
	write(small)
	for _, op := range j.GarbageMutations(1000) {
		delete(s.keys, op.Delete)
	}
	if len(s.keys) != 1 || s.keys[EndKey("wk-000001")].Revision == 0 {
		t.Errorf("left: %v", slices.Sorted(maps.Keys(s.keys)))
	}
}
