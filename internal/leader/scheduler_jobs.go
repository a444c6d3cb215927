package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
)

// This file makes the snapshots of waiting jobs for a scheduling pass.

// snapshotJobs returns the snapshots of the waiting jobs for placement, in the same order. A job that
// depends on the zones of its tasks has no waiting tasks in its snapshot while one zone is not known.
func (s *scheduler) snapshotJobs(waiting []*jobstore.Job, claims guaranteeClaims, limit startLimit, now time.Time) []placement.Job {
	jobs := make([]placement.Job, len(waiting))
	images := imageStates{}
	firstGangs := s.firstGangs(waiting)
	for i, waitingJob := range waiting {
		state, spec := s.jobs.states[waitingJob], waitingJob.Spec
		beyond := claims.beyond[waitingJob]
		image := s.imageOf(waitingJob, images)
		view, zonesKnown := s.machines.constrained(waitingJob, state, now)
		view.Priority, view.Arrival = s.priority(waitingJob), waitingJob.Arrival
		view.InverseResponseRatio, view.Overdue = s.inverseResponseRatio(waitingJob, now), s.overdue(waitingJob, now)
		view.BeyondGuarantee = beyond && !firstGangs[waitingJob]
		view.MayPreemptOpportunistic = s.mayPreemptOpportunistic(waitingJob, now) && !beyond
		view.Urgent = spec.Shape != job.Array
		view.MayReclaim = s.mayReclaim(waitingJob, now) && !beyond
		view.Image, view.FetchTooSlow = image.byMachine, image.fetchTooSlow
		if zonesKnown {
			view.Waiting = limit.tasksOf(waitingJob, s.jobs.tasksToStart(waitingJob))
		}
		jobs[i] = view
	}
	return jobs
}

// guaranteeClaims says which unfinished jobs do not fit into their team's guarantee together with the team's
// unfinished jobs before them, in the order of jobsByGuaranteeClaim.
type guaranteeClaims struct {
	beyond      map[*jobstore.Job]bool
	firstBeyond []uint64 // by index of the team, the lowest Arrival of such a job that is not failing; math.MaxUint64: none
}

func (s *scheduler) guaranteeClaims() guaranteeClaims {
	teams := s.topology.teams
	cpus, gpus := make([]float64, len(teams)), make([]float64, len(teams))
	claims := guaranteeClaims{beyond: make(map[*jobstore.Job]bool), firstBeyond: slices.Repeat([]uint64{math.MaxUint64}, len(teams))}
	for _, j := range s.jobsByGuaranteeClaim() {
		team := s.jobs.states[j].team
		tasks := float64(j.Spec.Tasks - j.DoneTasks())
		cpus[team] += tasks * j.Spec.CPUs
		gpus[team] += tasks * j.Spec.GPUs
		if cpus[team] > teams[team].GuaranteedCPUs+roundingTolerance || gpus[team] > teams[team].GuaranteedGPUs+roundingTolerance {
			claims.beyond[j] = true
			if !s.jobs.states[j].isFailing() { // these claim last, whenever they arrived
				claims.firstBeyond[team] = min(claims.firstBeyond[team], j.Arrival)
			}
		}
	}
	return claims
}

// roundingTolerance is the rounding error that is allowed for in sums and quotients of resources.
const roundingTolerance = 1e-6

// jobsByGuaranteeClaim returns the unfinished jobs in the order in which they claim their teams'
// guarantees: by arrival, with the jobs that fail on every machine last. Cancelled jobs are left out.
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

// firstGangs returns, for each team, the gang that arrived first. The waiting jobs are given by arrival.
//
// Exception 9 to the design (docs/placement.md), an exception to number 3 (guarantee before arrival): one
// waiting gang of each team is ordered as if it were within its team's guarantee.
// Guards against starved gangs: arrays within their teams' guarantees take resources as soon as a task
// frees them, while a gang needs resources for all of its tasks at once. A gang beyond the guarantee
// then waits for as long as such arrays arrive (docs/incidents/inc-82e5.md,
// TestGangBeyondGuaranteeNotStarvedByArrays).
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

// overdueAfter is the time from submission after which a job without a live or done task is overdue. One
// task of an overdue service or array is placed before all other jobs. An overdue gang may reserve
// machines that have room only after placement's usual limit. The time is half of the four minutes that
// the users allow.
const overdueAfter = 2 * time.Minute

