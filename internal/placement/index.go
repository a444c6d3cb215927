// Package placement decides which machine a waiting task goes to. It is pure
// and deterministic: it is given machines, jobs and the time, and returns
// decisions.
package placement

import (
	"math"
	"time"
)

// Resources counted by the load index, and the amounts booked and free.
const (
	CPU = iota
	Memory
	GPU
	NumResources
)

// Amounts holds one amount for each resource.
type Amounts [NumResources]float64

// eps absorbs the rounding of sums of decimal amounts.
const eps = 1e-6

// Fits tells whether need fits into a.
func (a Amounts) Fits(need Amounts) bool {
	for r := range a {
		if need[r] > a[r]+eps {
			return false
		}
	}
	return true
}

// Add returns a + k*b.
func (a Amounts) Add(b Amounts, k float64) Amounts {
	for r := range a {
		a[r] += k * b[r]
	}
	return a
}

// Times returns how many times need fits into a.
func (a Amounts) Times(need Amounts) int {
	n := math.MaxInt32
	for r := range a {
		if need[r] > 0 {
			n = min(n, int(math.Max(0, a[r]+eps)/need[r]))
		}
	}
	return n
}

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
