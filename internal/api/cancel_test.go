package api

import (
	"slices"
	"testing"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/jobstore"
)

// Guards against telling users of a cancellation that no majority of the controllers holds: It is
// recorded and passed to the node at once, but users get 503 until it is replicated.
func TestCancelAnsweredOnceReplicated(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.notReplicated.Store(true)
		f.expectUnavailable(f.cancel("wk-000001"))
		if f.record("wk-000001").CancelledMS == 0 {
			t.Error("the cancellation is not recorded")
		}
		if cancelled := f.snapshot(&f.cancelledByRequests); !slices.Equal(cancelled, []string{"wk-000001"}) {
			t.Errorf("OnJobCancelled got %v, want wk-000001 once", cancelled)
		}
		if read := f.snapshot(&f.cancelledByReads); !slices.Equal(read, []string{"wk-000001"}) {
			t.Errorf("OnCancellationsRead got %v, want wk-000001 once", read)
		}
		f.expectUnavailable(f.poll("wk-000001"))
		f.expectUnavailable(f.submit(submission("wk-000001")))
		f.notReplicated.Store(false)
		f.expect(f.poll("wk-000001"), 200, StatusCancelled)
		f.notReplicated.Store(true) // a status that was reported once may be reported again
		f.expect(f.poll("wk-000001"), 200, StatusCancelled)
		f.expect(f.cancel("wk-000001"), 200, StatusCancelled)
		f.expect(f.submit(submission("wk-000001")), 200, StatusCancelled)
	})
}

// Guards against a repeated cancellation that writes the record again, which could change the job's
// arrival or time of cancellation.
func TestCancelAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.notReplicated.Store(true)
		f.expectUnavailable(f.cancel("wk-000001"))
		first, changes := f.record("wk-000001"), f.store.MutationsOf("")
		f.notReplicated.Store(false)
		f.expect(f.cancel("wk-000001"), 200, StatusCancelled)
		if f.store.MutationsOf("") != changes {
			t.Error("the repeated cancellation changed the store")
		}
		if again := f.record("wk-000001"); again.CancelledMS != first.CancelledMS || again.Arrival == 0 || again.Arrival != first.Arrival {
			t.Errorf("record %+v, then %+v; want the same cancellation and the same arrival, not 0", first, again)
		}
	})
}

// A cancellation that the store applied without a response is read back and answered with 200.
func TestCancelAppliedWithoutAnswer(t *testing.T) {
	inBubble(t, func(_ *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.store.SetFaults(fake.StoreFaults{LoseNextResponses: 1})
		f.expect(f.cancel("wk-000001"), 200, StatusCancelled)
	})
}

// Guards against telling users of a cancellation whose outcome is unknown: The store holds back the
// transactions of all attempts and may still apply them.
func TestCancelInDoubt(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.store.SetFaults(fake.StoreFaults{HoldNext: maxCancelAttempts, HoldPrefix: jobstore.JobPrefix})
		f.expectUnavailable(f.cancel("wk-000001"))
		if cancelled := f.snapshot(&f.cancelledByRequests); len(cancelled) != 0 {
			t.Errorf("OnJobCancelled got %v while the outcome is unknown, want no call", cancelled)
		}
		f.store.ReleaseHeld()
		f.expect(f.cancel("wk-000001"), 200, StatusCancelled)
	})
}

// The cancellation of a job that has ended is answered with its final status, and that of a job that
// does not exist with 404. Neither is passed to the node.
func TestCancelFinished(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.finish("wk-000001", StatusDone, 10)
		f.expect(f.cancel("wk-000001"), 200, StatusDone)
		f.expectRefused(f.cancel("wk-000002"), 404)
		if cancelled := f.snapshot(&f.cancelledByRequests); len(cancelled) != 0 {
			t.Errorf("OnJobCancelled got %v, want no call", cancelled)
		}
	})
}
