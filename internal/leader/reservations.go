package leader

import (
	"maps"
	"math"
	"slices"
	"time"

	"tulipshelf/internal/autoscaler"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// reservations selects the anticipated gangs for which machines are kept free. A class gets such gangs
// if its jobs should start within less time than a machine takes to boot: a gang of this class starts in
// time only if its machines are up before it arrives. Only the event loop uses it.
type reservations struct {
	*environment
	topology *topology
	jobs     *jobTable
	forecast *forecast
}

// minReservedCPUs is the number of CPUs that an anticipated gang counts for at least. Guards against
// controllers that end for memory: for a gang that needs next to nothing, a load of some CPUs would be
// expected to consist of millions of such gangs (docs/incidents/tiny-gangs.md).
const minReservedCPUs = 1

// gangs returns the anticipated gangs for which machines are kept free. Each is a copy of the largest
// gang of its class that has arrived. Each class of urgentGangs gets one. More are added, one class
// after the other, until the CPUs of the anticipated and of the unfinished gangs together reach the load
// that the forecast expects from gangs. There are none while that load is below minReservedCPUs.
func (r *reservations) gangs(now time.Time) (reserved []gangTemplate) {
	if r.forecast.gangs.Empty() {
		return nil
	}
	spareCPUs := r.forecast.gangs.Rate(now)
	if spareCPUs < minReservedCPUs {
		return nil
	}
	spareCPUs -= r.gangCPUs()
	urgent := r.urgentGangs()
	for more := len(urgent) > 0; more; more = spareCPUs > 0 {
		for _, gang := range urgent {
			if spareCPUs <= 0 && len(reserved) >= len(urgent) {
				break
			}
			reserved = append(reserved, gang)
			spareCPUs -= math.Max(minReservedCPUs, gang.cpus())
		}
	}
	return reserved
}

// gangCPUs returns the CPUs that the unfinished gangs use or wait for.
func (r *reservations) gangCPUs() float64 {
	cpus := 0.0
	r.jobs.store.Each(func(j *jobstore.Job) {
		if j.IsGang() && r.jobs.hasTeam(j) && !j.Cancelled {
			cpus += gangTemplate{j.Spec, r.jobs.states[j]}.cpus()
		}
	})
	return cpus
}

// urgentGangs returns the largest gang of each class that should start sooner than a machine boots, in
// the order of the classes' names.
func (r *reservations) urgentGangs() (gangs []gangTemplate) {
	for _, class := range slices.Sorted(maps.Keys(r.forecast.largestGangs)) {
		if r.startsBeforeBoot(class) {
			gangs = append(gangs, r.forecast.largestGangs[class])
		}
	}
	return gangs
}

// startsBeforeBoot reports whether jobs of a class should start within less time than the slowest
// machine type takes to boot.
func (r *reservations) startsBeforeBoot(class string) bool {
	boot := r.topology.slowestBoot()
	for i := range r.Settings.Objectives {
		objective := &r.Settings.Objectives[i]
		ofClass := objective.Kind == config.KindWait && objective.Class == class
		if ofClass && objective.Within > 0 && objective.Within.Seconds() < boot {
			return true
		}
	}
	return false
}

// asDemand returns the anticipated gangs as demand for machines.
func (r *reservations) asDemand(now time.Time) (demand []autoscaler.Demand) {
	for _, gang := range r.gangs(now) {
		view := r.constrained(gang)
		demand = append(demand, autoscaler.NewDemand(&view, gang.spec.Tasks))
	}
	return demand
}

// asJobs returns the anticipated gangs as jobs of a scheduling pass, which keeps machines free for them.
// Guards against reservations without effect: arrays would take the machines that were rented for the
// anticipated gangs.
//
// At equal priority the anticipated gangs come after all waiting gangs. If a waiting gang is beyond its
// team's guarantee, all anticipated gangs are placed as if they were too. They come before arrays with
// the same BeyondGuarantee. Guards against anticipated gangs that take machines from a waiting gang: one
// waiting gang preempted 52 tasks in a second, and each time its machines were reserved for anticipated
// gangs before all of them were free (docs/incidents/inc-f015.md).
func (r *reservations) asJobs(now time.Time, waiting []placement.Job) (reserved []placement.Job) {
	anyBeyondGuarantee := slices.ContainsFunc(waiting, func(j placement.Job) bool { return j.Gang && j.BeyondGuarantee })
	for _, gang := range r.gangs(now) {
		view := r.constrained(gang)
		view.Anticipated, view.Waiting = true, gang.spec.Tasks
		view.Priority, view.Arrival = min(gang.spec.Rank(), job.RankStandard), math.MaxUint64
		view.BeyondGuarantee = anyBeyondGuarantee
		reserved = append(reserved, view)
	}
	return reserved
}

// constrained returns the constraints of an anticipated gang, of which no task is live.
func (r *reservations) constrained(gang gangTemplate) placement.Job {
	return constrainedJob(gang.spec, gang.state, make([]int, len(r.topology.zones)), nil)
}
