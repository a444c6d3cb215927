package leader

// The sizer's part for arrays: how many CPUs they should have, in all and in the zones to which they are bound.

import (
	"log/slog"
	"math"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/autoscaler"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// addArrays adds tasks of waiting arrays until they cover the CPUs that are missing for all arrays
// together, and those that are missing in each zone for the arrays that are bound to it. It returns the CPUs
// that are still missing. The arrays share these CPUs because their tasks take turns on a machine.
func (s *sizer) addArrays(list *demandList, arrays []*jobstore.Job, missing arrayCPUs) arrayCPUs {
	for _, array := range arrays {
		state := s.jobs.states[array]
		wanted := missing.needed
		missingInZone, bound := missing.inZone[state.zone]
		if bound {
			wanted = max(wanted, missingInZone)
		}
		if wanted <= 0 {
			continue
		}
		taskCPUs := sizingCPUs(state.need)
		tasks := min(s.jobs.tasksToStart(array), int(math.Ceil(wanted/taskCPUs)))
		added := float64(list.add(array, tasks)) * taskCPUs
		missing.needed -= added
		missing.anticipated -= added
		if bound {
			missing.inZone[state.zone] -= added
		}
	}
	return missing
}

// arrayCPUs holds numbers of CPUs that arrays should have beyond those that their tasks use now; negative
// if they use more.
type arrayCPUs struct {
	needed      float64 // for waiting and anticipated arrays together
	anticipated float64 // for anticipated arrays only, by the forecast of the average load

	// For the arrays that are bound to a zone, by index of the zone. Zones without such arrays have no entry.
	inZone map[int]float64
}

// missingArrayCPUs returns how many more CPUs arrays should have, if reservedCPUs of the free CPUs go to
// other demand.
//
// It counts CPUs, not tasks. Guards against renting too much: a number of tasks that is determined for
// an array of tiny tasks would be rented at the size of larger tasks if an array of these comes first in
// the order (TestSmallTasksDoNotOverprovision).
func (s *sizer) missingArrayCPUs(reservedCPUs float64, teams []placement.Team, now time.Time) arrayCPUs {
	boot := s.topology.slowestBoot()
	load := s.arrayLoad(teams, now)
	cpus := load.liveCPUs + math.Max(0, s.freeCPUs(placement.AnyZone, now)-reservedCPUs)
	anticipated := s.forecast.arrays.Rate(now)
	forDueTimes := autoscaler.CPUsForDueTimes(load.work, cpus, boot)
	forBacklog := autoscaler.CPUsForBacklog(load.work, cpus, anticipated, boot)
	slog.Debug("arrays sized", "need", forDueTimes, "usual", anticipated, "drain", forBacklog, "live", load.liveCPUs, "cpus", cpus, "taken", reservedCPUs)
	return arrayCPUs{needed: math.Max(math.Max(forDueTimes, anticipated), forBacklog) - load.liveCPUs, anticipated: anticipated - load.liveCPUs,
		inZone: s.missingInZones(load.boundWork, now)}
}

// missingInZones returns how many more CPUs the arrays that are bound to a zone should have there to finish by
// their due times. boundWork is their work by zone.
//
// Guards against arrays that wait although machines could be rented in their zone: the CPUs that other arrays use
// elsewhere cover the sum of all needs (docs/incidents/zone-bound-arrays-wait.md).
func (s *sizer) missingInZones(boundWork map[int][]autoscaler.ArrayWork, now time.Time) map[int]float64 {
	missing := make(map[int]float64, len(boundWork))
	for zone, work := range boundWork {
		live := s.liveArrayCPUs(zone)
		missing[zone] = autoscaler.CPUsForDueTimes(work, live+s.freeCPUs(zone, now), s.topology.slowestBoot()) - live
	}
	return missing
}

// liveArrayCPUs returns the CPUs of the tasks of arrays in a zone, on which the tasks of its arrays take turns.
// Tasks of opportunistic teams count only if their array is bound to the zone: nobody has to wait for the others.
func (s *sizer) liveArrayCPUs(zone int) (live float64) {
	s.machines.registry.Each(func(machine *agent.Machine) {
		if machine.Zone != zone {
			return
		}
		for _, assignment := range machine.Assignments {
			array := assignment.Job
			if array.Spec.Shape != job.Array || !s.jobs.hasTeam(array) {
				continue
			}
			if state := s.jobs.states[array]; state.zone == zone || !s.jobs.opportunistic(array) {
				live += sizingCPUs(state.need)
			}
		}
	})
	return live
}

// arrayLoad holds the load of the unfinished arrays of known teams.
type arrayLoad struct {
	liveCPUs  float64                        // CPUs of their live tasks
	work      []autoscaler.ArrayWork         // work left, one entry an array
	boundWork map[int][]autoscaler.ArrayWork // that of the waiting arrays that are bound to a zone, by index of the zone
}

func (s *sizer) arrayLoad(teams []placement.Team, now time.Time) (load arrayLoad) {
	load.boundWork = map[int][]autoscaler.ArrayWork{}
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
		if waitingCPUs > 0 && state.zone != unknownIndex && state.zone < len(s.topology.zones) {
			load.boundWork[state.zone] = append(load.boundWork[state.zone], work)
		}
	})
	return load
}

// freeCPUs returns the CPUs that are free in a zone, or in all zones for placement.AnyZone, on registered machines
// and on those that may still boot in time. Machines that are retired, quarantined or of unknown type are left out.
func (s *sizer) freeCPUs(zone int, now time.Time) float64 {
	free := 0.0
	s.machines.registry.Each(func(machine *agent.Machine) {
		if machine.Type == unknownIndex || machine.RetireReason != agent.NotRetired || machine.Quarantined {
			return
		}
		if zone != placement.AnyZone && machine.Zone != zone {
			return
		}
		if machine.Registered || !s.health.bootOverdue(machine, now) {
			snapshot, _ := s.machines.snapshot(machine, now)
			free += snapshot.Free[placement.CPU]
		}
	})
	return free
}

// defaultDueFactor is the time, in expected run times of a task, in which an array without a deadline or
// an objective should be complete.
const defaultDueFactor = 4

// timeUntilDue returns the time until a job should be complete, negative once that is past: by its own
// deadline, else by the objective of its class, else by defaultDueFactor.
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

// completionObjective returns the shortest time from submission in which jobs of a class should be
// complete, by the objectives of that class; 0: none is set.
func (s *sizer) completionObjective(class string) time.Duration {
	return s.shortestObjective(func(objective *config.Objective) bool {
		return objective.Class == class && objective.Kind != config.KindWait
	})
}
