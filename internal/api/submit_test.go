package api

import (
	"slices"
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
