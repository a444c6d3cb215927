package leader

import (
	"cmp"
	"slices"
	"time"

	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// This file turns waiting jobs into the snapshots on which a scheduling pass decides.

// snapshotJobs returns the waiting jobs as placement sees them, in the same order.
func (s *scheduler) snapshotJobs(waiting []*jobstore.Job, now time.Time) []placement.Job {
	jobs := make([]placement.Job, len(waiting))
	images := imageStates{}
	beyondGuarantee, firstGangs := s.beyondGuarantee(), s.firstGangs(waiting)
	for i, waitingJob := range waiting {
		state, spec := s.jobs.states[waitingJob], waitingJob.Spec
		beyond := beyondGuarantee[waitingJob]
		image := s.imageOf(waitingJob, images)
		zones := s.tasksInZones(waitingJob)
		view := placement.Job{
			Team: state.team, Priority: s.priority(waitingJob), Arrival: waitingJob.Arrival, InverseResponseRatio: s.inverseResponseRatio(waitingJob, now),
			BeyondGuarantee: beyond && !firstGangs[waitingJob], MayPreemptOpportunistic: s.mayPreemptOpportunistic(waitingJob, now) && !beyond,
			Need: state.need, Waiting: s.jobs.tasksToStart(waitingJob), Tasks: spec.Tasks, Gang: waitingJob.IsGang(),
			Types: state.types, Zone: state.zone, Spot: spec.Spot, OneZone: spec.OneZone, SpreadOverZones: spec.Apart,
			Avoid: s.machinesToAvoid(state), Urgent: spec.Shape != job.Array, Overdue: s.overdue(waitingJob, now),
			Image: image.byMachine, FetchTooSlow: image.fetchTooSlow, TasksInZone: zones.tasks,
		}
		if !zones.allKnown && (spec.OneZone || spec.Apart) {
			view.Waiting = 0
		}
		jobs[i] = view
	}
	return jobs
}

// beyondGuarantee returns the jobs that do not fit into their team's guarantee together with the
// team's earlier unfinished jobs.
func (s *scheduler) beyondGuarantee() map[*jobstore.Job]bool {
	teams := s.topology.teams
	cpus, gpus := make([]float64, len(teams)), make([]float64, len(teams))
	beyond := make(map[*jobstore.Job]bool)
	for _, j := range s.jobsByGuaranteeClaim() {
		team := s.jobs.states[j].team
		tasks := float64(j.Spec.Tasks - j.DoneTasks())
		cpus[team] += tasks * j.Spec.CPUs
		gpus[team] += tasks * j.Spec.GPUs
		if cpus[team] > teams[team].GuaranteedCPUs+roundingTolerance || gpus[team] > teams[team].GuaranteedGPUs+roundingTolerance {
			beyond[j] = true
		}
	}
	return beyond
}

// roundingTolerance absorbs the rounding of sums of resources.
const roundingTolerance = 1e-6

// jobsByGuaranteeClaim returns the jobs in the order in which they claim their teams' guarantees: by
// arrival, those last that fail on every machine.
func (s *scheduler) jobsByGuaranteeClaim() []*jobstore.Job {
	jobs := make([]*jobstore.Job, 0, s.jobs.store.Len())
	s.jobs.store.Each(func(j *jobstore.Job) {
		if s.jobs.hasTeam(j) && !j.Cancelled {
			jobs = append(jobs, j)
		}
	})
	slices.SortFunc(jobs, func(a, b *jobstore.Job) int {
		if failing := s.jobs.states[a].isFailing(); failing != s.jobs.states[b].isFailing() {
			if failing {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Arrival, b.Arrival)
	})
	return jobs
}

// firstGangs returns the gang of each team that has waited longest.
//
// Exception to the exception that work within a guarantee goes first: one waiting gang of each team
// is not behind it. It guards against gangs that wait for as long as arrays within their teams'
// guarantees come, which take each gap, while a gang needs all of its gaps at once
// (docs/incidents/inc-82e5.md, TestGangBeyondGuaranteeNotStarvedByArrays).
func (s *scheduler) firstGangs(waiting []*jobstore.Job) map[*jobstore.Job]bool {
	first := map[*jobstore.Job]bool{}
	teamHasGang := map[int]bool{}
	for _, j := range waiting {
		team := s.jobs.states[j].team
		if j.IsGang() && !teamHasGang[team] {
			teamHasGang[team], first[j] = true, true
		}
	}
	return first
}

// overdueAfter is when a job of which no task has begun may begin with one before all others: half
// of the four minutes that the users allow.
const overdueAfter = 2 * time.Minute

// overdue reports whether a job has waited too long with none of its tasks begun.
func (s *scheduler) overdue(j *jobstore.Job, now time.Time) bool {
	limit := overdueAfter
	if !s.forecast.gangs.Empty() {
		limit /= 2 // room kept for gangs keeps no job waiting for long
	}
	return now.Sub(j.SubmittedAt) > limit && j.LiveTasks() == 0 && j.DoneTasks() == 0
}

// mayPreemptOpportunistic reports whether a job of a team with a guarantee has waited for so long that work of
// teams without one is to be stopped for it: half of the time in which work within a guarantee
// should start. Until then short tasks of theirs end by themselves.
func (s *scheduler) mayPreemptOpportunistic(j *jobstore.Job, now time.Time) bool {
	minWait := s.Operator.UnhealthyAfter
	for i := range s.Settings.Objectives {
		if objective := &s.Settings.Objectives[i]; objective.Kind == config.KindGuarantee {
			minWait = objective.Within / 2
		}
	}
	return now.Sub(j.SubmittedAt) >= minWait && !s.jobs.opportunistic(j)
}

// priority returns a waiting job's priority: the lowest for teams without a guarantee, whatever
// they say. They would take the room that was just made for work within a guarantee, and be stopped
// for it again, for ever (TestTeamWithoutGuaranteeUsesIdleCapacity).
func (s *scheduler) priority(j *jobstore.Job) int {
	if s.jobs.opportunistic(j) {
		return job.RankBestEffort
	}
	return j.Spec.Rank()
}

// inverseResponseRatio returns an array's work left over the time that its user has waited, one
// task's run included.
func (s *scheduler) inverseResponseRatio(j *jobstore.Job, now time.Time) float64 {
	if j.Spec.Shape != job.Array {
		return 0
	}
	run := s.forecast.runSeconds(j.Spec)
	return float64(j.WaitingTasks()) * run / (run + max(0, now.Sub(j.SubmittedAt).Seconds()))
}

// zoneCounts is how many live attempts of a job are in each zone.
type zoneCounts struct {
	tasks    []int
	allKnown bool // the zones of all attempts are known
}

// tasksInZones counts a job's attempts by zone. After an election the zones of machines that
// neither the cloud's list nor a heartbeat has named are not known; a job whose tasks are tied to
// each other by zone is not placed on a guess.
func (s *scheduler) tasksInZones(j *jobstore.Job) zoneCounts {
	counts := zoneCounts{tasks: make([]int, len(s.topology.zones)), allKnown: true}
	j.EachAttempt(func(attempt *jobstore.Attempt) {
		machine := s.machines.registry.Machine(attempt.Machine)
		if machine == nil || machine.Zone == unknownIndex {
			counts.allKnown = false
			return
		}
		counts.tasks[machine.Zone]++
	})
	return counts
}

// machinesToAvoid returns, by index, the machines on which a job has failed lately; nil: none.
func (s *scheduler) machinesToAvoid(state *jobState) []bool {
	if len(state.failedOn) == 0 {
		return nil
	}
	avoid := make([]bool, s.machines.registry.Size())
	for name := range state.failedOn {
		if machine := s.machines.registry.Machine(name); machine != nil {
			avoid[machine.Index] = true
		}
	}
	return avoid
}

// imageStates is which machines have an image, by image. Jobs with the same image share a list, so
// that one pass sends them to the same machines.
type imageStates map[string][]placement.ImageState

// imageView is what placement has to know of a job's image.
type imageView struct {
	byMachine    []placement.ImageState // nil: the image does not count
	fetchTooSlow bool                   // a fetch takes up all of the time in which the job should start
}

// Shares of the time in which a job should start.
const (
	// fetchLimitDivisor is the part, one in so many, that a fetch may take before machines that have the
	// image are preferred.
	fetchLimitDivisor = 4

	// slowFetchFactor is how many times as long as usual a fetch may take: "give or take a third"
	// (PROTOCOL-tulipshelf.md).
	slowFetchFactor = 4.0 / 3
)

// imageOf returns what the machines have of a job's image, if a fetch of it takes longer than the
// load index remembers, or a good part of the time in which its class should start.
func (s *scheduler) imageOf(waiting *jobstore.Job, states imageStates) imageView {
	view, limit := imageView{}, s.Operator.Smoothing
	fetch := s.topology.fetchSeconds(waiting.Spec.ImageGB)
	for i := range s.Settings.Objectives {
		objective := &s.Settings.Objectives[i]
		ofClass := objective.Kind == config.KindWait && objective.Class == waiting.Spec.Class
		if objective.Within <= 0 || !ofClass && objective.Kind != config.KindGuarantee {
			continue
		}
		view.fetchTooSlow = view.fetchTooSlow || fetch*slowFetchFactor >= objective.Within.Seconds()
		if ofClass {
			limit = min(limit, objective.Within/fetchLimitDivisor)
		}
	}
	if fetch <= limit.Seconds() {
		return imageView{}
	}
	if states[waiting.Spec.Image] == nil {
		states[waiting.Spec.Image] = s.machinesWithImage(waiting.Spec.Image)
	}
	view.byMachine = states[waiting.Spec.Image]
	return view
}

// machinesWithImage returns, by index, what each machine has of an image.
func (s *scheduler) machinesWithImage(image string) []placement.ImageState {
	list := make([]placement.ImageState, s.machines.registry.Size())
	for i := range list {
		switch machine := s.machines.registry.At(i); {
		case machine.Images.Ready(image):
			list[i] = placement.ImageReady
		case machine.Images.Has(image):
			list[i] = placement.ImageFetching
		}
	}
	return list
}
