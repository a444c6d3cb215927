package placement

// The load index, which the design places tasks by.

import (
	"math"
	"time"
)

// LoadIndex is the load index of Ferrari and Zhou for one machine: for each resource the exponentially smoothed
// number of tasks that book it, summed with unit weights. The zero value is that of a machine that has had
// no tasks. The caller guards it.
type LoadIndex struct {
	smoothedCounts Amounts
	updatedAt      time.Time // a whole number of intervals after the first update
}

// Value returns the index.
func (x *LoadIndex) Value() float64 {
	return x.smoothedCounts[CPU] + x.smoothedCounts[Memory] + x.smoothedCounts[GPU]
}

// Update takes the numbers of tasks that book each resource now. With each update interval the old value
// keeps the weight e^(-interval/smoothing). Intervals that were missed are made up for, so that the index
// does not depend on how often the caller updates it.
func (x *LoadIndex) Update(counts Amounts, now time.Time, interval, smoothing time.Duration) {
	if x.updatedAt.IsZero() {
		x.updatedAt = now.Add(-interval)
	}
	intervals := math.Floor(float64(now.Sub(x.updatedAt)) / float64(interval))
	if intervals < 1 {
		return
	}
	x.updatedAt = x.updatedAt.Add(time.Duration(intervals) * interval)
	keep := math.Exp(-intervals * float64(interval) / float64(smoothing))
	for resource := range x.smoothedCounts {
		x.smoothedCounts[resource] = x.smoothedCounts[resource]*keep + counts[resource]*(1-keep)
	}
}
