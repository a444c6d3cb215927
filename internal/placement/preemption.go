package placement

// Preemption: making room for a job by stopping tasks that have to give way to it. It is outside the
// design (docs/placement.md, "Preemption").

import (
	"cmp"
	"slices"
)

// preemptionResult is what preempting for a job came to.
type preemptionResult struct {
	tasks       int     // tasks of the job for which room is made
	lostSeconds float64 // run time that the victims lose
}

// preempt makes room for up to limit tasks of a job, each on the one machine where that is best. Where the
// team is at its limit the victims are its own tasks. What is freed is there only once the victims have
// stopped, so the job's tasks are placed in a later pass.
func (p *pass) preempt(job *Job, limit int, filter machineFilter) preemptionResult {
	var result preemptionResult
	candidates := p.preemptionCandidates(job, filter)
	for result.tasks < limit {
		excess := p.teamOf(job).excess(job.Need)
		options := p.preemptionOptionsFor(job, excess)
		machineIndex := p.bestPreemption(job, excess, candidates, options)
		if machineIndex == noMachine {
			break
		}
		result.tasks++
		result.lostSeconds += options[machineIndex].lostSeconds
		p.stopVictims(job, machineIndex, options[machineIndex].victims)
	}
	return result
}

// preemptionCandidates returns the machines on which tasks may be stopped for the job.
func (p *pass) preemptionCandidates(job *Job, filter machineFilter) []int {
	var candidates []int
	for machineIndex := range p.machines {
		if !p.machines[machineIndex].AcceptsTasks || job.avoids(machineIndex) || !p.passesFilter(job, machineIndex, filter) {
			continue
		}
		if job.Urgent && p.contested(machineIndex) {
			continue
		}
		candidates = append(candidates, machineIndex)
	}
	return candidates
}

// contested reports whether jobs that come before would take what becomes free on a machine.
//
// It guards against tasks that are stopped in vain, again and again: a gang stopped tasks, and arrays of
// its priority that came before it took the room before the last of them was gone
// (docs/incidents/inc-f015.md).
func (p *pass) contested(machineIndex int) bool {
	for _, job := range p.starvedJobs {
		if job.Allows(&p.machines[machineIndex]) && !job.avoids(machineIndex) {
			return true
		}
	}
	return false
}

// bestPreemption returns the candidate where making room for a task is best, or noMachine. What it works
// out on the way is kept in options.
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

// comparePreemptions compares two machines on which room can be made, the better one first: where the image
// is or will be soonest (exception 2 in docs/placement.md: the fetch would cost a service the time in which
// it should start, and more than the victims lose), and then where the least run time is lost.
func (p *pass) comparePreemptions(job *Job, options []preemptionOption, a, b int) int {
	byImage := cmp.Compare(p.imageRankOn(job, a), p.imageRankOn(job, b))
	byLoss := cmp.Compare(options[a].lostSeconds, options[b].lostSeconds)
	if job.Gang && !job.FetchTooSlow {
		// A gang begins when its last task can, and finds part of its room free, whatever is fetched there.
		return cmp.Or(byLoss, byImage)
	}
	return cmp.Or(byImage, byLoss)
}

// stopVictims stops victims on a machine, given by their positions among its tasks, and books what they
// free for one task of the job.
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
		victim.Need = Amounts{} // spoken for: no other job of this pass counts on it
	}
	p.invalidateTasksOn(machineIndex)
	// A victim still runs and counts until it is gone: nobody gets any of what it holds in this pass, not
	// even what is more than the job needs.
	for resource := range machine.Free {
		machine.Free[resource] = min(machine.Free[resource], machine.Free[resource]+freed[resource]-job.Need[resource])
	}
	p.teamOf(job).book(job.Need)
	job.TasksInZone[machine.Zone]++
}
