package jobstore

import "testing"

// A second attempt beside a live one would run the task twice, and a cancelled job must not run:
// a plan that asks for that is a fault of the program.
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
					t.Error("task started")
				}
			}()
			start(store, array, 0, startTime)
		})
	}
}

// Starts that wait to be written while the leader advances its term are sent under the new one; those
// that are recorded keep their numbers, as they may have been sent.
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
			t.Errorf("previous number %d, was %d", renumbered.PreviousNumber, shared)
		}
		if renumbered.Attempt != first && renumbered.Attempt != second {
			t.Errorf("renumbered %v", renumbered.Attempt.ID())
		}
	})
	if calls != 2 || first.ID().Term() != 5 || first.Number != second.Number {
		t.Errorf("%d calls, numbers %d and %d", calls, first.Number, second.Number)
	}
	if recorded.ID().Term() != 1 {
		t.Errorf("recorded attempt has number %d", recorded.Number)
	}
}

// Of a cancelled job the starts that were never recorded, and so never sent, need no proof that
// they are gone; those that may have been sent stay live until there is one.
func TestCancelledJobKeepsAttemptsThatMayRun(t *testing.T) {
	store := New()
	array := addArray(t, store, testID, 3, 10)
	recorded := startRecorded(t, store, array, 0, 11)
	unrecorded := start(store, array, 1, startTime)
	if store.MarkCancelled(testID, startTime) != array {
		t.Fatal("cancellation is no news")
	}
	if store.MarkCancelled(testID, startTime) != nil {
		t.Error("cancellation is news twice")
	}
	withdrawn := store.WithdrawUnrecorded(array, startTime)
	if len(withdrawn) != 1 || withdrawn[0] != unrecorded {
		t.Errorf("withdrawn: %v", withdrawn)
	}
	if array.LiveTasks() != 1 || array.tasks.live[0] != recorded {
		t.Errorf("%d live attempts", array.LiveTasks())
	}
}

// An attempt that ends twice, as two proofs of it arrive, must not end the task's next attempt.
func TestSecondProofDoesNotEndNextAttempt(t *testing.T) {
	store := New()
	array := addArray(t, store, testID, 1, 10)
	lost := startRecorded(t, store, array, 0, 11)
	store.EndAttempt(lost, false, startTime)
	next := start(store, array, 0, startTime)
	store.EndAttempt(lost, true, startTime)
	if array.tasks.live[0] != next || array.DoneTasks() != 0 {
		t.Errorf("live attempt %v, %d done", array.tasks.live[0], array.DoneTasks())
	}
}

// A task that waits again is found, also if it is below those that were started since.
func TestLostTaskStartsAgain(t *testing.T) {
	store := New()
	array := addArray(t, store, testID, 6, 10)
	var attempts []*Attempt
	for task := range 6 {
		attempts = append(attempts, start(store, array, task, startTime))
	}
	if task := array.NextStartable(0, largeValue); task != -1 {
		t.Errorf("task %d may start where none waits", task)
	}
	store.EndAttempt(attempts[3], false, startTime)
	store.EndAttempt(attempts[1], false, startTime)
	for _, test := range []struct{ from, want int }{{0, 1}, {1, 1}, {2, 3}, {4, -1}} {
		if task := array.NextStartable(test.from, largeValue); task != test.want {
			t.Errorf("next task from %d: %d, want %d", test.from, task, test.want)
		}
	}
}
