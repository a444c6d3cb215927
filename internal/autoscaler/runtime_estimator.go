package autoscaler

// Run-time estimator: correction of expected run times by the actual run times of tasks of the same
// class.

// RuntimeEstimator corrects the job owners' estimates of run times by the actual run times of tasks of
// the same class. Owners' estimates are often wrong, and on some days most of them err in the same
// direction. The zero value is ready to use and corrects nothing yet. The caller guards it against
// concurrent use.
type RuntimeEstimator struct {
	sumsByClass map[string]*runTimeSums
}

// runTimeSums holds the actual and expected run times of tasks of a class, in weighted seconds.
type runTimeSums struct {
	actual   float64
	expected float64
}

const (
	// priorSeconds is the run time, in seconds, that each class starts with, both as expected and as
	// actual. Without it the first task to end would determine the factor of its whole class.
	priorSeconds = 300

	// decayFactor is the share of their weight that earlier tasks keep with each new task, so that the
	// factors follow a change.
	decayFactor = 0.98
)

// Add records a task of the class with its expected and actual run time, in seconds. Tasks without a
// positive expected run time are ignored.
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

// Factor returns the factor by which to multiply expected run times of the class; 1 if none are recorded.
func (e *RuntimeEstimator) Factor(class string) float64 {
	if sums := e.sumsByClass[class]; sums != nil {
		return sums.actual / sums.expected
	}
	return 1
}
