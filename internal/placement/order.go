package placement

// Order in which waiting jobs are placed.

import "sort"

// placementOrder returns the jobs in the order in which they are placed.
func placementOrder(jobs []Job) []*Job {
	sequence := make([]*Job, len(jobs))
	for position := range jobs {
		sequence[position] = &jobs[position]
	}
	sort.Slice(sequence, func(x, y int) bool { return placedBefore(sequence[x], sequence[y]) })
	return sequence
}

// placedBefore reports whether job a is placed before job b. By the design, the job of higher priority
// is placed first, and of equal priority the one that arrived first. Three exceptions to the design
// (docs/placement.md) are compared, one before the priority and two before the arrival.
func placedBefore(a, b *Job) bool {
	switch {
	case a.reclaimsAnyPriority() != b.reclaimsAnyPriority():
		// Part of exception 10, return of borrowed work. Guards against room that jobs of higher priority
		// borrow again as soon as it has been returned.
		return a.reclaimsAnyPriority()
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case a.BeyondGuarantee != b.BeyondGuarantee:
		// Exception 3, guarantee before arrival. Guards against a breach of DEPLOY-tulipshelf.md
		// ("guaranteed"): jobs within the guarantee of their team wait behind jobs of other teams that
		// exceed the guarantees of those teams.
		return b.BeyondGuarantee
	case a.InverseResponseRatio != b.InverseResponseRatio:
		// Exception 4, response ratio before arrival. In order of arrival, one large array delays all
		// jobs behind it. In order of remaining work alone, a large array might never be placed.
		return a.InverseResponseRatio < b.InverseResponseRatio
	}
	return a.Arrival < b.Arrival
}

// startOverdueJobs places one task of each overdue job before all other jobs, in order of arrival.
// Overdue gangs are left out.
//
// Exception 5 to the design (docs/placement.md). Guards against jobs that never start: in order of
// priority and response ratio alone, jobs of low priority or the largest arrays may not be placed
// while bursts of other jobs go on. Users count a job that does not start as failed.
func (p *pass) startOverdueJobs(sequence []*Job) {
	var overdue []*Job
	for _, job := range sequence {
		if job.Overdue && !job.Gang {
			overdue = append(overdue, job)
		}
	}
	sort.Slice(overdue, func(x, y int) bool { return overdue[x].Arrival < overdue[y].Arrival })
	for _, job := range overdue {
		job.Waiting -= p.placeTasks(job, 1, anyMachine)
	}
}
