package autoscaler

// Demand history: the average load caused by arrivals, for which machines are kept in advance.

import (
	"math"
	"time"
)

// DemandHistory estimates the load caused by arrivals, in CPU seconds that arrive per second. This
// equals the average number of CPUs in use at once. The caller sets TimeConstant before the first use
// and guards the history against concurrent use.
type DemandHistory struct {
	TimeConstant time.Duration // time in which the weight of an arrival falls to 1/e; must be positive

	decayedSeconds float64   // CPU seconds that arrived, each arrival weighted by its age at decayedAt
	firstArrival   time.Time // zero if nothing has arrived
	decayedAt      time.Time
	lastArrival    time.Time
	meanInterval   float64 // smoothed interval between arrivals, in seconds; zero if unknown
}

const (
	// maxSilenceIntervals is the longest time without an arrival that is attributed to chance, in mean
	// intervals. After a longer silence, arrivals may have ceased: Rate then lowers the load without
	// waiting for the weights to decay with TimeConstant.
	maxSilenceIntervals = 3

	// intervalSmoothing is the inverse of the weight of a new interval in the smoothed mean. Guards
	// against a single long silence that counts as the usual interval.
	intervalSmoothing = 8

	// minObservedShare is the lower bound of the observed share: the share that the time since the first
	// arrival has in the total weight of an endless history. Rates are divided by this share to make up for
	// the part not observed. Without the bound the first arrivals alone would count as a load many times as
	// high.
	minObservedShare = 0.6
)

// Add records the arrival of work, in CPU seconds, at the given time. The time may be in the past:
// a new leader reads jobs that arrived before its term.
func (h *DemandHistory) Add(seconds float64, at time.Time) {
	h.decay(at)
	if at.Before(h.firstArrival) {
		h.firstArrival = at
	}
	age := h.decayedAt.Sub(at)
	h.decayedSeconds += seconds * math.Exp(-age.Seconds()/h.TimeConstant.Seconds())
	h.addInterval(at.Sub(h.lastArrival).Seconds())
	if at.After(h.lastArrival) {
		h.lastArrival = at
	}
}

// addInterval updates the mean interval with the seconds since the last arrival. It ignores the first
// arrival and those that are not later than the last.
func (h *DemandHistory) addInterval(seconds float64) {
	if h.lastArrival.IsZero() || seconds <= 0 {
		return
	}
	if h.meanInterval == 0 {
		h.meanInterval = seconds
	}
	h.meanInterval += (seconds - h.meanInterval) / intervalSmoothing
}

// Empty reports whether no arrival has been recorded.
func (h *DemandHistory) Empty() bool { return h.lastArrival.IsZero() }

// Rate returns the estimated load, in CPU seconds that arrive per second; 0 if nothing has arrived.
// After a silence of more than maxSilenceIntervals mean intervals, it is also lowered in inverse
// proportion to the silence.
func (h *DemandHistory) Rate(now time.Time) float64 {
	if h.firstArrival.IsZero() {
		return 0
	}
	h.decay(now)
	timeConstant := h.TimeConstant.Seconds()
	observedShare := 1 - math.Exp(-now.Sub(h.firstArrival).Seconds()/timeConstant)
	rate := h.decayedSeconds / (timeConstant * math.Max(observedShare, minObservedShare))
	silence := now.Sub(h.lastArrival).Seconds()
	if h.meanInterval > 0 && silence > maxSilenceIntervals*h.meanInterval {
		rate *= maxSilenceIntervals * h.meanInterval / silence
	}
	return rate
}

// decay lowers the weights of past arrivals to those at now. The first call starts the history. A time
// before decayedAt leaves the weights as they are.
func (h *DemandHistory) decay(now time.Time) {
	if h.firstArrival.IsZero() {
		h.firstArrival, h.decayedAt = now, now
	}
	if elapsed := now.Sub(h.decayedAt); elapsed > 0 {
		h.decayedSeconds *= math.Exp(-elapsed.Seconds() / h.TimeConstant.Seconds())
		h.decayedAt = now
	}
}
