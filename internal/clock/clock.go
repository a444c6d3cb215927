// Package clock provides a sleep that ends early when a context ends, and a measure of elapsed time that
// counts suspensions of the process.
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

// Elapsed returns the time from start to now, measured by the monotonic clock or by the wall clock,
// whichever gives the longer time. Guards against old information that passes for fresh after the
// process was suspended: one of the clocks may not advance during the suspension, and measured by
// that clock alone the information would seem recent.
func Elapsed(now, start time.Time) time.Duration {
	monotonic := now.Sub(start)
	wall := now.Round(0).Sub(start.Round(0)) // Round strips the monotonic reading
	return max(monotonic, wall)
}
