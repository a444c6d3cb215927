package placement

import "slices"

// placeTasks places up to most tasks of a job, as far as the team and the machines have
// room, and returns how many. The index does not change within a pass, so the machine
// that is best for one task is best for the next until it is full: the machines
// are looked through once for a job, not once for a task.
func (p *pass) placeTasks(i int, j *Job, most int, on machineFilter) (n int) {
	k, plain := j.equivalenceClass()
	if plain && p.noRoom[k] || !p.teams[j.Team].room(j.Need) {
		return 0
	}
	fit := make([]int, 0, len(p.machines))
	for m := range p.machines {
		if p.feasible(j, m, on.zone) && (!on.imageReady || p.imageRank(j, m) == 0) {
			fit = append(fit, m)
		}
	}
	slices.SortFunc(fit, func(a, b int) int { return p.compareMachines(j, a, b) })
	for _, m := range fit {
		// Where the job's tasks are tied to each other by zone, some no longer fit.
		for p.feasible(j, m, on.zone) {
			if n == most || !p.teams[j.Team].room(j.Need) {
				return n
			}
			p.assign(i, j, m)
			n++
		}
	}
	if plain && on == anywhere {
		p.noRoom[k] = n < most // room only shrinks within a pass
	}
	return n
}

func (p *pass) assign(i int, j *Job, m int) {
	p.beforeChange(j, m)
	p.machines[m].Free = p.machines[m].Free.Add(j.Need, -1)
	p.teams[j.Team].book(j.Need, 1)
	j.TasksInZone[p.machines[m].Zone]++
	if j.Image != nil && j.Image[m] == Cold {
		j.Image[m], p.machines[m].Fetch = Coming, true
	}
	p.plan.Assignments = append(p.plan.Assignments, Assignment{i, m})
}
