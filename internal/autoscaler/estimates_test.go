package autoscaler

import (
	"math"
	"testing"
	"time"
)

// TestEstimatesSurviveChangeOfLeader guards against a new leader that starts with other estimates than
// the earlier one has stored.
func TestEstimatesSurviveChangeOfLeader(t *testing.T) {
	var estimator, restoredEstimator RuntimeEstimator
	history, restoredHistory := DemandHistory{TimeConstant: testTimeConstant}, DemandHistory{TimeConstant: testTimeConstant}
	now := addSteadyArrivals(&history, time.Unix(1000, 0), 200)
	for range 200 {
		estimator.Add("class", 10, 20)
	}
	stored := NewEstimates(&history, &estimator)
	stored.Restore(&restoredHistory, &restoredEstimator)
	later := now.Add(3 * time.Second)
	if rate, restored := history.Rate(later), restoredHistory.Rate(later); math.Abs(rate-restored) > 0.01 {
		t.Errorf("restored rate %v, want %v", restored, rate)
	}
	if factor, restored := estimator.Factor("class"), restoredEstimator.Factor("class"); factor != restored {
		t.Errorf("restored factor %v, want %v", restored, factor)
	}
}

// TestDamagedEstimateIsLeftOut guards against an infinite factor from a damaged record in which the
// expected run time of a class is 0.
func TestDamagedEstimateIsLeftOut(t *testing.T) {
	stored := Estimates{RunTimes: map[string][2]float64{"class": {20, 0}}}
	var history DemandHistory
	var estimator RuntimeEstimator
	stored.Restore(&history, &estimator)
	if factor := estimator.Factor("class"); factor != 1 {
		t.Errorf("factor %v, want 1", factor)
	}
}
