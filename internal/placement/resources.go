package placement

// Resources: amounts of what tasks need and machines have.

import "math"

// Resource is a resource that the load index counts, and that tasks book on machines.
type Resource int

// The resources. Memory is in gigabytes.
const (
	CPU Resource = iota
	Memory
	GPU
	NumResources
)

// Amounts holds one amount for each Resource.
type Amounts [NumResources]float64

// tolerance absorbs the rounding of sums of decimal amounts: without it a machine is one task short of full.
const tolerance = 1e-6

// Fits reports whether need fits into a.
func (a Amounts) Fits(need Amounts) bool {
	for resource := range a {
		if need[resource] > a[resource]+tolerance {
			return false
		}
	}
	return true
}

// Add returns a + factor*b.
func (a Amounts) Add(b Amounts, factor float64) Amounts {
	for resource := range a {
		a[resource] += factor * b[resource]
	}
	return a
}

// FittingCount returns how many times need fits into a; math.MaxInt32 if nothing is needed.
func (a Amounts) FittingCount(need Amounts) int {
	times := math.MaxInt32
	for resource := range a {
		if need[resource] > 0 {
			times = min(times, int(math.Max(0, a[resource]+tolerance)/need[resource]))
		}
	}
	return times
}

func (a Amounts) isZero() bool { return a == Amounts{} }
