package leader

import (
	"testing"
	"time"
)

// Leadership goes to a controller that far more machines reach, but not to and fro where nothing
// reaches the machines at all.
func TestTransferOnlyToAControllerThatIsReached(t *testing.T) {
	for _, c := range []struct {
		name       string
		counts     contactCounts
		leadingFor time.Duration
		want       bool
	}{
		{"machines come here", contactCounts{direct: 100, acknowledged: 100, redirected: 0}, time.Hour, false},
		{"as many go elsewhere", contactCounts{direct: 100, acknowledged: 100, redirected: 100}, time.Hour, false},
		{"more than twice as many go elsewhere", contactCounts{direct: 10, acknowledged: 100, redirected: 21}, time.Second, true},
		{"none comes here, some elsewhere", contactCounts{direct: 0, acknowledged: 3, redirected: 3}, time.Second, true},
		{"none was ever answered", contactCounts{direct: 0, acknowledged: 0, redirected: 50}, unacknowledgedTransferDelay - 1, false},
		{"none was ever answered, for a minute", contactCounts{direct: 0, acknowledged: 0, redirected: 50}, unacknowledgedTransferDelay, true},
	} {
		if got := c.counts.shouldTransfer(c.leadingFor); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
