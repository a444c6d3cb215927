package jobstore

import "testing"

// Guards against starts of tasks that do not wait. A second attempt beside a live one would run the task
// twice, and a cancelled job must not run. A plan with such a start is a fault of the program, so
// StartAttempt panics.
func TestStartOfTaskThatDoesNotWaitPanics(t *testing.T) {
	store := New()
	running := addArray(t, store, "wk-000001", 2, 10)
	start(store, running, 0, startTime)
	done := addArray(t, store, "wk-000002", 2, 11)
	store.EndAttempt(start(store, done, 0, startTime), true, startTime)
	cancelled := addCancelledArray(t, store, "wk-000003", 2, 12)
	for name, array := range map[string]*Job{"live": running, "done": done, "cancelled": cancelled} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if recover() == nil {
					t.Error("StartAttempt did not panic")
				}
			}()
			start(store, array, 0, startTime)
		})
	}
}

// Guards against starts that are never sent: they wait to be written while the leader advances its term,
// and need numbers of the new term. Recorded starts keep their numbers, as they may have been sent.
func TestUnrecordedStartsSurviveNewTerm(t *testing.T) {
	store := New()
	array := addArray(t, store, testID, 4, 10)
	recorded := startRecorded(t, store, array, 0, 11)
	shared := store.NextAttemptNumber(1)
	first := store.StartAttempt(array, 1, shared, "vm-1", 1, startTime)
	second := store.StartAttempt(array, 2, shared, "vm-2", 1, startTime)
	calls := 0
	store.RenumberUnrecorded(5, func(renumbered Renumbered) {
		calls++
		if renumbered.PreviousNumber != shared {
			t.Errorf("previous number %d, want %d", renumbered.PreviousNumber, shared)
		}
		if renumbered.Attempt != first && renumbered.Attempt != second {
			t.Errorf("attempt %v renumbered, want only the unrecorded ones", renumbered.Attempt.ID())
		}
	})
	if calls != 2 || first.ID().Term() != 5 || first.Number != second.Number {
		t.Errorf("%d calls, numbers %d and %d; want 2 calls and one number of term 5", calls, first.Number, second.Number)
	}
	if recorded.ID().Term() != 1 {
		t.Errorf("recorded attempt has number %d, want one of term 1", recorded.Number)
	}
}

// Guards against losing attempts of a cancelled job that may still run. An attempt whose start may have
// been sent stays live until it is proven gone. A start that was never recorded was never sent, so it
// needs no proof.
func TestCancelledJobKeepsAttemptsThatMayRun(t *testing.T) {
	store := New()
	array := addArray(t, store, testID, 3, 10)
	recorded := startRecorded(t, store, array, 0, 11)
	unrecorded := start(store, array, 1, startTime)
	if store.MarkCancelled(testID, startTime) != array {
		t.Fatal("MarkCancelled did not return the newly cancelled job")
	}
	if store.MarkCancelled(testID, startTime) != nil {
		t.Error("second MarkCancelled returned a job, want nil")
	}
	withdrawn := store.WithdrawUnrecorded(array, startTime)
	if len(withdrawn) != 1 || withdrawn[0] != unrecorded {
		t.Errorf("withdrawn attempts %v, want only the unrecorded one", withdrawn)
	}
	if array.LiveTasks() != 1 || array.tasks.live[0] != recorded {
		t.Errorf("%d live attempts, want only the recorded one", array.LiveTasks())
	}
}

// Guards against an attempt that ends twice because two proofs of its end arrive: the second one must
// not end the task's next attempt.
func TestSecondProofDoesNotEndNextAttempt(t *testing.T) {
	store := New()
	array := addArray(t, store, testID, 1, 10)
	lost := startRecorded(t, store, array, 0, 11)
	store.EndAttempt(lost, false, startTime)
	next := start(store, array, 0, startTime)
	store.EndAttempt(lost, true, startTime)
	if array.tasks.live[0] != next || array.DoneTasks() != 0 {
		t.Errorf("live attempt %v, %d tasks done; want %v, none done", array.tasks.live[0], array.DoneTasks(), next)
	}
}

// Guards against a lost task that never starts again: a task that waits again must be found, even if its
// index is below those of the tasks that were started since.
func TestLostTaskStartsAgain(t *testing.T) {
	store := New()
	array := addArray(t, store, testID, 6, 10)
	var attempts []*Attempt
	for task := range 6 {
		attempts = append(attempts, start(store, array, task, startTime))
	}
	if task := array.NextStartable(0, largeValue); task != -1 {
		t.Errorf("task %d may start, but no task waits", task)
	}
	store.EndAttempt(attempts[3], false, startTime)
	store.EndAttempt(attempts[1], false, startTime)
	for _, test := range []struct{ from, want int }{{0, 1}, {1, 1}, {2, 3}, {4, -1}} {
		if task := array.NextStartable(test.from, largeValue); task != test.want {
			t.Errorf("NextStartable from %d: task %d, want %d", test.from, task, test.want)
		}
	}
}

// Guards against ends of cancelled tasks that are never recorded: the chunk also had a start that was
// withdrawn before it was recorded. A new leader would take the ended attempt for live.
func TestEndIsRecordedBesideWithdrawnStart(t *testing.T) {
	store := New()
	array := addArray(t, store, testID, 3, 10)
	running := startRecorded(t, store, array, 0, 11)
	ended := startRecorded(t, store, array, 1, 12)
	start(store, array, 2, startTime)
	store.MarkCancelled(testID, startTime)
	if batch := nextBatch(store, startTime.Add(maxDeferral)); batch != nil {
		t.Fatalf("batch with the start of a cancelled job: %+v", batch.Mutations)
	}
	store.WithdrawUnrecorded(array, startTime)
	store.EndAttempt(ended, false, startTime)
	batch := nextBatch(store, startTime.Add(maxDeferral))
	if batch == nil || batch.Mutations[0].Put != "job/wk-000001/000000" {
		t.Fatalf("batch %+v after the end of an attempt, want a write of its chunk", batch)
	}
	store.BatchCommitted(batch, 13)
	if !array.ResultDurable(1) || array.tasks.live[0] != running {
		t.Errorf("end of the attempt is not recorded, or the running attempt is not live")
	}
}
