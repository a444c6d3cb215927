package api

import (
	"slices"
	"testing"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/jobstore"
)

// A submission is recorded before it is accepted, and a repetition is the same job.
func TestSubmit(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.expect(f.submit(submission("wk-000001")), 201, StatusPending)
		if record := f.record("wk-000001"); record.Spec.Tasks != 10 || record.ChunkSize != 10 || record.SubmittedMS == 0 {
			t.Errorf("record %+v", record)
		}
		if changed := f.snapshot(&f.changed); !slices.Equal(changed, []string{"wk-000001"}) {
			t.Errorf("changed: %v", changed)
		}
		f.expect(f.submit(submission("wk-000001")), 200, StatusPending)
		f.finish("wk-000001", StatusDone, 10)
		f.expect(f.submit(submission("wk-000001")), 200, StatusDone)
		if keys := f.store.Keys(jobstore.JobPrefix); len(keys) != 0 {
			t.Errorf("a finished job was recorded anew: %v", keys)
		}
	})
}

// A submission that was applied without an answer is read back and reported as known.
func TestSubmitAppliedWithoutAnswer(t *testing.T) {
	inBubble(t, func(_ *testing.T, f *fixture) {
		f.store.SetFaults(fake.StoreFaults{LoseNextResponses: 1})
		f.expect(f.submit(submission("wk-000001")), 200, StatusPending)
		f.record("wk-000001")
	})
}

// A submission that may yet be applied is neither accepted nor refused.
func TestSubmitInDoubt(t *testing.T) {
	inBubble(t, func(_ *testing.T, f *fixture) {
		f.store.SetFaults(fake.StoreFaults{HoldNext: 1, HoldPrefix: jobstore.JobPrefix})
		f.expectUnavailable(f.submit(submission("wk-000001")))
		f.store.ReleaseHeld()
		f.expect(f.submit(submission("wk-000001")), 200, StatusPending)
	})
}

// What this node cannot judge yet is not refused.
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

// Machine types that a job names but does not fit are left out of its record.
func TestSubmitKeepsAllowedTypes(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		restricted := submission("wk-000001")
		restricted["cpus"], restricted["builds"] = 8.0, []string{"small", "large", "medium"}
		f.expect(f.submit(restricted), 201, StatusPending)
		if types := f.record("wk-000001").Spec.Types; !slices.Equal(types, []string{"large"}) {
			t.Errorf("types %v", types)
		}
		f.mustSubmit("wk-000002")
		if types := f.record("wk-000002").Spec.Types; types != nil {
			t.Errorf("types %v of a job that allows any", types)
		}
	})
}
