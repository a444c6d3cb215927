package placement

import "slices"

// kind is what decides which machines fit a task whose job has no tasks tied to
// each other by zone: the same for all tasks of a job, and for most jobs of a class.
type kind struct {
	need  Amounts
	types string
	zone  int
	spot  bool
	tried int // zone in which a gang is tried; 0 for other jobs
}

// kind returns the job's kind; ok is false where its other tasks or its failures
// matter as well.
func (j *Job) kind() (k kind, ok bool) {
	if j.OneZone || j.Apart || j.Gang || j.Avoid != nil {
		return kind{}, false
	}
	return kind{need: j.Need, types: j.typeNames(), zone: j.Zone, spot: j.Spot}, true
}

// gangKind returns the kind of a gang's tasks in a zone; ok is false where its own other tasks
// or its failures matter as well.
func (j *Job) gangKind(zone int) (k kind, ok bool) {
	if j.Avoid != nil || slices.ContainsFunc(j.TasksInZone, func(n int) bool { return n > 0 }) {
		return kind{}, false
	}
	k = kind{need: j.Need, types: j.typeNames(), zone: j.Zone, spot: j.Spot, tried: zone}
	return k, true
}

// typeNames returns the allowed types in a form that can be compared.
func (j *Job) typeNames() string {
	types := make([]byte, len(j.Types))
	for i, allowed := range j.Types {
		if allowed {
			types[i] = 1
		}
	}
	return string(types)
}
