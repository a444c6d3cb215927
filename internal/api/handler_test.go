package api

import (
	"testing"

	"tulipshelf/internal/fake"
)

// The paths and methods that users may ask for, and no others.
func TestRouting(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		for _, c := range []struct {
			method, path string
			status       int
		}{
			{"GET", "/v1/jobs", 405},
			{"DELETE", "/v1/jobs/wk-000001", 405},
			{"POST", "/v1/jobs/wk-000001", 405},
			{"GET", "/v1/jobs/wk-000001/abort", 405},
			{"GET", "/v1/jobs/", 404},
			{"GET", "/v1/jobs/wk-1", 404},
			{"POST", "/v1/jobs/wk-000001/stop", 404},
			{"GET", "/v1/jobs/wk-000001", 404},
			{"POST", "/v1/jobs/wk-000001/abort", 404},
		} {
			if response := f.serve(c.method, c.path, nil); response.Status != c.status {
				t.Errorf("%s %s: HTTP status %d, want %d", c.method, c.path, response.Status, c.status)
			}
		}
	})
}

// In an outage of the key-value store everything is answered 503 within the time for one request,
// but for what is known to have ended.
func TestOutage(t *testing.T) {
	inBubble(t, func(_ *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.mustSubmit("wk-000002")
		f.finish("wk-000002", StatusDone, 10)
		f.expect(f.poll("wk-000002"), 200, StatusDone)
		f.store.SetFaults(fake.StoreFaults{Down: true})
		f.expectUnavailable(f.submit(submission("wk-000001")))
		f.expectUnavailable(f.submit(submission("wk-000003")))
		f.expectUnavailable(f.poll("wk-000001"))
		f.expectUnavailable(f.cancel("wk-000001"))
		f.expect(f.submit(submission("wk-000002")), 200, StatusDone)
		f.expect(f.poll("wk-000002"), 200, StatusDone)
		f.expect(f.cancel("wk-000002"), 200, StatusDone)
		f.store.SetFaults(fake.StoreFaults{})
		f.expect(f.poll("wk-000001"), 200, StatusPending)
	})
}

// A store that answers too late counts as one that does not answer.
func TestSlowStore(t *testing.T) {
	inBubble(t, func(_ *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.store.SetFaults(fake.StoreFaults{Delay: 2 * requestTimeout})
		f.expectUnavailable(f.poll("wk-000001"))
		f.expectUnavailable(f.submit(submission("wk-000002")))
		f.expectUnavailable(f.cancel("wk-000001"))
	})
}
