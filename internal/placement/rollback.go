package placement

import "slices"

// savepoint is what a pass was like when a try began: all that tries change, and of machines
// just those that this one does.
type savepoint struct {
	machines       map[int]savedMachine
	teams          []Team
	inZone         []int
	assigns, stops int
	changes        int
}

type savedMachine struct {
	machine Machine
	own     bool
	image   Image
}

// begin begins a try that can be rolled back, with a gang.
func (p *planner) begin(j *Job) {
	p.saved = &savepoint{machines: map[int]savedMachine{}, teams: slices.Clone(p.teams), inZone: slices.Clone(j.TasksInZone),
		assigns: len(p.out.Assignments), stops: len(p.out.Preemptions), changes: p.changes}
}

// touch has to be called before a machine is changed for j.
func (p *planner) touch(j *Job, m int) {
	p.changes++
	if p.saved == nil {
		return
	}
	if _, done := p.saved.machines[m]; done {
		return
	}
	was := savedMachine{machine: p.machines[m], own: p.own[m]}
	if j.Image != nil {
		was.image = j.Image[m]
	}
	p.saved.machines[m] = was
	p.own[m] = false // its tasks are copied before they change
}

// rollBack brings back the pass, and j, to where the try began.
func (p *planner) rollBack(j *Job) {
	for m, was := range p.saved.machines {
		if p.own[m] {
			p.forget(m)
		}
		p.machines[m], p.own[m] = was.machine, was.own
		if j.Image != nil {
			j.Image[m] = was.image
		}
	}
	copy(p.teams, p.saved.teams)
	copy(j.TasksInZone, p.saved.inZone)
	p.changes = p.saved.changes
	p.out.Assignments, p.out.Preemptions = p.out.Assignments[:p.saved.assigns], p.out.Preemptions[:p.saved.stops]
	p.saved = nil
}
