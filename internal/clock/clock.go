// Package clock waits for a while, or for the end of what the wait is for.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, and tells whether it waited for all of d.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
