package autoscaler

// Run-time estimator: how long tasks take, by what tasks of their class have taken.

// RuntimeEstimator corrects the owners' estimates of run times by what tasks of the same class have taken:
// estimates are often wrong, and on some days mostly to the same side. The zero value corrects nothing. The
// caller guards it.
type RuntimeEstimator struct {
	sumsByClass map[string]*runTimeSums
}

// runTimeSums is what tasks of a class have taken and were expected to take, in weighted seconds.
type runTimeSums struct {
	actual   float64
	expected float64
}

const (
	// priorSeconds is how many seconds of estimates count as borne out before any task has ended: without
	// it the first task to end would decide for its whole class.
	priorSeconds = 300

	// decayFactor is the weight that the past keeps with each task, so that estimates follow a change.
	decayFactor = 0.98
)

// Add counts a task of the class that was expected to take some seconds and took others. Tasks of which
// nothing was expected are left out.
func (e *RuntimeEstimator) Add(class string, expected, actual float64) {
	if expected <= 0 {
		return
	}
	if e.sumsByClass == nil {
		e.sumsByClass = map[string]*runTimeSums{}
	}
	sums := e.sumsByClass[class]
	if sums == nil {
		sums = &runTimeSums{actual: priorSeconds, expected: priorSeconds}
		e.sumsByClass[class] = sums
	}
	sums.actual = sums.actual*decayFactor + actual
	sums.expected = sums.expected*decayFactor + expected
}

// Factor returns what to multiply estimates of the class with; 1 for a class of which nothing is known.
func (e *RuntimeEstimator) Factor(class string) float64 {
	if sums := e.sumsByClass[class]; sums != nil {
		return sums.actual / sums.expected
	}
	return 1
}
