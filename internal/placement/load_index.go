package placement

import (
	"math"
	"time"
)

// Index is the load index of Ferrari and Zhou for one machine: for each
// resource the exponentially smoothed number of tasks that book it, summed
// with unit weights.
type Index struct {
	q    Amounts
	last time.Time
}

// Value returns the index.
func (x *Index) Value() float64 { return x.q[CPU] + x.q[Memory] + x.q[GPU] }

// Update takes the numbers of tasks that book each resource now. Each update
// interval the old value keeps the weight e^(-interval/T); intervals missed are
// made up for, so that the index does not depend on the caller's pace.
func (x *Index) Update(counts Amounts, now time.Time, interval, smoothing time.Duration) {
	if x.last.IsZero() {
		x.last = now.Add(-interval)
	}
	steps := math.Floor(float64(now.Sub(x.last)) / float64(interval))
	if steps < 1 {
		return
	}
	x.last = x.last.Add(time.Duration(steps) * interval)
	keep := math.Exp(-steps * float64(interval) / float64(smoothing))
	for r := range x.q {
		x.q[r] = x.q[r]*keep + counts[r]*(1-keep)
	}
}
