package placement

import "slices"

// equivalenceClass is what decides which machines fit a task whose job has no tasks tied to
// each other by zone: the same for all tasks of a job, and for most jobs of a class.
type equivalenceClass struct {
	need     Amounts
	types    string
	zone     int
	spot     bool
	gangZone int // zone in which a gang is tried; 0 for other jobs
}

// equivalenceClass returns the job's kind; ok is false where its other tasks or its failures
// matter as well.
func (j *Job) equivalenceClass() (k equivalenceClass, ok bool) {
	if j.OneZone || j.Apart || j.Gang || j.Avoid != nil {
		return equivalenceClass{}, false
	}
	return equivalenceClass{need: j.Need, types: j.typesKey(), zone: j.Zone, spot: j.Spot}, true
}

// gangEquivalenceClass returns the kind of a gang's tasks in a zone; ok is false where its own other tasks
// or its failures matter as well.
func (j *Job) gangEquivalenceClass(zone int) (k equivalenceClass, ok bool) {
	if j.Avoid != nil || slices.ContainsFunc(j.TasksInZone, func(n int) bool { return n > 0 }) {
		return equivalenceClass{}, false
	}
	k = equivalenceClass{need: j.Need, types: j.typesKey(), zone: j.Zone, spot: j.Spot, gangZone: zone}
	return k, true
}

// typesKey returns the allowed types in a form that can be compared.
func (j *Job) typesKey() string {
	types := make([]byte, len(j.Types))
	for i, allowed := range j.Types {
		if allowed {
			types[i] = 1
		}
	}
	return string(types)
}
