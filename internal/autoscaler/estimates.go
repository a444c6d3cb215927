package autoscaler

// Stored estimates. Without them the history of a new leader would hold only the unfinished jobs, each as
// an arrival at the time of its submission. Without the jobs that have ended, the average load can be
// estimated too low, and too few machines are then rented for it. The owners' estimates of run times
// would not be corrected until tasks are done.

import "time"

// Estimates is the state of a DemandHistory and a RuntimeEstimator that is stored for the next leader.
// The codec tags are part of the stored format and must not change. Fields that end in MS are
// milliseconds of Unix time.
type Estimates struct {
	DecayedSeconds float64               `cbor:"sum"`      // CPU seconds that arrived, weighted by age
	FirstArrivalMS int64                 `cbor:"start_ms"` // first arrival
	DecayedAtMS    int64                 `cbor:"last_ms"`  // time to which the weights have decayed
	LastArrivalMS  int64                 `cbor:"came_ms"`  // last arrival
	MeanInterval   float64               `cbor:"gap"`      // mean interval, in seconds; zero if unknown
	RunTimes       map[string][2]float64 `cbor:"learned"`  // by class: actual and expected run time, in weighted seconds
}

// NewEstimates returns the state of history and estimator to store.
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

// Restore replaces the state of history and estimator with the estimates that an earlier leader has
// stored. history.TimeConstant is not changed. A class without a positive expected run time, which only a
// damaged record has, is left out: its factor would be infinite, negative or not a number.
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
