package leader

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"tulipshelf/internal/autoscaler"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// sizer determines the demand: the tasks for which the cluster should have machines. Only the event
// loop uses it.
type sizer struct {
	*environment
	topology     *topology
	jobs         *jobTable
	machines     *machineTable
	forecast     *forecast
	reservations *reservations
	scheduler    *scheduler
	health       *machineHealth
}

// demand holds the tasks that should get a machine soon.
type demand struct {
	tasks  []autoscaler.Demand // the most important first
	reason string              // reason for renting machines, for the log
}

// demand returns the tasks that should get a machine soon, in this order: waiting services and gangs,
// the reserves for anticipated ones, waiting arrays, and the reserve for anticipated arrays. Running tasks
// are left out.
func (s *sizer) demand(now time.Time) demand {
	list := &demandList{jobs: s.jobs, machines: s.machines, now: now, teams: s.jobs.teamUsage()}
	waiting := s.waitingByPriority()
	for _, j := range waiting.allOrNothing {
		list.addAllOrNothing(j)
	}
	reserved := 0
	for _, reservation := range append(s.serviceReserve(), s.reservations.asDemand(now)...) {
		reserved += reservation.Tasks
		list.demand = append(list.demand, reservation)
	}
	missing := s.missingArrayCPUs(list.cpus(), list.teams, now)
	reason := fmt.Sprintf("%d tasks unplaced, %.0f more CPUs needed for arrays, %d tasks reserved for anticipated services and gangs",
		s.scheduler.unplaced, math.Max(0, missing.needed), reserved)
	missing = s.addArrays(list, waiting.arrays, missing)
	// The reserve for anticipated arrays, in tasks like those of the last array. It does not include the
	// missing.needed that remains after addArrays. Guards against machines that stand idle: the
	// remaining CPUs may be for tasks beyond their team's limit, which are not allowed to start.
	if last := s.forecast.lastArray; missing.anticipated > 0 && last != nil {
		tasks := int(missing.anticipated/sizingCPUs(last.need) + 0.5)
		list.demand = append(list.demand, autoscaler.Demand{Need: last.need, Types: last.types, Zone: placement.AnyZone, Spot: true, Tasks: tasks})
	}
	return demand{list.demand, reason}
}

// waitingJobs holds the jobs with waiting tasks, by priority and then by arrival.
type waitingJobs struct {
	allOrNothing []*jobstore.Job // services and gangs
	arrays       []*jobstore.Job
}

func (s *sizer) waitingByPriority() (waiting waitingJobs) {
	s.jobs.store.Each(func(j *jobstore.Job) {
		switch {
		case !s.jobs.hasTeam(j) || j.WaitingTasks() == 0:
		case j.Spec.Shape == job.Array:
			waiting.arrays = append(waiting.arrays, j)
		default:
			waiting.allOrNothing = append(waiting.allOrNothing, j)
		}
	})
	byPriority := func(a, b *jobstore.Job) int {
		return cmp.Or(b.Spec.Rank()-a.Spec.Rank(), cmp.Compare(a.Arrival, b.Arrival))
	}
	slices.SortFunc(waiting.allOrNothing, byPriority)
	slices.SortFunc(waiting.arrays, byPriority)
	return waiting
}

// demandList accumulates demand and counts it towards the teams' limits.
type demandList struct {
	jobs     *jobTable
	machines *machineTable
	now      time.Time
	teams    []placement.Team // the usage includes waiting tasks that were added
	demand   []autoscaler.Demand
}

// cpus returns the CPUs that all of the demand needs.
func (d *demandList) cpus() float64 {
	cpus := 0.0
	for i := range d.demand {
		cpus += float64(d.demand[i].Tasks) * d.demand[i].Need[placement.CPU]
	}
	return cpus
}

// add adds up to the given number of tasks of a job, as far as they fit into its team's limit, and
// returns the number added. It adds none while placement would not place them, as the zones of the job's
// live tasks matter and are not all known.
func (d *demandList) add(waiting *jobstore.Job, tasks int) int {
	state := d.jobs.states[waiting]
	team := &d.teams[state.team]
	tasks = tasksWithinLimit(tasks, team, waiting.Spec)
	if tasks == 0 {
		return 0
	}
	view, zonesKnown := d.machines.constrained(waiting, state, d.now)
	if !zonesKnown {
		return 0
	}
	team.CPUsUsed += float64(tasks) * waiting.Spec.CPUs
	team.GPUsUsed += float64(tasks) * waiting.Spec.GPUs
	next := autoscaler.NewDemand(&view, tasks)
	next.JobID = waiting.Spec.ID
	d.demand = append(d.demand, next)
	return tasks
}

// addAllOrNothing adds a service as far as its team's limit allows, or a gang. A gang is left out while
// any of its tasks is live, and if its team's limit has no headroom for all of them.
func (d *demandList) addAllOrNothing(j *jobstore.Job) {
	team := &d.teams[d.jobs.states[j].team]
	switch {
	case j.IsGang() && j.LiveTasks() > 0:
		// The gang restarts on the machines that it leaves, or is added whole once no task is live.
	case j.IsGang() && tasksWithinLimit(j.Spec.Tasks, team, j.Spec) < j.Spec.Tasks:
		// A gang does not start in part, so machines for a part of it would be of no use.
	default:
		d.add(j, d.jobs.tasksToStart(j))
	}
}

// tasksWithinLimit returns how many of a number of tasks fit into the limit of their team.
func tasksWithinLimit(tasks int, team *placement.Team, spec *job.Spec) int {
	tasks = tasksFitting(tasks, team.CPUsMax-team.CPUsUsed, spec.CPUs)
	return tasksFitting(tasks, team.GPUsMax-team.GPUsUsed, spec.GPUs)
}

// tasksFitting returns how many of a number of tasks fit into the headroom, which may be infinite. All
// of them do if they need nothing of the resource.
func tasksFitting(tasks int, headroom, perTask float64) int {
	if perTask > 0 {
		return int(math.Max(0, math.Min(float64(tasks), headroom/perTask+roundingTolerance)))
	}
	return max(tasks, 0)
}

// serviceReserve returns the reserve for anticipated services, which miss their objective unless they
// start at once. The reserve is Operator.Reserve times the CPUs of all unfinished services, in tasks
// like those of the service with the most CPUs per task, rounded up. It is nil if no unfinished service
// needs CPUs. Services of unknown teams, which are never placed, do not count.
func (s *sizer) serviceReserve() []autoscaler.Demand {
	var cpus float64
	var largest *jobstore.Job
	s.jobs.store.Each(func(service *jobstore.Job) {
		if service.Spec.Shape != job.Service || service.Cancelled || !s.jobs.hasTeam(service) {
			return
		}
		cpus += float64(service.Spec.Tasks) * service.Spec.CPUs
		if largest == nil || service.Spec.CPUs > largest.Spec.CPUs {
			largest = service
		}
	})
	if largest == nil || largest.Spec.CPUs <= 0 {
		return nil
	}
	state := s.jobs.states[largest]
	tasks := int(math.Ceil(cpus * s.Operator.Reserve / largest.Spec.CPUs))
	return []autoscaler.Demand{{Need: state.need, Types: state.types, Zone: placement.AnyZone, Tasks: tasks}}
}
