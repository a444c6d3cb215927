package leader

import (
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// This file determines where the tasks of a job may run. The scheduler and the sizer both use it.
//
// Guards against jobs that wait although machines for them could be rented: the sizer would count their
// tasks as served by machines on which placement does not put them
// (docs/incidents/demand-without-zone-limits.md).

// constrained returns the constraints of an unfinished job, as constrainedJob does. zonesKnown is false while none of its
// tasks may be placed, as the zones of its live tasks matter and are not all known.
func (t *machineTable) constrained(j *jobstore.Job, state *jobState, now time.Time) (view placement.Job, zonesKnown bool) {
	zones := zoneCounts{tasks: make([]int, len(t.topology.zones)), allKnown: true}
	if j.Spec.OneZone || j.Spec.Apart {
		zones = t.tasksInZones(j)
	}
	return constrainedJob(j.Spec, state, zones.tasks, t.toAvoid(state, now)), zones.allKnown
}

// constrainedJob returns the part of a job's snapshot that determines what its tasks need and where they
// may run. tasksInZone holds the number of its live tasks by zone, avoid what toAvoid returns for it.
func constrainedJob(spec *job.Spec, state *jobState, tasksInZone []int, avoid []bool) placement.Job {
	return placement.Job{
		Team: state.team, Need: state.need, Tasks: spec.Tasks, Gang: spec.Shape == job.Gang,
		Types: state.types, Zone: state.zone, Spot: spec.Spot,
		OneZone: spec.OneZone, SpreadOverZones: spec.Apart, TasksInZone: tasksInZone, Avoid: avoid,
	}
}

// toAvoid returns, by index of the machine, whether a job is to be kept off it for now, as a task of the job has
// failed there; nil: off none.
func (t *machineTable) toAvoid(state *jobState, now time.Time) []bool {
	var avoid []bool
	for name := range state.failedOn {
		machine := t.registry.Machine(name)
		if machine == nil || !state.avoids(name, now) {
			continue
		}
		if avoid == nil {
			avoid = make([]bool, t.registry.Size())
		}
		avoid[machine.Index] = true
	}
	return avoid
}

// zoneCounts holds the numbers of a job's live attempts by zone.
type zoneCounts struct {
	tasks    []int // by index of the zone
	allKnown bool  // the zones of all attempts are known
}

// tasksInZones counts a job's live attempts by zone. After an election the zone of a machine is not known
// until the cloud's list or a heartbeat names it, and allKnown is false until then. Guards against tasks
// in a wrong zone: a job whose tasks must run in one zone, or be spread over zones, would be placed by
// an incomplete count.
func (t *machineTable) tasksInZones(j *jobstore.Job) zoneCounts {
	counts := zoneCounts{tasks: make([]int, len(t.topology.zones)), allKnown: true}
	j.EachAttempt(func(attempt *jobstore.Attempt) {
		machine := t.registry.Machine(attempt.Machine)
		if machine == nil || machine.Zone == unknownIndex {
			counts.allKnown = false
			return
		}
		counts.tasks[machine.Zone]++
	})
	return counts
}
