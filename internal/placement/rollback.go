package placement

// Rollback: a gang is tried in one zone after the other, and the changes in each are undone before the
// next.

import "slices"

// savepoint is the state that rollBack restores: all that trying a gang may change. Of the machines it
// holds those that have been changed since the savepoint was set.
type savepoint struct {
	machines       map[int]savedMachine // state before the first change, by position
	teams          []Team
	tasksInZone    []int
	assignments    int // number of them in the plan
	preemptions    int // number of them in the plan
	machineChanges int // value of pass.machineChanges
}

// savedMachine is the state of a machine when the savepoint was set.
type savedMachine struct {
	machine   Machine
	ownsTasks bool
	image     ImageState // state of the image of the gang that is tried
}

// setSavepoint saves the state of the pass and of a gang until rollBack restores it. There is one
// savepoint at a time.
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

// beforeChange has to be called before a task is placed on a machine for a job, or victims on it are
// stopped. It counts the change and, if a savepoint is set, saves the machine. The job then has to be
// the gang of the savepoint. Reservations are not counted: they are made only while no savepoint is set,
// and earliestReservation skips the reserved machines.
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
	p.ownsTasks[machineIndex] = false // stopVictims copies the tasks, which the savepoint shares
}

// rollBack restores the pass and the gang to the savepoint and clears it.
func (p *pass) rollBack(gang *Job) {
	for machineIndex, before := range p.savepoint.machines {
		if p.ownsTasks[machineIndex] {
			p.invalidateTasksOn(machineIndex) // they have changed since the savepoint was set
		} else {
			p.invalidateOptionsOn(machineIndex)
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