// overdue reports whether a job has waited longer than overdueAfter with no task live or done, or half as
// long once gangs have arrived.
func (s *scheduler) overdue(j *jobstore.Job, now time.Time) bool {
	limit := overdueAfter
	if !s.forecast.gangs.Empty() {
		limit /= 2 // guards against jobs that wait long for machines that are reserved for gangs
	}
	return now.Sub(j.SubmittedAt) > limit && j.LiveTasks() == 0 && j.DoneTasks() == 0
}

// mayPreemptOpportunistic reports whether a job of a team with a guarantee has waited so long that tasks
// of opportunistic teams may be preempted for it: half of the time in which work within a guarantee
// should start, or Operator.UnhealthyAfter if no objective sets that time. During the wait, short tasks
// of opportunistic teams can end without being preempted.
func (s *scheduler) mayPreemptOpportunistic(j *jobstore.Job, now time.Time) bool {
	return now.Sub(j.SubmittedAt) >= s.guaranteeWait(2) && !s.jobs.opportunistic(j)
}

// mayReclaim reports whether a job of a team with a guarantee has waited so long for machines that tasks may be
// stopped which other teams run beyond their guarantees: the time in which work within a guarantee should start,
// or Operator.UnhealthyAfter if no objective sets that time.
func (s *scheduler) mayReclaim(j *jobstore.Job, now time.Time) bool {
	if s.jobs.opportunistic(j) {
		return false
	}
	unplacedSince := s.jobs.states[j].unplacedSince
	return !unplacedSince.IsZero() && now.Sub(unplacedSince) >= s.guaranteeWait(1)
}

// guaranteeWait returns the time in which work within a guarantee should start, divided by a divisor; or
// Operator.UnhealthyAfter if no objective sets that time.
func (s *scheduler) guaranteeWait(divisor time.Duration) time.Duration {
	if within := s.guaranteeObjective(); within > 0 {
		return within / divisor
	}
	return s.Operator.UnhealthyAfter
}

// guaranteeObjective returns the shortest time in which work within a guarantee should start; 0: none is
// set.
func (s *scheduler) guaranteeObjective() time.Duration {
	return s.shortestObjective(func(objective *config.Objective) bool { return objective.Kind == config.KindGuarantee })
}

// priority returns a waiting job's priority: the lowest for opportunistic teams, whatever their jobs
// specify. Guards against endless preemption: when tasks are stopped to make room for work within a
// guarantee, tasks of opportunistic teams with a higher priority would take that room first, and would
// be preempted for the same work again (TestTeamWithoutGuaranteeUsesIdleCapacity).
func (s *scheduler) priority(j *jobstore.Job) int {
	if s.jobs.opportunistic(j) {
		return job.RankBestEffort
	}
	return j.Spec.Rank()
}

// inverseResponseRatio returns the run time of an array's waiting tasks, divided by the time since its
// submission plus the run time of one task; 0 for jobs of other shapes.
func (s *scheduler) inverseResponseRatio(j *jobstore.Job, now time.Time) float64 {
	if j.Spec.Shape != job.Array {
		return 0
	}
	run := s.forecast.runSeconds(j.Spec)
	return float64(j.WaitingTasks()) * run / (run + max(0, now.Sub(j.SubmittedAt).Seconds()))
}

// imageStates holds the state of each machine's copy of an image, by the image's name. Jobs with the same
// image share a slice, so that one pass sends them to the same machines.
type imageStates map[string][]placement.ImageState

// imageView holds what placement uses of a job's image. The zero value: the image does not matter.
type imageView struct {
	byMachine    []placement.ImageState // nil: the image does not matter
	fetchTooSlow bool                   // a slow fetch takes at least the time in which the job should start
}

// Limits of the time to fetch an image, relative to the time in which a job should start.
const (
	// fetchLimitDivisor sets the longest acceptable fetch: the time in which the job should start,
	// divided by fetchLimitDivisor. If a fetch takes longer, machines that have the image are preferred.
	fetchLimitDivisor = 4

	// slowFetchFactor is the duration of a slow fetch, as a multiple of the usual duration: "give or take
	// a third" (PROTOCOL-tulipshelf.md).
	slowFetchFactor = 4.0 / 3
)

// imageOf returns what placement uses of a job's image. This is the zero view if a fetch of the image
// takes no longer than Operator.Smoothing, the smoothing time of the load index, and no longer than
// 1/fetchLimitDivisor of the time in which jobs of its class should start.
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

// machinesWithImage returns, by index of the machine, the state of its copy of an image.
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
