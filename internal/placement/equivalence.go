package placement

// Equivalence classes: what tasks have in common for which the same machines are feasible. What the pass
// finds out for one task of a class holds for all, which keeps it fast when thousands of tasks wait.

import "slices"

// equivalenceClass is what decides which machines are feasible for a task, as long as the job's other
// tasks and failures play no part.
type equivalenceClass struct {
	need  Amounts
	types string // the allowed machine types, see typesKey
	zone  int
	spot  bool
}

// gangClass is the equivalenceClass of a gang's tasks that are tried in one zone.
type gangClass struct {
	equivalenceClass
	triedZone int
}

// gangPreemptionClass is what decides for how many tasks of a gang preemption makes room in one zone.
type gangPreemptionClass struct {
	gangClass
	priority                int
	mayPreemptOpportunistic bool
}

// equivalenceClass returns the class of the job's tasks; ok is false where its other tasks or its failures
// play a part.
func (j *Job) equivalenceClass() (class equivalenceClass, ok bool) {
	if j.OneZone || j.SpreadOverZones || j.Gang || j.Avoid != nil {
		return equivalenceClass{}, false
	}
	return j.classOfTasks(), true
}

// gangClass returns the class of a gang's tasks that are tried in a zone; ok is false where tasks that the
// gang already has or its failures play a part.
func (j *Job) gangClass(zone int) (class gangClass, ok bool) {
	hasTasks := slices.ContainsFunc(j.TasksInZone, func(tasks int) bool { return tasks > 0 })
	if j.Avoid != nil || hasTasks {
		return gangClass{}, false
	}
	return gangClass{j.classOfTasks(), zone}, true
}

func (j *Job) classOfTasks() equivalenceClass {
	return equivalenceClass{need: j.Need, types: j.typesKey(), zone: j.Zone, spot: j.Spot}
}

// typesKey returns the allowed machine types in a form that can be a map's key.
func (j *Job) typesKey() string {
	key := make([]byte, len(j.Types))
	for machineType, allowed := range j.Types {
		if allowed {
			key[machineType] = 1
		}
	}
	return string(key)
}
