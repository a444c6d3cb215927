package autoscaler

import (
	"math"
	"testing"
)

// TestEstimatesAreCorrectedSlowly fails if run times are corrected before anything is known, if a single task
// decides for its class, if many do not, or if classes are mixed up.
func TestEstimatesAreCorrectedSlowly(t *testing.T) {
	const expected, actual = 10, 20
	var estimator RuntimeEstimator
	if estimator.Factor("class") != 1 {
		t.Error("corrected before anything is known")
	}
	estimator.Add("class", expected, actual)
	if factor := estimator.Factor("class"); factor < 1 || factor > 1.1 {
		t.Errorf("one task changes the factor to %v", factor)
	}
	for range 500 {
		estimator.Add("class", expected, actual)
	}
	if factor := estimator.Factor("class"); math.Abs(factor-2) > 0.01 {
		t.Errorf("factor %v, want 2", factor)
	}
	if factor := estimator.Factor("other"); factor != 1 {
		t.Errorf("factor of another class %v, want 1", factor)
	}
}
