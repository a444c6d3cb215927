package placement

// Victims: the tasks on one machine that are stopped for a job, and the run time that they lose.

import "slices"

// preemptionClaim holds the properties of a waiting task that determine the victims for it on a machine.
// It is used only if the team's limit allows the task: otherwise the victims also depend on the team.
// Waiting tasks with the same claim share their preemption options.
type preemptionClaim struct {
	need                    Amounts
	priority                int
	urgent                  bool
	mayPreemptOpportunistic bool
	borrower                int // as returned by Job.borrower
}

// preemptionOption is the choice of victims for one task on one machine.
type preemptionOption struct {
	state       optionState
	victims     []int   // positions among the machine's tasks
	lostSeconds float64 // run time lost by the victims and by the other members of their gangs
}

// optionState tells whether a preemption option was computed and whether it is possible.
type optionState uint8

const (
	optionUnknown    optionState = iota // not computed since the machine's tasks last changed
	optionImpossible                    // all preemptible tasks together free too little
	optionPossible
)

// preemptionOptionsFor returns the options for a task of the job, by position of the machine. Those that
// were computed earlier in this pass for the same claim are reused; the others have the state
// optionUnknown.
func (p *pass) preemptionOptionsFor(job *Job, excess Amounts) []preemptionOption {
	if p.reclaim.search != nil {
		return p.reclaim.search.begin(len(p.machines))
	}
	if !excess.isZero() {
		return make([]preemptionOption, len(p.machines)) // not shared: they depend on teams and their usage
	}
	claim := preemptionClaim{
		need: job.Need, priority: job.Priority, urgent: job.Urgent,
		mayPreemptOpportunistic: job.MayPreemptOpportunistic, borrower: job.borrower(),
	}
	if p.preemptionOptions[claim] == nil {
		p.preemptionOptions[claim] = make([]preemptionOption, len(p.machines))
	}
	return p.preemptionOptions[claim]
}

// chooseVictims chooses preemptible tasks on a machine, in the order of compareVictims, until a task of
// the job fits and its team is within its limit.
func (p *pass) chooseVictims(machine *Machine, job *Job, excess Amounts) preemptionOption {
	option := preemptionOption{state: optionImpossible}
	free := machine.Free
	enoughFreed := func() bool { // whether a task of the job fits without the victims so far
		slots := machine.taskSlots() + len(option.victims)
		withinLimit := Amounts{}.Fits(excess)
		return slots > 0 && withinLimit && free.Fits(job.Need)
	}
	var returned returnedAmounts
	for _, taskIndex := range p.preemptibleTasks(machine, job, excess) {
		if enoughFreed() {
			break
		}
		victim := &machine.Tasks[taskIndex]
		if !p.isPreemptible(victim, job) && !p.mayReturn(victim, &returned) {
			continue
		}
		if !victim.Stopping && !machine.hasMemberOf(victim.Gang, option.victims) {
			option.lostSeconds += p.now.Sub(victim.StartedAt).Seconds() * float64(1+victim.MembersElsewhere)
		}
		option.victims = append(option.victims, taskIndex)
		free = free.Add(victim.Need, 1)
		excess = excess.Add(victim.Need, -1)
	}
	if enoughFreed() {
		option.state = optionPossible
	}
	return option
}

// hasMemberOf reports whether one of the tasks at the given positions is a member of a gang, whose loss then
// includes that of all members. It is false for gang 0.
func (m *Machine) hasMemberOf(gang uint64, tasks []int) bool {
	return gang != 0 && slices.ContainsFunc(tasks, func(taskIndex int) bool { return m.Tasks[taskIndex].Gang == gang })
}

// preemptibleTasks returns the positions of the tasks on a machine that the job may preempt, in the
// order in which they are stopped. If the team would exceed its limit, these are only the team's own
// tasks.
func (p *pass) preemptibleTasks(machine *Machine, job *Job, excess Amounts) []int {
	var preemptible []int
	ownOnly := !excess.isZero()
	for taskIndex := range machine.Tasks {
		task := &machine.Tasks[taskIndex]
		if task.Team < 0 || task.Need.isZero() || ownOnly && task.Team != job.Team {
			continue
		}
		if p.isPreemptible(task, job) || p.isBorrowed(task, job) {
			preemptible = append(preemptible, taskIndex)
		}
	}
	slices.SortFunc(preemptible, func(x, y int) int { return compareVictims(&machine.Tasks[x], &machine.Tasks[y]) })
	return preemptible
}

// isPreemptible reports whether the job may preempt a task. Urgent jobs may preempt tasks of lower
// priority. Jobs with MayPreemptOpportunistic may preempt tasks of opportunistic teams; the caller sets
// it for jobs that are within their team's guarantee and have waited long enough.
//
// Exception 6 to the design (docs/placement.md), preemption of opportunistic teams. Guards against
// breaches of guarantees: long tasks of teams without a guarantee keep resources that are guaranteed to
// other teams (docs/incidents/inc-bc39.md).
func (p *pass) isPreemptible(task *Task, job *Job) bool {
	if job.Urgent && task.Priority < job.Priority && !p.isGuaranteedReplica(task, job) {
		return true
	}
	return job.MayPreemptOpportunistic && p.teams[task.Team].Opportunistic
}

// compareVictims compares two tasks and returns a negative number if a is stopped before b. Tasks that
// were told to stop come first, as they lose nothing more; then the lowest priority; then the youngest,
// which lose least; then the lowest ID.
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
