package placement

// Order: in which order waiting jobs have their turn.

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

// placedBefore reports whether a has its turn before b: by the design the job of higher priority, and of
// equals the one that arrived first. Two exceptions to the design (docs/placement.md) come in between.
func placedBefore(a, b *Job) bool {
	switch {
	case a.Priority != b.Priority:
		return a.Priority > b.Priority
	case a.BeyondGuarantee != b.BeyondGuarantee:
		// Exception 3, guarantee before arrival: without it, work within its team's guarantee waits for
		// other teams' work beyond theirs, which DEPLOY-tulipshelf.md ("guaranteed") rules out.
		return b.BeyondGuarantee
	case a.InverseResponseRatio != b.InverseResponseRatio:
		// Exception 4, response ratio before arrival: by arrival, one large array makes all behind it
		// late; by the work left alone, a large array might never have its turn.
		return a.InverseResponseRatio < b.InverseResponseRatio
	}
	return a.Arrival < b.Arrival
}

// startOverdueJobs lets each job that has waited too long with none of its tasks begun begin with one,
// before all others and in order of arrival.
//
// Exception 5 to the design (docs/placement.md): by priority and response ratio alone, a class of low
// priority or the largest arrays may never have their turn while bursts of others go on, and users count
// a job that does not begin as failed.
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
