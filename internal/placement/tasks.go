package placement

// Jobs whose tasks start one by one: services and arrays.

import "slices"

// placeIndependentTasks places as many of a job's waiting tasks as it can, and makes room for the rest
// where the job may preempt.
func (p *pass) placeIndependentTasks(job *Job) {
	remaining := job.Waiting
	if job.Urgent && job.FetchTooSlow {
		// Exception 2 to the design (docs/placement.md): to fetch the image would take up all of the time
		// in which the service should start, so room is made where the image is before free room
		// elsewhere is taken.
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
		p.preempt(job, remaining, anyMachine)
	}
}

// placeTasks places up to limit tasks of a job, as far as the team and the machines have room, and returns
// how many. The load index does not change within a pass, so the machine that is best for one task is best
// for the next until it is full: the machines are looked through once for a job, not once for a task.
func (p *pass) placeTasks(job *Job, limit int, filter machineFilter) int {
	class, hasClass := job.equivalenceClass()
	if hasClass && p.infeasibleClasses[class] || !p.teamOf(job).limitAllows(job.Need, 1) {
		return 0
	}
	placed := 0
	for _, machineIndex := range p.rankedMachines(job, filter) {
		// Each task is checked: of a job that is spread over zones or kept in one, a task that was just
		// placed may rule out the next.
		for p.feasible(job, machineIndex, filter) {
			if placed == limit || !p.teamOf(job).limitAllows(job.Need, 1) {
				return placed
			}
			p.assign(job, machineIndex)
			placed++
		}
	}
	if hasClass && filter == anyMachine {
		p.infeasibleClasses[class] = placed < limit // room only shrinks within a pass
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

// assign places one task of a job on a machine that is feasible for it.
func (p *pass) assign(job *Job, machineIndex int) {
	p.beforeChange(job, machineIndex)
	machine := &p.machines[machineIndex]
	machine.Free = machine.Free.Add(job.Need, -1)
	p.teamOf(job).book(job.Need)
	job.TasksInZone[machine.Zone]++
	if job.Image != nil && job.Image[machineIndex] == ImageMissing {
		job.Image[machineIndex] = ImageFetching
		machine.FetchesImage = true
	}
	p.plan.Assignments = append(p.plan.Assignments, Assignment{Job: job.position, Machine: machineIndex})
}
