package autoscaler

// RuntimeEstimator corrects the owners' estimates of run times by what tasks of the same
// class have taken: estimates are often wrong, and on some days mostly to the
// same side.
type RuntimeEstimator struct {
	sumsByClass map[string]*runTimeSums
}

type runTimeSums struct{ actual, expected float64 }

// priorSeconds is how many seconds of estimates count as borne out before any task has
// ended, and old the weight that the past keeps with each task.
const (
	priorSeconds = 300
	pastWeight   = 0.98
)

// Add counts a task of the class that was expected to take some seconds and took
// others.
func (l *RuntimeEstimator) Add(class string, expected, actual float64) {
	if expected <= 0 {
		return
	}
	if l.sumsByClass == nil {
		l.sumsByClass = map[string]*runTimeSums{}
	}
	s := l.sumsByClass[class]
	if s == nil {
		s = &runTimeSums{priorSeconds, priorSeconds}
		l.sumsByClass[class] = s
	}
	s.actual = s.actual*pastWeight + actual
	s.expected = s.expected*pastWeight + expected
}

// Factor returns what to multiply estimates of the class with.
func (l *RuntimeEstimator) Factor(class string) float64 {
	if s := l.sumsByClass[class]; s != nil {
		return s.actual / s.expected
	}
	return 1
}
