package autoscaler

// Demand history: the load that arrivals usually bring, for which machines are kept before it comes.

import (
	"math"
	"time"
)

// DemandHistory estimates the load that arrivals bring: run time that arrives in a second, which is the
// number of tasks that run at once on average. The caller sets Memory before the first use and guards it.
type DemandHistory struct {
	Memory time.Duration // the past loses all but 1/e of its weight in this time

	decayedSeconds float64   // run time that arrived, each arrival weighted by its age at decayedAt
	firstArrival   time.Time // zero: nothing has arrived
	decayedAt      time.Time
	lastArrival    time.Time
	meanInterval   float64 // smoothed seconds between arrivals; zero: not known
}

const (
	// maxSilenceIntervals is how many mean intervals without an arrival are taken for chance. A longer silence
	// means that arrivals have ceased, long before Memory has passed.
	maxSilenceIntervals = 3

	// intervalSmoothing gives how far the mean moves with each new interval: one part in so many of the
	// difference, so that one long silence does not pass for the usual pace.
	intervalSmoothing = 8

	// minObservedShare bounds by how much an estimate is raised for the part of Memory that it has not lived
	// to see: the first arrivals alone would stand for a load many times as high.
	minObservedShare = 0.6
)

// Add counts work that arrived at a time, in seconds of run time. The time may be past: a new leader reads
// of jobs that arrived before it led.
func (h *DemandHistory) Add(seconds float64, at time.Time) {
	h.decay(at)
	if at.Before(h.firstArrival) {
		h.firstArrival = at
	}
	age := h.decayedAt.Sub(at)
	h.decayedSeconds += seconds * math.Exp(-age.Seconds()/h.Memory.Seconds())
	h.addInterval(at.Sub(h.lastArrival).Seconds())
	if at.After(h.lastArrival) {
		h.lastArrival = at
	}
}

// addInterval counts the seconds since the last arrival, if there was one before.
func (h *DemandHistory) addInterval(seconds float64) {
	if h.lastArrival.IsZero() || seconds <= 0 {
		return
	}
	if h.meanInterval == 0 {
		h.meanInterval = seconds
	}
	h.meanInterval += (seconds - h.meanInterval) / intervalSmoothing
}

// Empty reports whether nothing has been counted.
func (h *DemandHistory) Empty() bool { return h.lastArrival.IsZero() }

// Rate returns the estimate, in seconds of run time that arrive in a second.
func (h *DemandHistory) Rate(now time.Time) float64 {
	if h.firstArrival.IsZero() {
		return 0
	}
	h.decay(now)
	memory := h.Memory.Seconds()
	observedShare := 1 - math.Exp(-now.Sub(h.firstArrival).Seconds()/memory)
	rate := h.decayedSeconds / (memory * math.Max(observedShare, minObservedShare))
	silence := now.Sub(h.lastArrival).Seconds()
	if h.meanInterval > 0 && silence > maxSilenceIntervals*h.meanInterval {
		rate *= maxSilenceIntervals * h.meanInterval / silence
	}
	return rate
}

// decay lowers the weight of past arrivals to what it is now; a time that is past changes nothing.
func (h *DemandHistory) decay(now time.Time) {
	if h.firstArrival.IsZero() {
		h.firstArrival, h.decayedAt = now, now
	}
	if elapsed := now.Sub(h.decayedAt); elapsed > 0 {
		h.decayedSeconds *= math.Exp(-elapsed.Seconds() / h.Memory.Seconds())
		h.decayedAt = now
	}
}
