package autoscaler

import (
	"math"
	"time"
)

// DemandHistory estimates the load that arrivals bring: run time that arrives in a
// second, which is the number of tasks that run at once on average.
type DemandHistory struct {
	Memory time.Duration // how fast the past is forgotten
	sum    float64
	start  time.Time
	last   time.Time
	came   time.Time // the last arrival
	gap    float64   // smoothed seconds between arrivals
}

// longSilence is how many usual gaps without an arrival are taken for chance.
const longSilence = 3

// Add counts work that arrived at some time, in seconds of run time. It may be
// some time ago: a new leader reads of jobs that came before it.
func (o *DemandHistory) Add(seconds float64, at time.Time) {
	o.decay(at)
	if at.Before(o.start) {
		o.start = at
	}
	o.sum += seconds * math.Exp(-o.last.Sub(at).Seconds()/o.Memory.Seconds())
	if d := at.Sub(o.came).Seconds(); !o.came.IsZero() && d > 0 {
		if o.gap == 0 {
			o.gap = d
		}
		o.gap += (d - o.gap) / 8
	}
	if at.After(o.came) {
		o.came = at
	}
}

// Empty tells whether nothing has been counted.
func (o *DemandHistory) Empty() bool { return o.came.IsZero() }

// Rate returns the estimate.
func (o *DemandHistory) Rate(now time.Time) float64 {
	if o.start.IsZero() {
		return 0
	}
	o.decay(now)
	tau := o.Memory.Seconds()
	// What the estimate has not yet lived to see is not taken for silence.
	seen := 1 - math.Exp(-now.Sub(o.start).Seconds()/tau)
	rate := o.sum / (tau * math.Max(seen, 0.6))
	// A silence of several times the usual gap means that arrivals have ceased,
	// long before the memory has faded.
	if silence := now.Sub(o.came).Seconds(); o.gap > 0 && silence > longSilence*o.gap {
		rate *= longSilence * o.gap / silence
	}
	return rate
}

func (o *DemandHistory) decay(now time.Time) {
	if o.start.IsZero() {
		o.start, o.last = now, now
	}
	if d := now.Sub(o.last); d > 0 {
		o.sum *= math.Exp(-d.Seconds() / o.Memory.Seconds())
		o.last = now
	}
}
