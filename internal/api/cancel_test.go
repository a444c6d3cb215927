package api

import (
	"slices"
	"testing"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/jobstore"
)

// A cancellation is told to nobody before a majority of the controllers holds it, though it is
// recorded and reported to the node at once.
func TestCancelAnsweredOnceReplicated(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.notReplicated.Store(true)
		f.expectUnavailable(f.cancel("wk-000001"))
		if f.record("wk-000001").CancelledMS == 0 {
			t.Error("not recorded")
		}
		if cancelled := f.snapshot(&f.cancelledByRequests); !slices.Equal(cancelled, []string{"wk-000001"}) {
			t.Errorf("reported: %v", cancelled)
		}
		if read := f.snapshot(&f.cancelledByReads); !slices.Equal(read, []string{"wk-000001"}) {
			t.Errorf("found by reads: %v", read)
		}
		f.expectUnavailable(f.poll("wk-000001"))
		f.expectUnavailable(f.submit(submission("wk-000001")))
		f.notReplicated.Store(false)
		f.expect(f.poll("wk-000001"), 200, StatusCancelled)
		f.notReplicated.Store(true) // it was told once, so it may be told again
		f.expect(f.poll("wk-000001"), 200, StatusCancelled)
		f.expect(f.cancel("wk-000001"), 200, StatusCancelled)
		f.expect(f.submit(submission("wk-000001")), 200, StatusCancelled)
	})
}

// Cancelling again changes nothing in the record.
func TestCancelAgain(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.notReplicated.Store(true)
		f.expectUnavailable(f.cancel("wk-000001"))
		first, changes := f.record("wk-000001"), f.store.Changes("")
		f.notReplicated.Store(false)
		f.expect(f.cancel("wk-000001"), 200, StatusCancelled)
		if f.store.Changes("") != changes {
			t.Error("recorded twice")
		}
		if again := f.record("wk-000001"); again.CancelledMS != first.CancelledMS || again.Arrival == 0 || again.Arrival != first.Arrival {
			t.Errorf("record %+v, then %+v", first, again)
		}
	})
}

// A cancellation that was applied without an answer is read back.
func TestCancelAppliedWithoutAnswer(t *testing.T) {
	inBubble(t, func(_ *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.store.SetFaults(fake.StoreFaults{LoseNextResponses: 1})
		f.expect(f.cancel("wk-000001"), 200, StatusCancelled)
	})
}

// A cancellation that may yet be applied is not told.
func TestCancelInDoubt(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.store.SetFaults(fake.StoreFaults{HoldNext: maxCancelAttempts, HoldPrefix: jobstore.JobPrefix})
		f.expectUnavailable(f.cancel("wk-000001"))
		if cancelled := f.snapshot(&f.cancelledByRequests); len(cancelled) != 0 {
			t.Errorf("reported: %v", cancelled)
		}
		f.store.ReleaseHeld()
		f.expect(f.cancel("wk-000001"), 200, StatusCancelled)
	})
}

// Cancelling a job that has ended tells its final state, and of no job that there is none.
func TestCancelFinished(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.finish("wk-000001", StatusDone, 10)
		f.expect(f.cancel("wk-000001"), 200, StatusDone)
		f.expectRefused(f.cancel("wk-000002"), 404)
		if cancelled := f.snapshot(&f.cancelledByRequests); len(cancelled) != 0 {
			t.Errorf("reported: %v", cancelled)
		}
	})
}
