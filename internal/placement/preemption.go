package placement

import (
	"cmp"
	"slices"
)

// preempt makes room for up to n tasks of j, each by stopping tasks that have to give
// way to it on the one machine where that loses the least run time, among those that
// have the image or will have it soonest: the fetch would cost a service its start
// aim, and more than the tasks lose. Where the
// team is at its limit the tasks stopped are its own. It returns for how many tasks
// room is made, and the run time that this loses.
func (p *pass) preempt(i int, j *Job, n int, on machineFilter) (made int, lost float64) {
	team := &p.teams[j.Team]
	var open []int // machines on which tasks may be stopped
	for k := range p.machines {
		if p.machines[k].Open && !j.avoids(k) && (on.zone < 0 || p.machines[k].Zone == on.zone) && !(on.imageReady && p.imageRank(j, k) > 0) && !(j.Urgent && p.contested(k)) {
			open = append(open, k)
		}
	}
	for ; made < n; made++ {
		over := team.excess(j.Need)
		costs := p.preemptionOptionsFor(j, over)
		cheaper := func(a, b int) int {
			rank, cost := cmp.Compare(p.imageRank(j, a), p.imageRank(j, b)), cmp.Compare(costs[a].lostSeconds, costs[b].lostSeconds)
			if j.Gang && !j.FetchTooSlow {
				return cmp.Or(cost, rank) // its last task decides, and room is free in part
			}
			return cmp.Or(rank, cost)
		}
		best := -1
		for _, k := range open {
			m := &p.machines[k]
			if !j.Allows(m) {
				continue
			}
			v := &costs[k]
			if !v.known {
				*v = p.chooseVictims(m, j, over)
			}
			if !v.ok {
				continue
			}
			if best < 0 || cheaper(k, best) < 0 {
				best = k
			}
		}
		if best < 0 {
			return made, lost
		}
		lost += costs[best].lostSeconds
		p.beforeChange(j, best)
		m := &p.machines[best]
		if !p.ownsTasks[best] {
			m.Tasks, p.ownsTasks[best] = slices.Clone(m.Tasks), true
		}
		var freed Amounts
		for _, v := range costs[best].victims {
			t := &m.Tasks[v]
			if !t.Stopping {
				t.Stopping = true
				p.plan.Preemptions = append(p.plan.Preemptions, Preemption{best, t.ID, i})
			}
			freed = freed.Add(t.Need, 1)
			p.teams[t.Team].stopped = p.teams[t.Team].stopped.Add(t.Need, 1)
			t.Need = Amounts{} // promised to j
		}
		p.forgetTasksOn(best)
		// What stops is still there and counts until it is gone: nobody gets any of
		// it in this pass, not even what is more than j needs.
		for r := range m.Free {
			m.Free[r] = min(m.Free[r], m.Free[r]+freed[r]-j.Need[r])
		}
		team.book(j.Need, 1)
		j.TasksInZone[m.Zone]++
	}
	return made, lost
}

// contested tells whether others that come before would take what becomes free on a machine.
//
// It guards against tasks stopped in vain, again and again: a gang that was beyond its team's
// guarantee stopped 52 tasks in a second, and arrays of its priority, within their teams',
// took all of the room before the last of them was gone (inc-f015).
func (p *pass) contested(machine int) bool {
	for _, j := range p.starvedJobs {
		if j.Allows(&p.machines[machine]) && !j.avoids(machine) {
			return true
		}
	}
	return false
}
