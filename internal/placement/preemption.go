package placement

// Preemption: stopping tasks so that a task of another job fits. It is outside the design
// (docs/placement.md, "Preemption").

import (
	"cmp"
	"slices"
)

// preemptionResult is the result of preempting for a job.
type preemptionResult struct {
	tasks       int     // number of tasks of the job that will fit
	lostSeconds float64 // run time lost by the victims and by the other members of their gangs
}

// preempt stops victims for up to limit tasks of a job, for each task on the machine that is best for
// it. If a task would exceed the team's limit, the victims are tasks of the team itself. Resources
// become free only once the victims have stopped, so the job's tasks are placed in a later pass.
func (p *pass) preempt(job *Job, limit int, filter machineFilter) preemptionResult {
	var result preemptionResult
	candidates := p.preemptionCandidates(job, filter)
	for result.tasks < limit {
		excess := p.teamOf(job).excess(job.Need)
		options := p.preemptionOptionsFor(job, excess)
		machineIndex := p.bestPreemption(job, excess, candidates, options)
		if machineIndex == noMachine || p.reclaim.search.exhausted() {
			break
		}
		if p.mustSearchAgain(job, machineIndex, excess) {
			continue
		}
		result.tasks++
		result.lostSeconds += options[machineIndex].lostSeconds
		p.stopVictims(job, machineIndex, options[machineIndex].victims)
	}
	return result
}

// preemptionCandidates returns the machines on which tasks may be preempted for the job.
func (p *pass) preemptionCandidates(job *Job, filter machineFilter) []int {
	var candidates []int
	for machineIndex := range p.machines {
		if !p.machines[machineIndex].AcceptsTasks || job.avoids(machineIndex) || !p.passesFilter(job, machineIndex, filter) {
			continue
		}
		if (job.Urgent || p.reclaim.search != nil) && p.contested(job, machineIndex) {
			continue
		}
		candidates = append(candidates, machineIndex)
	}
	return candidates
}

// contested reports whether jobs that come earlier than a job in the order of placement would take the
// resources that become free on a machine.
//
// Guards against repeated preemption without effect: tasks were stopped for a gang, and arrays of its
// priority that preceded it took the resources before the last victim was gone
// (docs/incidents/inc-f015.md).
func (p *pass) contested(job *Job, machineIndex int) bool {
	for _, earlier := range p.starvedJobs {
		if earlier != job && earlier.Allows(&p.machines[machineIndex]) && !earlier.avoids(machineIndex) {
			return true
		}
	}
	return false
}

// bestPreemption returns the candidate on which preemption for a task is best; noMachine if it is not
// possible on any. It stores the options that it computes in options.
func (p *pass) bestPreemption(job *Job, excess Amounts, candidates []int, options []preemptionOption) int {
	best := noMachine
	for _, machineIndex := range candidates {
		machine := &p.machines[machineIndex]
		if !job.Allows(machine) {
			continue
		}
		option := &options[machineIndex]
		if option.state == optionUnknown {
			*option = p.chooseVictims(machine, job, excess)
		}
		if option.state == optionImpossible {
			continue
		}
		if best == noMachine || p.comparePreemptions(job, options, machineIndex, best) < 0 {
			best = machineIndex
		}
	}
	return best
}

// comparePreemptions compares two machines on which preemption is possible and returns a negative number
// if a is better: if it has the image sooner and then, of equals, if less run time is lost. For a gang
// without FetchTooSlow, the lost run time is compared before the image.
//
// The image comes first by exception 2 in docs/placement.md: a fetch takes up the time in which a
// service should start, and costs the service more than the victims lose.
func (p *pass) comparePreemptions(job *Job, options []preemptionOption, a, b int) int {
	byImage := cmp.Compare(p.imageRankOn(job, a), p.imageRankOn(job, b))
	byLoss := cmp.Compare(options[a].lostSeconds, options[b].lostSeconds)
	if job.Gang && !job.FetchTooSlow {
		// The image on these machines does not always let the gang start sooner: it starts only when its
		// last task can, and some of its tasks use free resources of machines that may have to fetch the
		// image.
		return cmp.Or(byLoss, byImage)
	}
	return cmp.Or(byImage, byLoss)
}

// stopVictims stops victims on a machine, given by their positions among its tasks, and books the
// resources that become free for one task of the job.
func (p *pass) stopVictims(job *Job, machineIndex int, victims []int) {
	p.beforeChange(job, machineIndex)
	machine := &p.machines[machineIndex]
	if !p.ownsTasks[machineIndex] {
		machine.Tasks = slices.Clone(machine.Tasks)
		p.ownsTasks[machineIndex] = true
	}
	var freed Amounts
	for _, taskIndex := range victims {
		victim := &machine.Tasks[taskIndex]
		if !victim.Stopping {
			victim.Stopping = true
			preemption := Preemption{Machine: machineIndex, TaskID: victim.ID, Job: job.position}
			p.plan.Preemptions = append(p.plan.Preemptions, preemption)
		}
		freed = freed.Add(victim.Need, 1)
		victimTeam := &p.teams[victim.Team]
		victimTeam.stopping = victimTeam.stopping.Add(victim.Need, 1)
		victim.Need = Amounts{} // already booked: not available to other jobs in this pass
	}
	p.invalidateTasksOn(machineIndex)
	if len(victims) == 0 {
		machine.ListedTasks++ // otherwise the task takes the place of a victim
	}
	// A victim holds its resources and counts as usage of its team until it is gone. None of its
	// resources are given to other jobs in this pass, not even those that the job does not need.
	for resource := range machine.Free {
		machine.Free[resource] = min(machine.Free[resource], machine.Free[resource]+freed[resource]-job.Need[resource])
	}
	p.teamOf(job).book(job.Need)
	job.TasksInZone[machine.Zone]++
}
