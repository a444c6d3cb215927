// Package clock holds waiting that ends early with a context.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, whichever is first, and reports whether it waited for all of
// d. It makes no timer that has expired already: under the race detector that is not safe in simulated
// time (package fake).
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
