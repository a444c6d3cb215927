package autoscaler

// Stored estimates: without them each new leader would begin with no history and rent too little.

import "time"

// Estimates is what is stored of a DemandHistory and a RuntimeEstimator for the next leader. The codec tags
// are those of stored records and never change.
type Estimates struct {
	DecayedSeconds float64               `cbor:"sum"`      // weighted seconds of run time that arrived
	FirstArrivalMS int64                 `cbor:"start_ms"` // first arrival, in milliseconds of Unix time
	DecayedAtMS    int64                 `cbor:"last_ms"`  // time of the weights
	LastArrivalMS  int64                 `cbor:"came_ms"`  // last arrival
	MeanInterval   float64               `cbor:"gap"`      // mean seconds between arrivals
	RunTimes       map[string][2]float64 `cbor:"learned"`  // by class: actual and expected run time, in weighted seconds
}

// NewEstimates returns the estimates to store.
func NewEstimates(history *DemandHistory, estimator *RuntimeEstimator) Estimates {
	estimates := Estimates{
		DecayedSeconds: history.decayedSeconds,
		FirstArrivalMS: history.firstArrival.UnixMilli(),
		DecayedAtMS:    history.decayedAt.UnixMilli(),
		LastArrivalMS:  history.lastArrival.UnixMilli(),
		MeanInterval:   history.meanInterval,
		RunTimes:       map[string][2]float64{},
	}
	for class, sums := range estimator.sumsByClass {
		estimates.RunTimes[class] = [2]float64{sums.actual, sums.expected}
	}
	return estimates
}

// Restore replaces what history and estimator hold by what an earlier leader has stored. A class of which
// nothing was expected, which only a damaged record has, is left out: its factor would be no number.
func (e *Estimates) Restore(history *DemandHistory, estimator *RuntimeEstimator) {
	history.decayedSeconds = e.DecayedSeconds
	history.meanInterval = e.MeanInterval
	history.firstArrival = time.UnixMilli(e.FirstArrivalMS)
	history.decayedAt = time.UnixMilli(e.DecayedAtMS)
	history.lastArrival = time.UnixMilli(e.LastArrivalMS)
	estimator.sumsByClass = map[string]*runTimeSums{}
	for class, sums := range e.RunTimes {
		if actual, expected := sums[0], sums[1]; expected > 0 {
			estimator.sumsByClass[class] = &runTimeSums{actual: actual, expected: expected}
		}
	}
}
