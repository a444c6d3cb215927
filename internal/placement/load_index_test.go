package placement

import (
	"math"
	"testing"
	"time"
)

// TestIndexIndependentOfUpdatePace guards against two errors in the weight of the old value. For one
// interval the weight is e^(-interval/smoothing), although the design's paper prints e^(-smoothing).
// After a gap the weight covers all intervals since the last update, not only one.
func TestIndexIndependentOfUpdatePace(t *testing.T) {
	const seconds, smoothing = 8, 4 * time.Second
	at := func(second int) time.Time { return time.Unix(int64(second), 0) }
	oneTask := Amounts{CPU: 1}
	var regular, withGap LoadIndex
	for second := 1; second <= seconds; second++ {
		regular.Update(oneTask, at(second), time.Second, smoothing)
	}
	withGap.Update(oneTask, at(1), time.Second, smoothing)
	withGap.Update(oneTask, at(seconds), time.Second, smoothing)
	want := 1 - math.Exp(-seconds/smoothing.Seconds())
	if got := regular.Value(); math.Abs(got-want) > 1e-9 {
		t.Errorf("index updated every second: %v, want %v", got, want)
	}
	if got := withGap.Value(); math.Abs(got-want) > 1e-9 {
		t.Errorf("index updated with a gap: %v, want %v", got, want)
	}
}
