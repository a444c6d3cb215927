package placement

// Victims: which tasks on one machine are stopped for a job, and what that costs.

import "slices"

// preemptionClaim is what decides which tasks give way on a machine, as long as the team's limit plays no
// part. Tasks with the same claim share their preemption options.
type preemptionClaim struct {
	need                    Amounts
	priority                int
	urgent                  bool
	mayPreemptOpportunistic bool
}

// preemptionOption is what making room for one task on one machine takes.
type preemptionOption struct {
	state       optionState
	victims     []int   // positions among the machine's tasks
	lostSeconds float64 // run time that the victims lose, that of their gangs' other members included
}

// optionState is how much is known of a preemption option.
type optionState uint8

const (
	optionUnknown    optionState = iota // not worked out, or the machine's tasks have changed since
	optionImpossible                    // no tasks that give way free enough
	optionPossible
)

// preemptionOptionsFor returns the options for a task of the job by machine, as far as they are known from
// tasks with the same claim earlier in this pass.
func (p *pass) preemptionOptionsFor(job *Job, excess Amounts) []preemptionOption {
	if !excess.isZero() {
		return make([]preemptionOption, len(p.machines)) // they depend on the team and what it uses now
	}
	claim := preemptionClaim{need: job.Need, priority: job.Priority, urgent: job.Urgent, mayPreemptOpportunistic: job.MayPreemptOpportunistic}
	if p.preemptionOptions[claim] == nil {
		p.preemptionOptions[claim] = make([]preemptionOption, len(p.machines))
	}
	return p.preemptionOptions[claim]
}

// chooseVictims picks tasks on a machine that give way to the job, in the order of compareVictims, until a
// task of the job fits and its team is no longer over its limit.
func (p *pass) chooseVictims(machine *Machine, job *Job, excess Amounts) preemptionOption {
	option := preemptionOption{state: optionImpossible}
	free := machine.Free
	for _, taskIndex := range p.preemptibleTasks(machine, job, excess) {
		if enoughFreed(free, job.Need, excess) {
			break
		}
		victim := &machine.Tasks[taskIndex]
		option.victims = append(option.victims, taskIndex)
		if !victim.Stopping {
			option.lostSeconds += p.now.Sub(victim.StartedAt).Seconds() * float64(1+victim.MembersElsewhere)
		}
		free = free.Add(victim.Need, 1)
		excess = excess.Add(victim.Need, -1)
	}
	if enoughFreed(free, job.Need, excess) {
		option.state = optionPossible
	}
	return option
}

// enoughFreed reports whether a task fits into what is free and its team is within its limit.
func enoughFreed(free, need, excess Amounts) bool {
	withinLimit := Amounts{}.Fits(excess)
	return withinLimit && free.Fits(need)
}

// preemptibleTasks returns the positions of a machine's tasks that give way to the job, the first to be
// stopped first: of all teams, or of the job's own where its limit is what stands in the way.
func (p *pass) preemptibleTasks(machine *Machine, job *Job, excess Amounts) []int {
	var preemptible []int
	ownOnly := !excess.isZero()
	for taskIndex := range machine.Tasks {
		task := &machine.Tasks[taskIndex]
		if task.Team < 0 || task.Need.isZero() || ownOnly && task.Team != job.Team {
			continue
		}
		if p.isPreemptible(task, job) {
			preemptible = append(preemptible, taskIndex)
		}
	}
	slices.SortFunc(preemptible, func(x, y int) int { return compareVictims(&machine.Tasks[x], &machine.Tasks[y]) })
	return preemptible
}

// isPreemptible reports whether a task has to give way to the job: to an urgent job a task of lower priority,
// and to work within its team's guarantee that may displace others, the tasks of opportunistic teams.
//
// Exception 6 to the design (docs/placement.md): without displacement, long tasks of teams without a
// guarantee keep what others were promised (docs/incidents/inc-bc39.md).
func (p *pass) isPreemptible(task *Task, job *Job) bool {
	if job.Urgent && task.Priority < job.Priority {
		return true
	}
	return job.MayPreemptOpportunistic && p.teams[task.Team].Opportunistic
}

// compareVictims compares two tasks, the one that is stopped first before the other: those that stop
// already, as they lose no more, then the lowest priority, then the youngest, which loses least.
func compareVictims(a, b *Task) int {
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
}
