package placement

import "sort"

// placementOrder returns the positions of the jobs in the order in which they are placed.
func placementOrder(jobs []Job) []int {
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(x, y int) bool {
		a, b := &jobs[order[x]], &jobs[order[y]]
		if a.Priority != b.Priority {
			return a.Priority > b.Priority
		}
		// Exception to the design (priority, then arrival): work within its team's
		// guarantee need not wait for other teams' work beyond theirs, as
		// DEPLOY-tulipshelf.md promises ("guaranteed").
		if a.BeyondGuarantee != b.BeyondGuarantee {
			return b.BeyondGuarantee
		}
		// Exception to the design (arrival): among arrays, the highest response ratio
		// first, that is the least work left for the time waited. By arrival one large
		// array makes all behind it late (rough of kapana-orders); by work alone a
		// large one might never have its turn.
		if a.Ratio != b.Ratio {
			return a.Ratio < b.Ratio
		}
		return a.Arrival < b.Arrival
	})
	return order
}

// startOverdueJobs lets each job that has waited too long with none of its tasks begun
// begin with one, before all others and in order of arrival.
//
// Exception to the design (priority, then arrival): by priority and response ratio
// alone a class of low priority, or the largest arrays, may never have their turn
// while bursts of others go on (menu-sync waited up to 283 s on rough of
// kapana-orders-grown), and users count a job that has not begun within four
// minutes as failed.
func (p *pass) startOverdueJobs(jobs []Job, sorted []int) {
	var late []int
	for _, i := range sorted {
		if jobs[i].Overdue && !jobs[i].Gang {
			late = append(late, i)
		}
	}
	sort.Slice(late, func(x, y int) bool { return jobs[late[x]].Arrival < jobs[late[y]].Arrival })
	for _, i := range late {
		jobs[i].Waiting -= p.placeTasks(i, &jobs[i], 1, anywhere)
	}
}
