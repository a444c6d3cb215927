// Package clock provides a sleep that ends early when a context ends.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, whichever is first, and reports whether it waited for all of
// d. If d is not positive, it does not wait and reports whether ctx is still active. It creates no timer
// that has already expired: under the race detector that is not safe in simulated time (package fake).
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
