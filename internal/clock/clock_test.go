package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep(t *testing.T) {
	for _, test := range []struct {
		name      string
		timeout   time.Duration // of the context
		completed bool
		sleptFor  time.Duration
	}{
		{"for all of the time", time.Hour, true, time.Minute},
		{"until the context ends", time.Second, false, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				start := time.Now()
				completed := Sleep(ctx, time.Minute)
				if sleptFor := time.Since(start); completed != test.completed || sleptFor != test.sleptFor {
					t.Errorf("Sleep returned %v after %v, want %v after %v", completed, sleptFor, test.completed, test.sleptFor)
				}
			})
		})
	}
}
