package placement

// The load index, by which machines are ranked for a task (ranking.go).

import (
	"math"
	"time"
)

// LoadIndex is the load index of Ferrari and Zhou for one machine: the exponentially smoothed number of
// tasks that book a resource, summed over all resources with unit weights. The zero value is the index
// of a machine that has had no tasks. A LoadIndex is not safe for concurrent use.
type LoadIndex struct {
	smoothedCounts Amounts
	updatedAt      time.Time // a whole number of intervals after the first update; zero: never updated
}

// Value returns the current value of the index.
func (x *LoadIndex) Value() float64 {
	return x.smoothedCounts[CPU] + x.smoothedCounts[Memory] + x.smoothedCounts[GPU]
}

// Update smooths the index towards counts, the current numbers of tasks that book each resource. For
// each complete interval since the last update the old value keeps the weight e^(-interval/smoothing).
// All intervals without an update are applied at once, so that the index does not depend on how often
// Update is called. Update does nothing if no interval is complete.
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
