package placement

// Jobs whose tasks start independently of each other: services and arrays.

import "slices"

// placeIndependentTasks places as many of a job's waiting tasks as possible. For the rest it preempts
// other tasks if the job may preempt.
func (p *pass) placeIndependentTasks(job *Job) {
	remaining := job.Waiting
	if job.Urgent && job.FetchTooSlow {
		// Exception 2 to the design (docs/placement.md). Guards against services that start late: a
		// fetch of the image would take up all of the time in which the service should start. Tasks on
		// machines that have the image are preempted before free machines without it are used.
		remaining -= p.placeTasks(job, remaining, machinesWithImage)
		remaining -= p.preempt(job, remaining, machinesWithImage).tasks
	}
	remaining -= p.placeTasks(job, remaining, anyMachine)
	if remaining == 0 {
		return
	}
	if p.teamOf(job).limitAllows(job.Need, 1) {
		p.plan.Unplaced[job.position] = remaining
		if !job.Urgent {
			p.starvedJobs = append(p.starvedJobs, job)
		}
	}
	if job.Urgent || job.MayPreemptOpportunistic {
		remaining -= p.preempt(job, remaining, anyMachine).tasks
	}
	p.reclaimBorrowed(job, remaining)
}

// placeTasks places up to limit tasks of a job, within the team's limit and on feasible machines, and
// returns their number. Machines are ranked once per job rather than once per task: load indices do not
// change within a pass, so the best machine for one task is the best for the next until it is full.
func (p *pass) placeTasks(job *Job, limit int, filter machineFilter) int {
	class, hasClass := job.equivalenceClass()
	if hasClass && p.infeasibleClasses[class] || !p.teamOf(job).limitAllows(job.Need, 1) {
		return 0
	}
	ranked := p.rankedMachines(job, filter)
	if job.OneZone {
		ranked = p.inZoneWithMostRoom(job, ranked)
	}
	placed := 0
	for _, machineIndex := range ranked {
		// Feasibility is checked for each task: if the job is spread over zones or restricted to one,
		// the task placed last may make the machine infeasible for the next.
		for p.feasible(job, machineIndex, filter) {
			if placed == limit || !p.teamOf(job).limitAllows(job.Need, 1) {
				return placed
			}
			p.assign(job, machineIndex)
			placed++
		}
	}
	if hasClass && filter == anyMachine {
		p.infeasibleClasses[class] = placed < limit // free resources only decrease within a pass
	}
	return placed
}

// rankedMachines returns the feasible machines, the best first.
func (p *pass) rankedMachines(job *Job, filter machineFilter) []int {
	ranked := make([]int, 0, len(p.machines))
	for machineIndex := range p.machines {
		if p.feasible(job, machineIndex, filter) {
			ranked = append(ranked, machineIndex)
		}
	}
	slices.SortFunc(ranked, func(a, b int) int { return p.compareMachines(job, a, b) })
	return ranked
}

// inZoneWithMostRoom returns those of the ranked machines that are in the zone with room for most of the job's waiting
// tasks, and of equals in the zone of the machine that ranks first.
//
// Exception 11 to the design (docs/placement.md). Guards against jobs in one zone that wait for good: the first task
// settles the zone, and the machine with the lowest load index may be in a zone without room for the others.
func (p *pass) inZoneWithMostRoom(job *Job, ranked []int) []int {
	room := make([]int, len(job.TasksInZone))
	for _, machineIndex := range ranked {
		machine := &p.machines[machineIndex]
		room[machine.Zone] = min(job.Waiting, room[machine.Zone]+machine.fittingCount(job.Need))
	}
	best := AnyZone
	for _, machineIndex := range ranked {
		zone := p.machines[machineIndex].Zone
		if best == AnyZone || room[zone] > room[best] {
			best = zone
		}
	}
	return slices.DeleteFunc(ranked, func(machineIndex int) bool { return p.machines[machineIndex].Zone != best })
}

// assign places one task of a job on a machine that is feasible for it.
func (p *pass) assign(job *Job, machineIndex int) {
	p.beforeChange(job, machineIndex)
	machine := &p.machines[machineIndex]
	machine.Free = machine.Free.Add(job.Need, -1)
	machine.ListedTasks++
	p.invalidateOptionsOn(machineIndex)
	p.teamOf(job).book(job.Need)
	job.TasksInZone[machine.Zone]++
	if job.Image != nil && job.Image[machineIndex] == ImageMissing {
		job.Image[machineIndex] = ImageFetching
		machine.FetchesImage = true
	}
	p.plan.Assignments = append(p.plan.Assignments, Assignment{Job: job.position, Machine: machineIndex})
}
