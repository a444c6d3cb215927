package placement

import (
	"cmp"
	"slices"
)

// claim is what decides which tasks give way on a machine.
type claim struct {
	need             Amounts
	priority         int
	urgent, displace bool
}

// victim is what making room for one task on a machine takes.
type victim struct {
	stops []int
	cost  float64
	ok    bool
	known bool
}

// preempt makes room for up to n tasks of j, each by stopping tasks that have to give
// way to it on the one machine where that loses the least run time, among those that
// have the image or will have it soonest: the fetch would cost a service its start
// aim, and more than the tasks lose. Where the
// team is at its limit the tasks stopped are its own. It returns for how many tasks
// room is made, and the run time that this loses.
func (p *planner) preempt(i int, j *Job, n int, on choice) (made int, lost float64) {
	team := &p.teams[j.Team]
	var open []int // machines on which tasks may be stopped
	for k := range p.machines {
		if p.machines[k].Open && !j.avoids(k) && (on.zone < 0 || p.machines[k].Zone == on.zone) && !(on.warm && p.rank(j, k) > 0) && !(j.Urgent && p.promised(k)) {
			open = append(open, k)
		}
	}
	for ; made < n; made++ {
		over := team.over(j.Need)
		costs := p.costs(j, over)
		cheaper := func(a, b int) int {
			rank, cost := cmp.Compare(p.rank(j, a), p.rank(j, b)), cmp.Compare(costs[a].cost, costs[b].cost)
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
				*v = p.victimsOn(m, j, over)
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
		lost += costs[best].cost
		p.touch(j, best)
		m := &p.machines[best]
		if !p.own[best] {
			m.Tasks, p.own[best] = slices.Clone(m.Tasks), true
		}
		var freed Amounts
		for _, v := range costs[best].stops {
			t := &m.Tasks[v]
			if !t.Stopping {
				t.Stopping = true
				p.out.Preemptions = append(p.out.Preemptions, Preemption{best, t.ID, i})
			}
			freed = freed.Add(t.Need, 1)
			p.teams[t.Team].stopped = p.teams[t.Team].stopped.Add(t.Need, 1)
			t.Need = Amounts{} // promised to j
		}
		p.forget(best)
		// What stops is still there and counts until it is gone: nobody gets any of
		// it in this pass, not even what is more than j needs.
		for r := range m.Free {
			m.Free[r] = min(m.Free[r], m.Free[r]+freed[r]-j.Need[r])
		}
		team.use(j.Need, 1)
		j.TasksInZone[m.Zone]++
	}
	return made, lost
}

// promised tells whether others that come before would take what becomes free on a machine.
//
// It guards against tasks stopped in vain, again and again: a gang that was beyond its team's
// guarantee stopped 52 tasks in a second, and arrays of its priority, within their teams',
// took all of the room before the last of them was gone (inc-f015).
func (p *planner) promised(machine int) bool {
	for _, j := range p.starved {
		if j.Allows(&p.machines[machine]) && !j.avoids(machine) {
			return true
		}
	}
	return false
}

// forget drops what was worked out from the tasks on a machine.
func (p *planner) forget(machine int) {
	p.ends[machine] = nil
	for _, costs := range p.victims {
		costs[machine].known = false
	}
}

// costs returns what making room for a task would cost on each machine, as far as
// it is known from tasks with the same claim earlier in this pass.
func (p *planner) costs(j *Job, over Amounts) []victim {
	if over != (Amounts{}) {
		return make([]victim, len(p.machines)) // depends on the team and its use
	}
	k := claim{j.Need, j.Priority, j.Urgent, j.MayDisplace}
	if p.victims[k] == nil {
		p.victims[k] = make([]victim, len(p.machines))
	}
	return p.victims[k]
}

// yields tells whether a task has to give way to j: to an urgent job one of lower
// priority, and to work within its team's guarantee the work of teams that have none.
//
// It guards against teams without a guarantee that keep what others were promised: on inc-bc39 long tasks
// of a team without a guarantee held most machines for 400 s, and of audit-backfill, of the same
// priority and within its teams' guarantees, 0.54 was done by its deadline in place of
// 0.93 (PROTOCOL-tulipshelf.md, "Preemption").
func (p *planner) yields(t *Task, j *Job) bool {
	return j.Urgent && t.Priority < j.Priority || j.MayDisplace && p.teams[t.Team].Opportunistic
}

// victimsOn picks tasks that give way to j, those already stopping and the youngest
// first, until j's task fits and its team is over its limit no more. The cost is the run
// time lost.
func (p *planner) victimsOn(m *Machine, j *Job, over Amounts) victim {
	v := victim{known: true}
	free := m.Free
	limited := over != (Amounts{})
	var order []int
	for i, t := range m.Tasks {
		if t.Team >= 0 && t.Need != (Amounts{}) && (!limited || t.Team == j.Team) && p.yields(&m.Tasks[i], j) {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(x, y int) int {
		a, b := &m.Tasks[x], &m.Tasks[y]
		switch {
		case a.Stopping != b.Stopping && a.Stopping:
			return -1
		case a.Stopping != b.Stopping:
			return 1
		case a.Priority != b.Priority:
			return a.Priority - b.Priority
		case !a.StartedAt.Equal(b.StartedAt):
			return b.StartedAt.Compare(a.StartedAt)
		}
		return a.ID - b.ID
	})
	enough := func() bool { return free.Fits(j.Need) && (Amounts{}).Fits(over) }
	for _, i := range order {
		if enough() {
			break
		}
		t := &m.Tasks[i]
		free = free.Add(t.Need, 1)
		over = over.Add(t.Need, -1)
		over[Memory] = 0 // not limited
		v.stops = append(v.stops, i)
		if !t.Stopping {
			v.cost += p.now.Sub(t.StartedAt).Seconds() * float64(1+t.MembersElsewhere)
		}
	}
	v.ok = enough()
	return v
}
