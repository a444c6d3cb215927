package placement

// Rollback: a gang is tried in one zone after the other, and each trial is undone before the next.

import "slices"

// savepoint is what a pass was like when a trial began: all that trials change, and of the machines those
// that this one has changed.
type savepoint struct {
	machines       map[int]savedMachine // by position
	teams          []Team
	tasksInZone    []int
	assignments    int // number of them in the plan
	preemptions    int // number of them in the plan
	machineChanges int
}

// savedMachine is a machine before a trial changed it.
type savedMachine struct {
	machine   Machine
	ownsTasks bool
	image     ImageState // of the gang that is tried
}

// setSavepoint begins a trial of a gang; rollBack ends it. Trials do not nest.
func (p *pass) setSavepoint(gang *Job) {
	p.savepoint = &savepoint{
		machines:       map[int]savedMachine{},
		teams:          slices.Clone(p.teams),
		tasksInZone:    slices.Clone(gang.TasksInZone),
		assignments:    len(p.plan.Assignments),
		preemptions:    len(p.plan.Preemptions),
		machineChanges: p.machineChanges,
	}
}

// beforeChange has to be called before a machine is changed for a job, within a trial or not.
func (p *pass) beforeChange(job *Job, machineIndex int) {
	p.machineChanges++
	if p.savepoint == nil {
		return
	}
	if _, saved := p.savepoint.machines[machineIndex]; saved {
		return
	}
	before := savedMachine{machine: p.machines[machineIndex], ownsTasks: p.ownsTasks[machineIndex]}
	if job.Image != nil {
		before.image = job.Image[machineIndex]
	}
	p.savepoint.machines[machineIndex] = before
	p.ownsTasks[machineIndex] = false // the savepoint refers to the tasks: they are copied before the next write
}

// rollBack brings the pass and the gang back to where the trial began, and ends it.
func (p *pass) rollBack(gang *Job) {
	for machineIndex, before := range p.savepoint.machines {
		if p.ownsTasks[machineIndex] {
			p.invalidateTasksOn(machineIndex) // the trial has changed them
		}
		p.machines[machineIndex] = before.machine
		p.ownsTasks[machineIndex] = before.ownsTasks
		if gang.Image != nil {
			gang.Image[machineIndex] = before.image
		}
	}
	copy(p.teams, p.savepoint.teams)
	copy(gang.TasksInZone, p.savepoint.tasksInZone)
	p.plan.Assignments = p.plan.Assignments[:p.savepoint.assignments]
	p.plan.Preemptions = p.plan.Preemptions[:p.savepoint.preemptions]
	p.machineChanges = p.savepoint.machineChanges
	p.savepoint = nil
}
