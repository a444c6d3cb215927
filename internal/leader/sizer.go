package leader

import (
	"cmp"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/autoscaler"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// sizer works out for which tasks machines are needed.
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

// demand is the tasks that should get a machine soon, the most important first, and why.
type demand struct {
	tasks  []autoscaler.Demand
	reason string
}

// demand returns the tasks that should get a machine soon: services and gangs, room reserved for
// those to come, and arrays. Running tasks are left out.
func (s *sizer) demand(now time.Time) demand {
	list := &demandList{jobs: s.jobs, teams: s.jobs.teamUsage()}
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
	reason := fmt.Sprintf("%d tasks without room, %.0f CPUs more for arrays, room for %d of services to come",
		s.scheduler.unplaced, math.Max(0, missing.needed), reserved)
	missing = s.addArrays(list, waiting.arrays, missing)
	// Room kept for arrays to come, of the kind of the last one. What waits beyond its team's limit
	// asks for none: machines would stand free for tasks that are not allowed to start.
	if last := s.forecast.lastArray; missing.anticipated > 0 && last != nil {
		tasks := int(missing.anticipated/sizingCPUs(last.need) + 0.5)
		list.demand = append(list.demand, autoscaler.Demand{Need: last.need, Types: last.types, Zone: placement.AnyZone, Spot: true, Tasks: tasks})
	}
	return demand{list.demand, reason}
}

// addArrays adds waiting arrays up to what is missing for all of them together, as their tasks take
// turns on a machine, and returns what is still missing.
func (s *sizer) addArrays(list *demandList, arrays []*jobstore.Job, missing arrayCPUs) arrayCPUs {
	for _, array := range arrays {
		if missing.needed <= 0 {
			break
		}
		taskCPUs := sizingCPUs(s.jobs.states[array].need)
		tasks := min(s.jobs.tasksToStart(array), int(math.Ceil(missing.needed/taskCPUs)))
		added := float64(list.add(array, tasks)) * taskCPUs
		missing.needed -= added
		missing.anticipated -= added
	}
	return missing
}

// waitingJobs is the jobs that wait for machines, the most important first.
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

// demandList is demand as it is put together, with what it takes of the teams' limits.
type demandList struct {
	jobs   *jobTable
	teams  []placement.Team
	demand []autoscaler.Demand
}

// cpus returns what all of the demand takes.
func (d *demandList) cpus() float64 {
	cpus := 0.0
	for i := range d.demand {
		cpus += float64(d.demand[i].Tasks) * d.demand[i].Need[placement.CPU]
	}
	return cpus
}

// add adds up to so many tasks of a job, as far as its team's limit has room, and returns how many.
func (d *demandList) add(waiting *jobstore.Job, tasks int) int {
	state := d.jobs.states[waiting]
	team := &d.teams[state.team]
	tasks = tasksFitting(tasks, team.CPUsMax-team.CPUsUsed, waiting.Spec.CPUs)
	tasks = tasksFitting(tasks, team.GPUsMax-team.GPUsUsed, waiting.Spec.GPUs)
	if tasks == 0 {
		return 0
	}
	team.CPUsUsed += float64(tasks) * waiting.Spec.CPUs
	team.GPUsUsed += float64(tasks) * waiting.Spec.GPUs
	d.demand = append(d.demand, autoscaler.Demand{Need: state.need, Types: state.types, Zone: state.zone, Spot: waiting.Spec.Spot,
		OneZone: waiting.IsGang() && waiting.Spec.OneZone, Tasks: tasks})
	return tasks
}

// addAllOrNothing adds a service, or a gang of which nothing is left on machines and which its team's limit
// has room for.
func (d *demandList) addAllOrNothing(j *jobstore.Job) {
	team := &d.teams[d.jobs.states[j].team]
	switch {
	case j.IsGang() && j.LiveTasks() > 0:
		// It starts anew where it was, or as a whole later.
	case j.IsGang() && tasksFitting(j.Spec.Tasks, team.CPUsMax-team.CPUsUsed, j.Spec.CPUs) < j.Spec.Tasks:
		// A part of it is of no use.
	default:
		d.add(j, d.jobs.tasksToStart(j))
	}
}

// tasksFitting returns how many of so many tasks fit into some room, which may be without bounds.
func tasksFitting(tasks int, headroom, perTask float64) int {
	if perTask > 0 {
		return int(math.Max(0, math.Min(float64(tasks), headroom/perTask+roundingTolerance)))
	}
	return max(tasks, 0)
}

// arrayCPUs is how many CPUs arrays should have beyond those that their tasks use now.
type arrayCPUs struct {
	needed      float64 // by those that wait, and those that usually come
	anticipated float64 // by those that usually come
}

// missingArrayCPUs returns how many more CPUs arrays should have, if reservedCPUs of what is free
// will go to others.
//
// It counts CPUs, not tasks: what many tiny tasks wait for would be rented in CPUs as soon as those
// of another array stand in the line before them (TestSmallTasksDoNotOverprovision).
func (s *sizer) missingArrayCPUs(reservedCPUs float64, teams []placement.Team, now time.Time) arrayCPUs {
	boot := s.topology.slowestBoot()
	load := s.arrayLoad(teams, now)
	cpus := load.liveCPUs + math.Max(0, s.freeCPUs(now)-reservedCPUs)
	anticipated := s.forecast.arrays.Rate(now)
	forDueTimes := autoscaler.CPUsForDueTimes(load.work, cpus, boot)
	forBacklog := autoscaler.CPUsForBacklog(load.work, cpus, anticipated, boot)
	slog.Debug("arrays sized", "need", forDueTimes, "usual", anticipated, "drain", forBacklog, "live", load.liveCPUs, "cpus", cpus, "taken", reservedCPUs)
	return arrayCPUs{needed: math.Max(math.Max(forDueTimes, anticipated), forBacklog) - load.liveCPUs, anticipated: anticipated - load.liveCPUs}
}

// arrayLoad is what the unfinished arrays use and have left to do.
type arrayLoad struct {
	liveCPUs float64
	work     []autoscaler.ArrayWork
}

func (s *sizer) arrayLoad(teams []placement.Team, now time.Time) (load arrayLoad) {
	headroom := make([]float64, len(teams))
	for i := range teams {
		headroom[i] = teams[i].CPUsMax - teams[i].CPUsUsed
	}
	s.jobs.store.Each(func(array *jobstore.Job) {
		if array.Spec.Shape != job.Array || array.Cancelled || !s.jobs.hasTeam(array) {
			return
		}
		state := s.jobs.states[array]
		taskCPUs := sizingCPUs(state.need)
		liveCPUs := float64(array.LiveTasks()) * taskCPUs
		waitingCPUs := float64(s.jobs.tasksToStart(array)) * taskCPUs
		run := s.forecast.runSeconds(array.Spec) + s.topology.fetchSeconds(array.Spec.ImageGB)
		work := autoscaler.ArrayWork{DueSeconds: s.timeUntilDue(array, now).Seconds(), RunSeconds: run, CPUSeconds: run * (waitingCPUs + liveCPUs/2)}
		if array.Spec.CPUs > 0 {
			runnable := math.Min(waitingCPUs, math.Max(0, headroom[state.team]))
			headroom[state.team] -= runnable
			work.WaitingCPUSeconds = run * runnable
		}
		load.liveCPUs += liveCPUs
		load.work = append(load.work, work)
	})
	return load
}

// freeCPUs returns what is free on machines that are there or may be expected.
func (s *sizer) freeCPUs(now time.Time) float64 {
	free := 0.0
	s.machines.registry.Each(func(machine *agent.Machine) {
		if machine.Type == unknownIndex || machine.RetireReason != agent.NotRetired || machine.Quarantined {
			return
		}
		if machine.Registered || !s.health.bootOverdue(machine, now) {
			snapshot, _ := s.machines.snapshot(machine, now)
			free += snapshot.Free[placement.CPU]
		}
	})
	return free
}

// defaultDueFactor is how many times its tasks' run time an array may take that has neither a
// deadline nor an objective.
const defaultDueFactor = 4

// timeUntilDue returns the time until a job should be complete, by its own deadline or by its class's
// objective.
func (s *sizer) timeUntilDue(j *jobstore.Job, now time.Time) time.Duration {
	due := time.Duration(j.Spec.DueS * float64(time.Second))
	if due == 0 {
		due = s.completionObjective(j.Spec.Class)
	}
	if due == 0 {
		due = defaultDueFactor * j.Spec.Expect()
	}
	return due - now.Sub(j.SubmittedAt)
}

// completionObjective returns the shortest time in which jobs of a class should be complete; 0: none is set.
func (s *sizer) completionObjective(class string) time.Duration {
	var shortest time.Duration
	for i := range s.Settings.Objectives {
		objective := &s.Settings.Objectives[i]
		if objective.Class != class || objective.Within <= 0 || objective.Kind == config.KindWait {
			continue
		}
		if shortest == 0 || objective.Within < shortest {
			shortest = objective.Within
		}
	}
	return shortest
}

// serviceReserve keeps room free for services to come, which start at once or miss their
// objective: a share of what services use, in tasks of the largest size seen.
func (s *sizer) serviceReserve() []autoscaler.Demand {
	var cpus float64
	var largest *jobstore.Job
	s.jobs.store.Each(func(service *jobstore.Job) {
		if service.Spec.Shape != job.Service || service.Cancelled {
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
