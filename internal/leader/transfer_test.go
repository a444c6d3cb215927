package leader

import (
	"testing"
	"time"
)

// Guards against a leader that keeps the leadership although far more machines reach another controller,
// and against endless transfers between controllers while nothing reaches the machines at all.
func TestTransferOnlyToAControllerThatIsReached(t *testing.T) {
	for _, c := range []struct {
		name       string
		counts     contactCounts
		leadingFor time.Duration
		want       bool
	}{
		{"all machines reach this leader", contactCounts{direct: 100, acknowledged: 100, redirected: 0}, time.Hour, false},
		{"as many reach the other controller", contactCounts{direct: 100, acknowledged: 100, redirected: 100}, time.Hour, false},
		{"more than twice as many reach the other controller", contactCounts{direct: 10, acknowledged: 100, redirected: 21}, time.Second, true},
		{"none reaches this leader, some the other controller", contactCounts{direct: 0, acknowledged: 3, redirected: 3}, time.Second, true},
		{"none has acknowledged a token", contactCounts{direct: 0, acknowledged: 0, redirected: 50}, unacknowledgedTransferDelay - 1, false},
		{"none has acknowledged a token, after a minute", contactCounts{direct: 0, acknowledged: 0, redirected: 50}, unacknowledgedTransferDelay, true},
	} {
		if got := c.counts.shouldTransfer(c.leadingFor); got != c.want {
			t.Errorf("%s: shouldTransfer %v, want %v", c.name, got, c.want)
		}
	}
}
