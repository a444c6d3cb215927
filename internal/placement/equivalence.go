package placement

// Equivalence classes of tasks for which the same machines are feasible. A result for one task of a
// class holds for all, which keeps the pass fast when thousands of tasks wait.

import "slices"

// equivalenceClass holds the properties that determine the feasible machines for a task, in the case that
// the machines do not depend on the job's other tasks and failures.
type equivalenceClass struct {
	need  Amounts
	types string // allowed machine types, as returned by typesKey
	zone  int
	spot  bool
}

// gangClass is the equivalenceClass of a gang's tasks when they are tried in one zone.
type gangClass struct {
	equivalenceClass
	triedZone int // AnyZone: not restricted to one zone
}

// gangPreemptionClass holds the properties that determine for how many tasks of a gang preemption can
// free resources in one zone.
type gangPreemptionClass struct {
	gangClass
	priority                int
	mayPreemptOpportunistic bool
	borrower                int // as returned by Job.borrower
}

// borrower returns the job's team if the job is beyond the team's guarantee, as it then may stop fewer tasks of other
// teams (isGuaranteedReplica); noTeam otherwise.
func (j *Job) borrower() int {
	if j.BeyondGuarantee {
		return j.Team
	}
	return noTeam
}

// noTeam stands for a job whose team makes no difference.
const noTeam = -1

// equivalenceClass returns the class of the job's tasks. ok is false if feasible machines also depend on
// the job's other tasks or failures, and for gangs.
func (j *Job) equivalenceClass() (class equivalenceClass, ok bool) {
	if j.OneZone || j.SpreadOverZones || j.Gang || j.Avoid != nil {
		return equivalenceClass{}, false
	}
	return j.classOfTasks(), true
}

// gangClass returns the class of a gang's tasks when they are tried in a zone. ok is false if feasible
// machines also depend on the gang's failures, on tasks that it already has on machines, or on the number
// of its tasks in a zone.
func (j *Job) gangClass(zone int) (class gangClass, ok bool) {
	hasTasks := slices.ContainsFunc(j.TasksInZone, func(tasks int) bool { return tasks > 0 })
	if j.Avoid != nil || hasTasks || j.SpreadOverZones {
		return gangClass{}, false
	}
	return gangClass{j.classOfTasks(), zone}, true
}

func (j *Job) classOfTasks() equivalenceClass {
	return equivalenceClass{need: j.Need, types: j.typesKey(), zone: j.Zone, spot: j.Spot}
}

// typesKey returns the allowed machine types as a string, which can be part of a map key.
func (j *Job) typesKey() string {
	key := make([]byte, len(j.Types))
	for machineType, allowed := range j.Types {
		if allowed {
			key[machineType] = 1
		}
	}
	return string(key)
}
