package autoscaler

import (
	"math"
	"time"
)

// DemandHistory estimates the load that arrivals bring: run time that arrives in a
// second, which is the number of tasks that run at once on average.
type DemandHistory struct {
	Memory         time.Duration // how fast the past is forgotten
	decayedSeconds float64
	firstArrival   time.Time
	decayedAt      time.Time
	lastArrival    time.Time // the last arrival
	meanInterval   float64   // smoothed seconds between arrivals
}

// chanceIntervals is how many usual gaps without an arrival are taken for chance.
const chanceIntervals = 3

// Add counts work that arrived at some time, in seconds of run time. It may be
// some time ago: a new leader reads of jobs that came before it.
func (o *DemandHistory) Add(seconds float64, at time.Time) {
	o.decay(at)
	if at.Before(o.firstArrival) {
		o.firstArrival = at
	}
	o.decayedSeconds += seconds * math.Exp(-o.decayedAt.Sub(at).Seconds()/o.Memory.Seconds())
	if d := at.Sub(o.lastArrival).Seconds(); !o.lastArrival.IsZero() && d > 0 {
		if o.meanInterval == 0 {
			o.meanInterval = d
		}
		o.meanInterval += (d - o.meanInterval) / 8
	}
	if at.After(o.lastArrival) {
		o.lastArrival = at
	}
}

// Empty tells whether nothing has been counted.
func (o *DemandHistory) Empty() bool { return o.lastArrival.IsZero() }

// Rate returns the estimate.
func (o *DemandHistory) Rate(now time.Time) float64 {
	if o.firstArrival.IsZero() {
		return 0
	}
	o.decay(now)
	tau := o.Memory.Seconds()
	// What the estimate has not yet lived to see is not taken for silence.
	seen := 1 - math.Exp(-now.Sub(o.firstArrival).Seconds()/tau)
	rate := o.decayedSeconds / (tau * math.Max(seen, 0.6))
	// A silence of several times the usual gap means that arrivals have ceased,
	// long before the memory has faded.
	if silence := now.Sub(o.lastArrival).Seconds(); o.meanInterval > 0 && silence > chanceIntervals*o.meanInterval {
		rate *= chanceIntervals * o.meanInterval / silence
	}
	return rate
}

func (o *DemandHistory) decay(now time.Time) {
	if o.firstArrival.IsZero() {
		o.firstArrival, o.decayedAt = now, now
	}
	if d := now.Sub(o.decayedAt); d > 0 {
		o.decayedSeconds *= math.Exp(-d.Seconds() / o.Memory.Seconds())
		o.decayedAt = now
	}
}
