package jobstore

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

var (
	t0    = time.Unix(1_000_000, 0)
	fence = kvstore.Compare{Key: "lead/term", Revision: 7}
)

func record(id string, tasks int, cancelled bool) []byte {
	r := Record{Spec: &job.Spec{ID: id, Shape: job.Array, Priority: "standard", Tasks: tasks, CPUs: 1}, ChunkSize: 4}
	if cancelled {
		r.CancelledMS = t0.UnixMilli()
	}
	return wire.Marshal(r)
}

func put(t *testing.T, b *Store, id string, tasks int, cancelled bool, rev uint64) *Job {
	t.Helper()
	j, _, err := b.ApplyRecord(record(id, tasks, cancelled), rev)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// start makes and records an attempt, as a leader does before it sends it.
func start(t *testing.T, b *Store, j *Job, task int, rev uint64) *Attempt {
	t.Helper()
	a := b.StartAttempt(j, task, b.NextAttemptNumber(1), "vm-1", 1, t0)
	bt := b.NextBatch(fence, 8, 8, 8<<10, t0)
	if bt == nil {
		t.Fatal("start is not written")
	}
	starts, _ := b.BatchCommitted(bt, rev)
	if len(starts) != 1 || starts[0] != a || !a.Recorded {
		t.Fatalf("committed %v", starts)
	}
	return a
}

func hasCond(bt *Batch, key string, rev uint64) bool {
	for _, c := range bt.Compares {
		if c.Key == key && c.Revision == rev {
			return true
		}
	}
	return false
}

// Safety 2 and 3: a start is conditioned on the term, on the job's record as
// known, which a cancellation changes, and on the chunk's last revision.
func TestStartIsConditional(t *testing.T) {
	b := New()
	j := put(t, b, "wk-000001", 6, false, 10)
	a := b.StartAttempt(j, 5, b.NextAttemptNumber(3), "vm-1", 2, t0)
	bt := b.NextBatch(fence, 8, 8, 8<<10, t0)
	if !hasCond(bt, fence.Key, 7) || !hasCond(bt, "job/wk-000001", 10) || !hasCond(bt, "job/wk-000001/000001", 0) {
		t.Fatalf("conditions %v", bt.Compares)
	}
	if a.Recorded {
		t.Fatal("recorded before the batch was committed")
	}
	if a.ID().Term() != 3 {
		t.Fatalf("attempt of term %d", a.ID().Term())
	}
	b.BatchFailed(bt)
	if again := b.NextBatch(fence, 8, 8, 8<<10, t0); again == nil || !hasCond(again, "job/wk-000001/000001", 0) {
		t.Fatal("a start whose write failed is not written again under the same condition")
	}
}

// A hunt found a team over its limit: a new leader read a cancelled job, took
// it for over since it had not yet read its live attempts, and stopped counting
// them (hunt-a645-13 and -19 of kapana-orders, simulated).
func TestCancelledJobReadBeforeItsAttempts(t *testing.T) {
	old := New()
	j := put(t, old, "wk-000001", 2, false, 10)
	start(t, old, j, 0, 11)
	value := wire.Marshal(j.chunkValue(0))

	b := New()
	k := put(t, b, "wk-000001", 2, true, 12)
	if err := b.LoadChunk("wk-000001", 0, value, 11); err != nil {
		t.Fatal(err)
	}
	b.FinishLoading()
	if bt := b.NextBatch(fence, 8, 8, 8<<10, t0.Add(time.Minute)); bt != nil {
		t.Fatalf("job with a live attempt is ended: %+v", bt.Mutations)
	}
	if k.LiveTasks() != 1 || b.Job("wk-000001") == nil {
		t.Fatalf("%d live attempts", k.LiveTasks())
	}
	b.EndAttempt(k.tasks.live[0], false, t0)
	bt := b.NextBatch(fence, 8, 8, 8<<10, t0)
	if bt == nil || len(bt.Mutations) != 3 || bt.Mutations[0].Put != "end/wk-000001" {
		t.Fatalf("end is not recorded: %+v", bt)
	}
}

func TestEndIsOneTransaction(t *testing.T) {
	b := New()
	j := put(t, b, "wk-000001", 1, false, 10)
	a := start(t, b, j, 0, 11)
	b.EndAttempt(a, true, t0)
	bt := b.NextBatch(fence, 8, 8, 8<<10, t0)
	if bt == nil || !hasCond(bt, "job/wk-000001", 10) {
		t.Fatal("end is not conditioned on the job as known")
	}
	var f FinalState
	if err := wire.Unmarshal(bt.Mutations[0].Value, &f); err != nil || f.Status != StatusDone {
		t.Fatalf("%+v %v", f, err)
	}
	_, ended := b.BatchCommitted(bt, 12)
	if len(ended) != 1 || b.Len() != 0 {
		t.Fatal("job is not over")
	}
	// The watch is behind: the job's own record comes by once more.
	if k := mustIgnore(t, b, record("wk-000001", 1, false), 10); k != nil {
		t.Fatal("an ended job comes back")
	}
}

// While changes are short the records of an ended job's tasks are deleted later.
func TestEndLeavesChunksForLater(t *testing.T) {
	b := New()
	j := put(t, b, "wk-000001", 1, false, 10)
	b.EndAttempt(start(t, b, j, 0, 11), true, t0)
	bt := b.NextBatch(fence, 8, 1, 8<<10, t0)
	if bt == nil || len(bt.Mutations) != 2 {
		t.Fatalf("%+v", bt)
	}
	if _, ended := b.BatchCommitted(bt, 12); len(ended) != 1 {
		t.Fatal("job is not over")
	}
	if ops := j.GarbageMutations(8); len(ops) != 1 || ops[0].Delete != "job/wk-000001/000000" {
		t.Errorf("left to delete: %+v", ops)
	}
}

func mustIgnore(t *testing.T, b *Store, value []byte, rev uint64) *Job {
	t.Helper()
	j, news, err := b.ApplyRecord(value, rev)
	if err != nil || news {
		t.Fatalf("news %v, %v", news, err)
	}
	return j
}

// The largest job's records respect the limits on values and transactions.
func TestHundredThousandTasks(t *testing.T) {
	const valueBytes = 8 << 10
	b := New()
	r := Record{Spec: &job.Spec{ID: "wk-000001", Shape: job.Array, Priority: "standard", Tasks: job.MaxTasks, CPUs: 1}, ChunkSize: TasksPerChunk(valueBytes)}
	j, _, err := b.ApplyRecord(wire.Marshal(r), 1)
	if err != nil {
		t.Fatal(err)
	}
	for task := range 1000 {
		b.StartAttempt(j, task, b.NextAttemptNumber(1<<20), "vm-000000001", 1<<30, t0)
	}
	rev := uint64(1)
	for {
		bt := b.NextBatch(fence, 8, 8, 8<<10, t0)
		if bt == nil {
			break
		}
		rev++
		if len(bt.Mutations) > 8 || len(bt.Compares) > 32 {
			t.Fatalf("%d changes, %d conditions", len(bt.Mutations), len(bt.Compares))
		}
		size := 0
		for _, op := range bt.Mutations {
			if len(op.Value) > valueBytes {
				t.Fatalf("value of %d bytes", len(op.Value))
			}
			size += len(op.Value)
		}
		if size > 60<<10 {
			t.Fatalf("transaction of %d bytes", size)
		}
		b.BatchCommitted(bt, rev)
	}
	n := 0
	j.EachAttempt(func(a *Attempt) {
		if a.Recorded {
			n++
		}
	})
	if n != 1000 {
		t.Fatalf("%d starts recorded", n)
	}
}

func TestRanges(t *testing.T) {
	b := New()
	j := put(t, b, "wk-000001", 4, false, 10)
	for task := range 4 {
		a := start(t, b, j, task, uint64(11+task))
		if task != 1 {
			b.EndAttempt(a, true, t0)
		}
	}
	done, live, err := DecodeChunk("wk-000001", wire.Marshal(j.chunkValue(0)))
	if err != nil || done != 3 || len(live) != 1 || live[0] != (Location{job.AttemptID{Task: "wk-000001/1", Number: 1<<24 | 2}, "vm-1", 1}) {
		t.Fatalf("done %d, live %v, %v", done, live, err)
	}
	for _, bad := range []string{"x", "3-1", "-1", "1-", "0-999999999"} {
		if eachInRanges(bad, func(int) error { return nil }) == nil {
			t.Errorf("%q is taken", bad)
		}
	}
}

// A task's end is durable once it is recorded, whatever else goes on in its chunk;
// an end that comes while a write is in flight is not in it.
func TestDurableByTask(t *testing.T) {
	b := New()
	j := put(t, b, "wk-000001", 3, false, 10)
	first, second := start(t, b, j, 0, 11), start(t, b, j, 1, 12)
	write := func() *Batch {
		bt := b.NextBatch(fence, 8, 8, 8<<10, t0.Add(time.Minute))
		if bt == nil {
			t.Fatal("nothing to write")
		}
		return bt
	}
	b.EndAttempt(first, true, t0)
	bt := write()
	b.EndAttempt(second, true, t0)
	if j.ResultDurable(0) {
		t.Error("durable before the write is answered")
	}
	b.BatchCommitted(bt, 13)
	if !j.ResultDurable(0) || j.ResultDurable(1) {
		t.Errorf("durable: %v %v, want only the first", j.ResultDurable(0), j.ResultDurable(1))
	}
	bt = write()
	b.BatchFailed(bt)
	if j.ResultDurable(1) {
		t.Error("durable though the write failed")
	}
	b.BatchCommitted(write(), 14)
	if !j.ResultDurable(1) {
		t.Error("second not durable in the end")
	}
}

// What has waited longest, counted for each start, is written first: a large array of
// which something changes all the time does not go before the jobs that came after it,
// and many small jobs do not hold up the starts of a large one.
func TestWritesTakeTurns(t *testing.T) {
	b := New()
	large, small := put(t, b, "wk-000001", 100, false, 10), put(t, b, "wk-000002", 1, false, 11)
	for i := range 4 {
		b.StartAttempt(large, i, b.NextAttemptNumber(1), "vm-1", 1, t0)
	}
	b.StartAttempt(small, 0, b.NextAttemptNumber(1), "vm-1", 1, t0.Add(time.Second))
	for i := range 4 {
		b.StartAttempt(large, 4+4*i, b.NextAttemptNumber(1), "vm-1", 1, t0.Add(2*time.Second))
	}
	for i, want := range []string{"job/wk-000001/000000", "job/wk-000002/000000", "job/wk-000001/000001"} {
		bt := b.NextBatch(fence, 1, 1, 8<<10, t0.Add(2*time.Second))
		if bt == nil || bt.Mutations[0].Put != want {
			t.Fatalf("write %d: %+v, want %s", i, bt, want)
		}
		b.BatchCommitted(bt, uint64(20+i))
	}
	b = New()
	for i := range 6 {
		small := put(t, b, fmt.Sprintf("wk-%06d", 10+i), 1, false, uint64(10+i))
		b.StartAttempt(small, 0, b.NextAttemptNumber(1), "vm-1", 1, t0)
	}
	large = put(t, b, "wk-000002", 100, false, 30)
	for i := range 4 {
		b.StartAttempt(large, i, b.NextAttemptNumber(1), "vm-1", 1, t0.Add(2*time.Second))
	}
	if bt := b.NextBatch(fence, 1, 1, 8<<10, t0.Add(5*time.Second)); bt == nil || bt.Mutations[0].Put != "job/wk-000002/000000" {
		t.Fatalf("four starts that waited for 3 s are behind one that waited for 5 s: %+v", bt)
	}
}

// The end of a cancelled job waits for what is more urgent, but not for ever: after 12 s it
// has its turn with completions that have waited as long, two changes at once.
func TestCancelledEndHasItsTurn(t *testing.T) {
	b := New()
	large := put(t, b, "wk-000002", 400, false, 10)
	for i := range 100 {
		// A completion in each chunk.
		b.EndAttempt(start(t, b, large, 4*i, uint64(20+i)), true, t0.Add(time.Duration(i+1)*100*time.Millisecond))
	}
	cancelled := put(t, b, "wk-000001", 1, false, 11)
	b.MarkCancelled("wk-000001", t0)
	for s := range 40 {
		now := t0.Add(time.Duration(s) * time.Second)
		bt := b.NextBatch(fence, 2, 0, 8<<10, now) // two changes at a time, and none to spare
		if bt == nil {
			continue
		}
		if _, ended := b.BatchCommitted(bt, uint64(1000+s)); len(ended) == 0 {
			continue
		} else if waited := now.Sub(t0); ended[0] != cancelled || waited < maxDeferral || waited > maxDeferral+5*time.Second {
			t.Errorf("%s recorded after %v", ended[0].Spec.ID, waited)
		}
		return
	}
	t.Error("not recorded")
}

// Starts that wait to be written when a new term is taken are sent under it; those that
// are recorded keep their numbers, as they may have been sent.
func TestRenumber(t *testing.T) {
	b := New()
	j := put(t, b, "wk-000001", 4, false, 10)
	recorded := start(t, b, j, 0, 11)
	try := b.NextAttemptNumber(1)
	one, two := b.StartAttempt(j, 1, try, "vm-1", 1, t0), b.StartAttempt(j, 2, try, "vm-2", 1, t0)
	told := 0
	b.RenumberUnrecorded(5, func(r Renumbered) {
		if told++; r.PreviousNumber != try {
			t.Errorf("number was %d, told %d", r.PreviousNumber, try)
		}
	})
	if told != 2 || one.ID().Term() != 5 || one.Number != two.Number || recorded.ID().Term() != 1 {
		t.Errorf("%d told: %d, %d, recorded %d", told, one.Number, two.Number, recorded.Number)
	}
}

// A read of a job that is answered after the watch has told of its end, and before
// the end's own write is answered, leaves nothing to be written.
func TestStaleReadOfAnEndedJob(t *testing.T) {
	b := New()
	put(t, b, "wk-000001", 1, true, 10)
	end := b.NextBatch(fence, 8, 8, 8<<10, t0)
	if end == nil || end.Mutations[0].Put != "end/wk-000001" {
		t.Fatalf("end is not recorded: %+v", end)
	}
	b.RecordDeleted("wk-000001")
	put(t, b, "wk-000001", 1, true, 10)
	if _, ended := b.BatchCommitted(end, 11); len(ended) != 2 || b.Len() != 0 {
		t.Errorf("%d jobs told as ended, %d left", len(ended), b.Len())
	}
	if bt := b.NextBatch(fence, 8, 8, 8<<10, t0.Add(time.Minute)); bt != nil {
		t.Errorf("written again: %+v", bt.Mutations)
	}
}

// The starts of a gang may be sent once all are recorded, however many transactions that
// takes, and no more once a part of the attempt is gone; one task done is all done.
func TestGangIsWhole(t *testing.T) {
	b := New()
	r := Record{Spec: &job.Spec{ID: "wk-000001", Shape: job.Gang, Priority: "standard", Tasks: 4, CPUs: 1}, ChunkSize: 2}
	j, _, err := b.ApplyRecord(wire.Marshal(r), 1)
	if err != nil {
		t.Fatal(err)
	}
	sendable := func() (n int) {
		j.EachAttempt(func(a *Attempt) {
			if a.Dispatchable() {
				n++
			}
		})
		return n
	}
	begin := func() (out []*Attempt) {
		try := b.NextAttemptNumber(1)
		for task := range 4 {
			out = append(out, b.StartAttempt(j, task, try, "vm-1", 1, t0))
		}
		return out
	}
	attempts := begin()
	for i, want := range []int{0, 4} {
		bt := b.NextBatch(fence, 1, 1, 8<<10, t0)
		if len(bt.Mutations) != 1 {
			t.Fatalf("%d changes", len(bt.Mutations))
		}
		b.BatchCommitted(bt, uint64(i+2))
		if n := sendable(); n != want {
			t.Errorf("%d of 4 may be sent after %d of 2 transactions", n, i+1)
		}
	}
	b.EndAttempt(attempts[0], false, t0)
	if n := sendable(); n != 0 || j.GangComplete() {
		t.Errorf("%d may be sent of an attempt that has lost a task", n)
	}
	for _, a := range attempts {
		b.EndAttempt(a, false, t0)
	}
	attempts = begin()
	b.EndAttempt(attempts[1], false, t0) // its machine is gone before it could say so
	b.EndAttempt(attempts[2], true, t0)
	if j.DoneTasks() != 2 || j.WaitingTasks() != 0 {
		t.Errorf("%d done, %d wait", j.DoneTasks(), j.WaitingTasks())
	}
	b.EndAttempt(attempts[0], false, t0)
	b.EndAttempt(attempts[3], true, t0)
	if bt := b.NextBatch(fence, 8, 8, 8<<10, t0); j.DoneTasks() != 4 || len(bt.ends) != 1 {
		t.Errorf("%d of 4 done, %d ends", j.DoneTasks(), len(bt.ends))
	}
}

// The names under which a job's record is stored: older versions read them.
func TestRecordFields(t *testing.T) {
	var fields map[string]any
	full := Record{Spec: &job.Spec{}, SubmittedMS: 1, Arrival: 2, CancelledMS: 3, ChunkSize: 4, FirstChunk: 5, PreviousChunkSize: 6}
	if err := wire.Unmarshal(wire.Marshal(full), &fields); err != nil {
		t.Fatal(err)
	}
	want := []string{"arrival", "at_ms", "base", "cancelled_ms", "chunk", "spec", "was"}
	if got := slices.Sorted(maps.Keys(fields)); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}
