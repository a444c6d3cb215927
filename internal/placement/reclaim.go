package placement

// Return of borrowed work: tasks that a team runs beyond its guarantee are stopped for a job of another team that is
// within its own.
//
// Exception 10 to the design (docs/placement.md). Guards against breaches of guarantees: a team's only job waits for
// as long as services run for which another team has borrowed its machines
// (docs/incidents/borrowed-work-not-returned.md).

import (
	"slices"
	"time"
)

const (
	// minReturnedTimeLeft is the time for which a task has to go on by itself to be stopped for another team's
	// guarantee. Guards against work that is lost without need: a task that ends sooner makes room by itself.
	minReturnedTimeLeft = 2 * time.Minute

	// maxReclaimingJobs is the maximum number of jobs for which a pass searches all machines for borrowed tasks.
	maxReclaimingJobs = 8

	// maxReclaimTasks is the maximum number of tasks of a service or array for which a pass stops borrowed tasks.
	maxReclaimTasks = 8

	// maxReclaimSearches is the maximum number of searches of all machines for one job. A search serves all tasks of
	// the job, unless what it found depends on how much of the other teams' work has been stopped since.
	maxReclaimSearches = 8
)

// reclaimState is the part of a pass that concerns the return of borrowed work.
type reclaimState struct {
	search   *borrowedSearch       // borrowed tasks are preemptible now, as this search finds them; nil: they are not
	jobs     int                   // number of jobs for which the machines were searched
	stopping []Amounts             // what stoppingBefore returns, by position of the team; nil: not computed
	inVain   map[reclaimClass]bool // true: no borrowed task can be stopped for the class
}

// borrowedSearch is the search of the machines for borrowed tasks that can be stopped for a job.
type borrowedSearch struct {
	anyPriority bool               // also for tasks of higher priority than the job, if it reclaimsAnyPriority
	begun       int                // number of times that it was begun; given up beyond maxReclaimSearches
	options     []preemptionOption // what it has found, by position of the machine; nil: it has to begin anew
}

// reclaimClass holds the properties that determine which borrowed tasks can be stopped for a task.
type reclaimClass struct {
	equivalenceClass
	team        int
	anyPriority bool // as returned by Job.reclaimsAnyPriority
}

// reclaimBorrowed stops borrowed tasks for up to limit tasks of a service or array, and at most maxReclaimTasks.
func (p *pass) reclaimBorrowed(job *Job, limit int) {
	limit = min(limit, maxReclaimTasks)
	if limit == 0 || !p.maySearchBorrowed(job) {
		return
	}
	class, hasClass := job.equivalenceClass()
	claim := reclaimClass{class, job.Team, job.reclaimsAnyPriority()}
	if hasClass && p.reclaim.inVain[claim] {
		return
	}
	p.reclaim.jobs++
	limit -= p.preemptBorrowed(job, limit, anyMachine, borrowedSearch{}).tasks
	if limit > 0 && job.reclaimsAnyPriority() {
		limit -= p.preemptBorrowed(job, limit, anyMachine, borrowedSearch{anyPriority: true}).tasks
	}
	if limit == 0 || !hasClass {
		return
	}
	if p.reclaim.inVain == nil {
		p.reclaim.inVain = map[reclaimClass]bool{}
	}
	p.reclaim.inVain[claim] = true // borrowed work only decreases within a pass
}

// reclaimForGang stops borrowed tasks for all waiting tasks of a gang, in the zone where the least run time is lost,
// or for none. It reports whether all of them will fit.
func (p *pass) reclaimForGang(gang *Job, zones []int) bool {
	if !p.maySearchBorrowed(gang) {
		return false
	}
	p.reclaim.jobs++
	return p.inBestZone(gang, zones, func(gang *Job, zone int) zoneOutcome {
		result := p.preemptBorrowed(gang, gang.Waiting, machineFilter{zone: zone}, borrowedSearch{})
		return zoneOutcome{complete: result.tasks == gang.Waiting, totalCost: result.lostSeconds}
	})
}

// maySearchBorrowed reports whether the machines may be searched for borrowed tasks that can be stopped for a job.
func (p *pass) maySearchBorrowed(job *Job) bool {
	return job.MayReclaim && p.reclaim.jobs < maxReclaimingJobs
}

// preemptBorrowed preempts for up to limit tasks of a job, borrowed tasks included.
func (p *pass) preemptBorrowed(job *Job, limit int, filter machineFilter, search borrowedSearch) preemptionResult {
	p.reclaim.search = &search
	defer func() { p.reclaim.search = nil }()
	return p.preempt(job, limit, filter)
}

