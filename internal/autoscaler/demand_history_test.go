package autoscaler

import (
	"math"
	"testing"
	"time"
)

const (
	testMemory = 100 * time.Second
	testLoad   = 20.0 // seconds of run time that arrive each second
)

// addSteadyArrivals counts an arrival a second and returns the time behind the last.
func addSteadyArrivals(history *DemandHistory, start time.Time, seconds int) time.Time {
	now := start
	for range seconds {
		history.Add(testLoad, now)
		now = now.Add(time.Second)
	}
	return now
}

// TestRateFollowsArrivals fails if the rate is other than what arrives, drops at a silence like others, or
// keeps machines long after arrivals have ceased.
func TestRateFollowsArrivals(t *testing.T) {
	history := DemandHistory{Memory: testMemory}
	start := time.Unix(0, 0)
	if history.Rate(start) != 0 {
		t.Error("load before any arrival")
	}
	now := addSteadyArrivals(&history, start, 1000)
	if got := history.Rate(now); math.Abs(got-testLoad) > 0.5 {
		t.Errorf("steady load %v, want %v", got, testLoad)
	}
	if got := history.Rate(now.Add(2 * time.Second)); got < 19 {
		t.Errorf("after a silence like others %v", got)
	}
	if got := history.Rate(now.Add(100 * time.Second)); got > 1 {
		t.Errorf("long after the last arrival %v", got)
	}
}

// TestFirstArrivalIsNotSteadyLoad fails if a history that has just begun takes its first arrivals for a load that
// has gone on for as long as it can remember, many times as high.
func TestFirstArrivalIsNotSteadyLoad(t *testing.T) {
	history := DemandHistory{Memory: testMemory}
	if !history.Empty() {
		t.Error("not empty before any arrival")
	}
	now := addSteadyArrivals(&history, time.Unix(0, 0), 1)
	if history.Empty() {
		t.Error("empty after an arrival")
	}
	if got := history.Rate(now); got > 1 {
		t.Errorf("load %v after a single arrival of %v", got, testLoad)
	}
}

// TestOneLongSilenceIsNotTheUsualPace fails if a single long interval between arrivals makes the history take
// a second one for usual, and so keep machines for arrivals that have ceased.
func TestOneLongSilenceIsNotTheUsualPace(t *testing.T) {
	const silence = 20 * time.Second
	history := DemandHistory{Memory: testMemory}
	now := addSteadyArrivals(&history, time.Unix(0, 0), 100)
	now = addSteadyArrivals(&history, now.Add(silence), 1)
	if got := history.meanInterval; got > 5 {
		t.Errorf("mean interval %v s after one of %v among intervals of 1 s", got, silence)
	}
	if during, after := history.Rate(now), history.Rate(now.Add(silence)); after > 0.6*during {
		t.Errorf("rate %v after a second silence, %v before it", after, during)
	}
}

// TestOldWorkCountsLess fails if what a new leader reads of jobs that arrived before counts as if it came now.
func TestOldWorkCountsLess(t *testing.T) {
	now := time.Unix(1000, 0)
	fresh, aged := DemandHistory{Memory: testMemory}, DemandHistory{Memory: testMemory}
	fresh.Add(1000, now)
	aged.Add(1000, now)
	fresh.Add(1000, now)
	aged.Add(1000, now.Add(-testMemory))
	if freshRate, agedRate := fresh.Rate(now), aged.Rate(now); agedRate > 0.8*freshRate {
		t.Errorf("work of %v ago counts %v, of now %v", testMemory, agedRate, freshRate)
	}
}
