package autoscaler

import (
	"math"
	"testing"
	"time"
)

const (
	testTimeConstant = 100 * time.Second
	testLoad         = 20.0 // seconds of run time that arrive per second
)

// addSteadyArrivals adds an arrival of testLoad every second, beginning at start, for the given number of
// seconds. It returns the time one second after the last arrival.
func addSteadyArrivals(history *DemandHistory, start time.Time, seconds int) time.Time {
	now := start
	for range seconds {
		history.Add(testLoad, now)
		now = now.Add(time.Second)
	}
	return now
}

// TestRateFollowsArrivals guards against a rate that differs from the load that arrives, that drops
// during a silence of ordinary length, or that stays high and so keeps machines long after arrivals have
// ceased.
func TestRateFollowsArrivals(t *testing.T) {
	history := DemandHistory{TimeConstant: testTimeConstant}
	start := time.Unix(0, 0)
	if history.Rate(start) != 0 {
		t.Error("rate is not 0 before any arrival")
	}
	now := addSteadyArrivals(&history, start, 1000)
	if got := history.Rate(now); math.Abs(got-testLoad) > 0.5 {
		t.Errorf("rate %v under steady load, want %v", got, testLoad)
	}
	if got := history.Rate(now.Add(2 * time.Second)); got < 19 {
		t.Errorf("rate %v after a silence of 2 s, want at least 19", got)
	}
	if got := history.Rate(now.Add(100 * time.Second)); got > 1 {
		t.Errorf("rate %v 100 s after the last arrival, want at most 1", got)
	}
}

// TestFirstArrivalIsNotSteadyLoad guards against a new history that treats its first arrivals as a load
// that has lasted for all of TimeConstant, which would be many times as high.
func TestFirstArrivalIsNotSteadyLoad(t *testing.T) {
	history := DemandHistory{TimeConstant: testTimeConstant}
	if !history.Empty() {
		t.Error("not empty before any arrival")
	}
	now := addSteadyArrivals(&history, time.Unix(0, 0), 1)
	if history.Empty() {
		t.Error("empty after an arrival")
	}
	if got := history.Rate(now); got > 1 {
		t.Errorf("rate %v after a single arrival of %v, want at most 1", got, testLoad)
	}
}

// TestOneLongSilenceIsNotTheUsualPace guards against a single long interval between arrivals after which
// a second one counts as ordinary: the rate would stay high and keep machines for arrivals that have
// ceased.
func TestOneLongSilenceIsNotTheUsualPace(t *testing.T) {
	const silence = 20 * time.Second
	history := DemandHistory{TimeConstant: testTimeConstant}
	now := addSteadyArrivals(&history, time.Unix(0, 0), 100)
	now = addSteadyArrivals(&history, now.Add(silence), 1)
	if got := history.meanInterval; got > 5 {
		t.Errorf("mean interval %v s after one of %v among intervals of 1 s", got, silence)
	}
	if during, after := history.Rate(now), history.Rate(now.Add(silence)); after > 0.6*during {
		t.Errorf("rate %v after a second silence, %v before it", after, during)
	}
}

// TestOldWorkCountsLess guards against counting old work as if it had just arrived, when a new leader
// reads jobs that arrived before its term.
func TestOldWorkCountsLess(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh, aged := DemandHistory{TimeConstant: testTimeConstant}, DemandHistory{TimeConstant: testTimeConstant}
	fresh.Add(1000, now)
	aged.Add(1000, now)
	fresh.Add(1000, now)
	aged.Add(1000, now.Add(-testTimeConstant))
	if freshRate, agedRate := fresh.Rate(now), aged.Rate(now); agedRate > 0.8*freshRate {
		t.Errorf("rate %v with work from %v ago, %v with current work", agedRate, testTimeConstant, freshRate)
	}
}
