package autoscaler

import "time"

// Estimates is what the next leader needs of the estimates, to be kept for it.
type Estimates struct {
	Sum     float64               `cbor:"sum"`
	StartMS int64                 `cbor:"start_ms"`
	LastMS  int64                 `cbor:"last_ms"`
	CameMS  int64                 `cbor:"came_ms"`
	Gap     float64               `cbor:"gap"`
	Learned map[string][2]float64 `cbor:"learned"`
}

// NewEstimates returns the estimates.
func NewEstimates(o *DemandHistory, l *RuntimeEstimator) Estimates {
	m := Estimates{Sum: o.decayedSeconds, StartMS: o.firstArrival.UnixMilli(), LastMS: o.decayedAt.UnixMilli(), CameMS: o.lastArrival.UnixMilli(), Gap: o.meanInterval,
		Learned: map[string][2]float64{}}
	for class, s := range l.sumsByClass {
		m.Learned[class] = [2]float64{s.actual, s.expected}
	}
	return m
}

// Restore takes the estimates of an earlier leader.
func (m *Estimates) Restore(o *DemandHistory, l *RuntimeEstimator) {
	o.decayedSeconds, o.meanInterval = m.Sum, m.Gap
	o.firstArrival, o.decayedAt, o.lastArrival = time.UnixMilli(m.StartMS), time.UnixMilli(m.LastMS), time.UnixMilli(m.CameMS)
	l.sumsByClass = map[string]*runTimeSums{}
	for class, s := range m.Learned {
		if s[1] > 0 {
			l.sumsByClass[class] = &runTimeSums{s[0], s[1]}
		}
	}
}
