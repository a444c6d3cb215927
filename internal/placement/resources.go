package placement

// Resources that tasks need and machines have.

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

// tolerance absorbs rounding errors in sums of decimal amounts. Without it, a machine is filled to one
// task short of its capacity.
const tolerance = 1e-6

// Fits reports whether the amounts cover a need, up to the rounding tolerance.
func (a Amounts) Fits(need Amounts) bool {
	for resource := range a {
		if need[resource] > a[resource]+tolerance {
			return false
		}
	}
	return true
}

// Add returns the amounts plus factor times b.
func (a Amounts) Add(b Amounts, factor float64) Amounts {
	for resource := range a {
		a[resource] += factor * b[resource]
	}
	return a
}

// FittingCount returns how many tasks with the given need the amounts cover, at most math.MaxInt32.
func (a Amounts) FittingCount(need Amounts) int {
	times := float64(math.MaxInt32) // a count beyond the range of int would turn negative
	for resource := range a {
		if need[resource] > 0 {
			times = min(times, math.Max(0, a[resource]+tolerance)/need[resource])
		}
	}
	return int(times)
}

func (a Amounts) isZero() bool { return a == Amounts{} }
