package autoscaler

import (
	"math"
	"testing"
)

// TestEstimatesAreCorrectedSlowly guards against run times that are corrected before any task is
// recorded, too much by a single task, too little by many, or by tasks of another class.
func TestEstimatesAreCorrectedSlowly(t *testing.T) {
	const expected, actual = 10, 20
	var estimator RuntimeEstimator
	if estimator.Factor("class") != 1 {
		t.Error("factor is not 1 before any task is recorded")
	}
	estimator.Add("class", expected, actual)
	if factor := estimator.Factor("class"); factor < 1 || factor > 1.1 {
		t.Errorf("factor %v after one task, want 1 to 1.1", factor)
	}
	for range 500 {
		estimator.Add("class", expected, actual)
	}
	if factor := estimator.Factor("class"); math.Abs(factor-2) > 0.01 {
		t.Errorf("factor %v, want 2", factor)
	}
	if factor := estimator.Factor("other"); factor != 1 {
		t.Errorf("factor %v of another class, want 1", factor)
	}
}
