package placement

import (
	"math"
	"time"
)

// Index is the load index of Ferrari and Zhou for one machine: for each
// resource the exponentially smoothed number of tasks that book it, summed
// with unit weights.
type Index struct {
	smoothedCounts Amounts
	updatedAt      time.Time
}

// Value returns the index.
func (x *Index) Value() float64 {
	return x.smoothedCounts[CPU] + x.smoothedCounts[Memory] + x.smoothedCounts[GPU]
}

// Update takes the numbers of tasks that book each resource now. Each update
// interval the old value keeps the weight e^(-interval/T); intervals missed are
// made up for, so that the index does not depend on the caller's pace.
func (x *Index) Update(counts Amounts, now time.Time, interval, smoothing time.Duration) {
	if x.updatedAt.IsZero() {
		x.updatedAt = now.Add(-interval)
	}
	steps := math.Floor(float64(now.Sub(x.updatedAt)) / float64(interval))
	if steps < 1 {
		return
	}
	x.updatedAt = x.updatedAt.Add(time.Duration(steps) * interval)
	keep := math.Exp(-steps * float64(interval) / float64(smoothing))
	for r := range x.smoothedCounts {
		x.smoothedCounts[r] = x.smoothedCounts[r]*keep + counts[r]*(1-keep)
	}
}
