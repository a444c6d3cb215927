package autoscaler

// RuntimeEstimator corrects the owners' estimates of run times by what tasks of the same
// class have taken: estimates are often wrong, and on some days mostly to the
// same side.
type RuntimeEstimator struct {
	classes map[string]*sums
}

type sums struct{ actual, expected float64 }

// doubt is how many seconds of estimates count as borne out before any task has
// ended, and old the weight that the past keeps with each task.
const (
	doubt = 300
	old   = 0.98
)

// Add counts a task of the class that was expected to take some seconds and took
// others.
func (l *RuntimeEstimator) Add(class string, expected, actual float64) {
	if expected <= 0 {
		return
	}
	if l.classes == nil {
		l.classes = map[string]*sums{}
	}
	s := l.classes[class]
	if s == nil {
		s = &sums{doubt, doubt}
		l.classes[class] = s
	}
	s.actual = s.actual*old + actual
	s.expected = s.expected*old + expected
}

// Factor returns what to multiply estimates of the class with.
func (l *RuntimeEstimator) Factor(class string) float64 {
	if s := l.classes[class]; s != nil {
		return s.actual / s.expected
	}
	return 1
}
