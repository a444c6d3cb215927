package placement

import "math"

// Resources counted by the load index, and the amounts booked and free.
const (
	CPU = iota
	Memory
	GPU
	NumResources
)

// Amounts holds one amount for each resource.
type Amounts [NumResources]float64

// tolerance absorbs the rounding of sums of decimal amounts.
const tolerance = 1e-6

// Fits tells whether need fits into a.
func (a Amounts) Fits(need Amounts) bool {
	for r := range a {
		if need[r] > a[r]+tolerance {
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
			n = min(n, int(math.Max(0, a[r]+tolerance)/need[r]))
		}
	}
	return n
}
