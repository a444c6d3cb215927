package placement

import "slices"

// preemptionClaim is what decides which tasks give way on a machine.
type preemptionClaim struct {
	need                Amounts
	priority            int
	urgent, mayDisplace bool
}

// preemptionOption is what making room for one task on a machine takes.
type preemptionOption struct {
	victims     []int
	lostSeconds float64
	ok          bool
	known       bool
}

// preemptionOptionsFor returns what making room for a task would cost on each machine, as far as
// it is known from tasks with the same claim earlier in this pass.
func (p *pass) preemptionOptionsFor(j *Job, over Amounts) []preemptionOption {
	if over != (Amounts{}) {
		return make([]preemptionOption, len(p.machines)) // depends on the team and its use
	}
	k := preemptionClaim{j.Need, j.Priority, j.Urgent, j.MayDisplace}
	if p.preemptionOptions[k] == nil {
		p.preemptionOptions[k] = make([]preemptionOption, len(p.machines))
	}
	return p.preemptionOptions[k]
}

// forgetTasksOn drops what was worked out from the tasks on a machine.
func (p *pass) forgetTasksOn(machine int) {
	p.taskEnds[machine] = nil
	for _, costs := range p.preemptionOptions {
		costs[machine].known = false
	}
}

// mustYield tells whether a task has to give way to j: to an urgent job one of lower
// priority, and to work within its team's guarantee the work of teams that have none.
//
// It guards against teams without a guarantee that keep what others were promised: on inc-bc39 long tasks
// of a team without a guarantee held most machines for 400 s, and of audit-backfill, of the same
// priority and within its teams' guarantees, 0.54 was done by its deadline in place of
// 0.93 (PROTOCOL-tulipshelf.md, "Preemption").
func (p *pass) mustYield(t *Task, j *Job) bool {
	return j.Urgent && t.Priority < j.Priority || j.MayDisplace && p.teams[t.Team].Opportunistic
}

// chooseVictims picks tasks that give way to j, those already stopping and the youngest
// first, until j's task fits and its team is over its limit no more. The cost is the run
// time lost.
func (p *pass) chooseVictims(m *Machine, j *Job, over Amounts) preemptionOption {
	v := preemptionOption{known: true}
	free := m.Free
	limited := over != (Amounts{})
	var order []int
	for i, t := range m.Tasks {
		if t.Team >= 0 && t.Need != (Amounts{}) && (!limited || t.Team == j.Team) && p.mustYield(&m.Tasks[i], j) {
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
		v.victims = append(v.victims, i)
		if !t.Stopping {
			v.lostSeconds += p.now.Sub(t.StartedAt).Seconds() * float64(1+t.MembersElsewhere)
		}
	}
	v.ok = enough()
	return v
}
