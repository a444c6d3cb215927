package placement

import "slices"

// savepoint is what a pass was like when a try began: all that tries change, and of machines
// just those that this one does.
type savepoint struct {
	machines                 map[int]savedMachine
	teams                    []Team
	tasksInZone              []int
	assignments, preemptions int
	machineChanges           int
}

type savedMachine struct {
	machine   Machine
	ownsTasks bool
	image     Image
}

// beginTrial begins a try that can be rolled back, with a gang.
func (p *pass) beginTrial(j *Job) {
	p.savepoint = &savepoint{machines: map[int]savedMachine{}, teams: slices.Clone(p.teams), tasksInZone: slices.Clone(j.TasksInZone),
		assignments: len(p.plan.Assignments), preemptions: len(p.plan.Preemptions), machineChanges: p.machineChanges}
}

// beforeChange has to be called before a machine is changed for j.
func (p *pass) beforeChange(j *Job, m int) {
	p.machineChanges++
	if p.savepoint == nil {
		return
	}
	if _, done := p.savepoint.machines[m]; done {
		return
	}
	was := savedMachine{machine: p.machines[m], ownsTasks: p.ownsTasks[m]}
	if j.Image != nil {
		was.image = j.Image[m]
	}
	p.savepoint.machines[m] = was
	p.ownsTasks[m] = false // its tasks are copied before they change
}

// rollBack brings back the pass, and j, to where the try began.
func (p *pass) rollBack(j *Job) {
	for m, was := range p.savepoint.machines {
		if p.ownsTasks[m] {
			p.forgetTasksOn(m)
		}
		p.machines[m], p.ownsTasks[m] = was.machine, was.ownsTasks
		if j.Image != nil {
			j.Image[m] = was.image
		}
	}
	copy(p.teams, p.savepoint.teams)
	copy(j.TasksInZone, p.savepoint.tasksInZone)
	p.machineChanges = p.savepoint.machineChanges
	p.plan.Assignments, p.plan.Preemptions = p.plan.Assignments[:p.savepoint.assignments], p.plan.Preemptions[:p.savepoint.preemptions]
	p.savepoint = nil
}