// begin returns the options that the search has found so far, and begins it anew if it has to.
func (s *borrowedSearch) begin(machines int) []preemptionOption {
	if s.options == nil {
		s.options = make([]preemptionOption, machines)
		s.begun++
	}
	return s.options
}

// exhausted reports whether the search is to be given up.
func (s *borrowedSearch) exhausted() bool { return s != nil && s.begun > maxReclaimSearches }

// mustSearchAgain reports whether the best option that a search has found no longer holds, as other tasks have been
// stopped since. The search then begins anew.
func (p *pass) mustSearchAgain(job *Job, machineIndex int, excess Amounts) bool {
	search := p.reclaim.search
	if search == nil {
		return false
	}
	found, current := search.options[machineIndex], p.chooseVictims(&p.machines[machineIndex], job, excess)
	if current.state == found.state && slices.Equal(current.victims, found.victims) {
		return false
	}
	search.options = nil
	return true
}

// reclaimsAnyPriority reports whether borrowed work of higher priority is stopped for the job. It is for services
// alone: they are placed before all other jobs (placedBefore), and no job beyond its guarantee stops their replicas
// (isGuaranteedReplica).
func (j *Job) reclaimsAnyPriority() bool { return j.MayReclaim && j.Urgent && !j.Gang }

// isBorrowed reports whether a task may be stopped for the job as borrowed work, as far as its team keeps its
// guarantee (mayReturn). Members of gangs are left, as their whole gang would stop, and tasks of higher priority where
// their jobs would be placed first and take the room again.
func (p *pass) isBorrowed(task *Task, job *Job) bool {
	if p.reclaim.search == nil || task.Team == job.Team || task.Gang != 0 || !p.isBeyondGuarantee(task) {
		return false
	}
	if task.Priority > job.Priority && !p.mayStopHigherPriority(task, job) {
		return false
	}
	return task.Stopping || task.timeLeft(p.now) >= minReturnedTimeLeft
}

// mayStopHigherPriority reports whether a borrowed task of higher priority may be stopped for the job: in the second
// search for it, once no other borrowed work can be stopped, unless the task is stopping anyway.
func (p *pass) mayStopHigherPriority(task *Task, job *Job) bool {
	return job.reclaimsAnyPriority() && (p.reclaim.search.anyPriority || task.Stopping)
}

// isBeyondGuarantee reports whether a task's job is beyond the guarantee of its team.
func (p *pass) isBeyondGuarantee(task *Task) bool {
	return task.JobArrival >= p.teams[task.Team].FirstBeyond
}

// isGuaranteedReplica reports whether a task is a replica of a service within its team's guarantee, and the job is
// beyond that of another team. Guards against two teams that stop each other's services in turn: the one by its
// priority, the other by its guarantee.
func (p *pass) isGuaranteedReplica(task *Task, job *Job) bool {
	isReplica := task.EndsAt.IsZero()
	return job.BeyondGuarantee && isReplica && task.Team != job.Team && !p.isBeyondGuarantee(task)
}

// returnedAmounts holds, by team, the resources of borrowed tasks that are chosen as victims on one machine.
type returnedAmounts map[int]Amounts

// mayReturn reports whether a borrowed task's team keeps its guarantee without the task and those returned, and adds
// the task to these if so. What is stopping already makes room in any case.
func (p *pass) mayReturn(task *Task, returned *returnedAmounts) bool {
	if task.Stopping {
		return true
	}
	total := (*returned)[task.Team].Add(task.Need, 1)
	if !p.teams[task.Team].keepsGuarantee(p.stoppingBefore(task.Team).Add(total, 1)) {
		return false
	}
	if *returned == nil {
		*returned = returnedAmounts{}
	}
	(*returned)[task.Team] = total
	return true
}

// stoppingBefore returns the resources of a team's tasks that were told to stop before this pass and are not gone.
func (p *pass) stoppingBefore(team int) Amounts {
	if p.reclaim.stopping != nil {
		return p.reclaim.stopping[team]
	}
	p.reclaim.stopping = make([]Amounts, len(p.teams))
	for machineIndex := range p.machines {
		for taskIndex := range p.machines[machineIndex].Tasks {
			task := &p.machines[machineIndex].Tasks[taskIndex]
			if task.Stopping && task.Team >= 0 {
				p.reclaim.stopping[task.Team] = p.reclaim.stopping[task.Team].Add(task.Need, 1)
			}
		}
	}
	return p.reclaim.stopping[team]
}
