package api

import (
	"slices"
	"strings"
	"testing"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/jobstore"
)

// Guards against running a job twice: A submission is recorded before it is accepted, and a repeated
// submission, even after the job's end, does not record the job again.
func TestSubmit(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.expect(f.submit(submission("wk-000001")), 201, StatusPending)
		if record := f.record("wk-000001"); record.Spec.Tasks != 10 || record.ChunkSize != 10 || record.SubmittedMS == 0 {
			t.Errorf("record %+v, want 10 tasks, a chunk size of 10 and a time of submission", record)
		}
		if changed := f.snapshot(&f.changed); !slices.Equal(changed, []string{"wk-000001"}) {
			t.Errorf("OnJobChanged got %v, want wk-000001 once", changed)
		}
		f.expect(f.submit(submission("wk-000001")), 200, StatusPending)
		f.finish("wk-000001", StatusDone, 10)
		f.expect(f.submit(submission("wk-000001")), 200, StatusDone)
		if keys := f.store.Keys(jobstore.JobPrefix); len(keys) != 0 {
			t.Errorf("a finished job was recorded again: %v", keys)
		}
	})
}

// A submission that the store applied without a response is read back and answered with 200.
func TestSubmitAppliedWithoutAnswer(t *testing.T) {
	inBubble(t, func(_ *testing.T, f *fixture) {
		f.store.SetFaults(fake.StoreFaults{LoseNextResponses: 1})
		f.expect(f.submit(submission("wk-000001")), 200, StatusPending)
		f.record("wk-000001")
	})
}

// A submission whose outcome is unknown, as the store may still apply it, is neither accepted nor
// refused.
func TestSubmitInDoubt(t *testing.T) {
	inBubble(t, func(_ *testing.T, f *fixture) {
		f.store.SetFaults(fake.StoreFaults{HoldNext: 1, HoldPrefix: jobstore.JobPrefix})
		f.expectUnavailable(f.submit(submission("wk-000001")))
		f.store.ReleaseHeld()
		f.expect(f.submit(submission("wk-000001")), 200, StatusPending)
	})
}

// Guards against refusing submissions that may be accepted later: Gangs are answered with 503 until all
// controllers support them, and new jobs until the catalog of machine types is loaded.
func TestSubmitNotYetPossible(t *testing.T) {
	inBubble(t, func(_ *testing.T, f *fixture) {
		gang := submission("wk-000001")
		gang["shape"], gang["tickets"] = "ensemble", 2
		f.gangsUnsupported.Store(true)
		f.expectUnavailable(f.submit(gang))
		f.mustSubmit("wk-000002") // other shapes are accepted meanwhile
		f.catalogUnknown.Store(true)
		f.expectUnavailable(f.submit(submission("wk-000003")))
		f.expect(f.submit(submission("wk-000002")), 200, StatusPending)
		f.gangsUnsupported.Store(false)
		f.catalogUnknown.Store(false)
		f.expect(f.submit(gang), 201, StatusPending)
	})
}

// Of the machine types that a submission names, the record keeps only those on which a task can run.
func TestSubmitKeepsAllowedTypes(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		restricted := submission("wk-000001")
		restricted["cpus"], restricted["builds"] = 8.0, []string{"small", "large", "medium"}
		f.expect(f.submit(restricted), 201, StatusPending)
		if types := f.record("wk-000001").Spec.Types; !slices.Equal(types, []string{"large"}) {
			t.Errorf("types %v, want large", types)
		}
		f.mustSubmit("wk-000002")
		if types := f.record("wk-000002").Spec.Types; types != nil {
			t.Errorf("types %v of a job that allows any, want nil", types)
		}
	})
}

// Guards against submissions that are repeated in vain: The key-value store counts the JSON form of a record,
// in which unusual characters take several bytes, and refuses a record over its limit each time. Such a
// submission is refused at once. The longest usual description is accepted, and can be cancelled, which
// makes its record longer.
func TestSubmitTooLongForTheStore(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		tooLong := submission("wk-000001")
		tooLong["lane"], tooLong["bundle"] = strings.Repeat("\x01", 200), strings.Repeat("\x02", 200)
		f.expectRefused(f.submit(tooLong), 400)
		for i, character := range []string{"x", "é"} {
			id := []string{"wk-000002", "wk-000003"}[i]
			longest := submission(id)
			name := strings.Repeat(character, 200/len(character))
			longest["lane"], longest["bundle"], longest["builds"], longest["depot"] = name, name, []string{"small", "large"}, "east"
			f.expect(f.submit(longest), 201, StatusPending)
			f.expect(f.cancel(id), 200, StatusCancelled)
		}
		f.mustSubmit("wk-000001")
		f.expect(f.submit(tooLong), 200, StatusPending) // the job exists, so it is not refused
		if refused := f.store.Refusals(); refused.TooLarge != 0 {
			t.Errorf("%d transactions refused by the store for their size, want 0", refused.TooLarge)
		}
	})
}

// Guards against a job that can be submitted but not cancelled: The cancellation adds fields to the record,
// so a description just below the limit leaves room for them or is refused.
func TestSubmittedJobCanBeCancelled(t *testing.T) {
	for unusual := range 100 {
		inBubble(t, func(_ *testing.T, f *fixture) {
			job := submission("wk-000001")
			job["lane"], job["bundle"] = strings.Repeat("\x01", 200), strings.Repeat("x", 200-unusual)+strings.Repeat("\x02", unusual)
			if response := f.submit(job); response.Status == 201 {
				f.expect(f.cancel("wk-000001"), 200, StatusCancelled)
			} else {
				f.expectRefused(response, 400)
			}
		})
	}
}
