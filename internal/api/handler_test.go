package api

import (
	"testing"

	"tulipshelf/internal/fake"
)

// Requests for unknown paths or jobs are answered with 404, and those with unsupported methods with 405.
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

// In an outage of the key-value store every request is answered with 503 within requestTimeout, except
// those about jobs whose final status is cached.
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

// A store that answers later than requestTimeout is treated like one that does not answer.
func TestSlowStore(t *testing.T) {
	inBubble(t, func(_ *testing.T, f *fixture) {
		f.mustSubmit("wk-000001")
		f.store.SetFaults(fake.StoreFaults{Delay: 2 * requestTimeout})
		f.expectUnavailable(f.poll("wk-000001"))
		f.expectUnavailable(f.submit(submission("wk-000002")))
		f.expectUnavailable(f.cancel("wk-000001"))
	})
}
