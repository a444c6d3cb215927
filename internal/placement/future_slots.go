package placement

// Future slots: the times at which machines will have room for a gang's tasks, as the tasks on them end.

import (
	"cmp"
	"slices"
	"time"
)

// futureSlots is room for tasks of one class on a machine, now or when other tasks have ended.
//
// Guards against controllers that end for memory: a machine has room for any number of tasks with tiny
// needs, so the tasks are counted and not listed one by one (docs/incidents/tiny-gangs.md).
type futureSlots struct {
	wait    time.Duration // time until the room is free; 0: free now or held by stopping tasks
	machine int           // position in the list of machines
	tasks   int           // number of tasks for which there is room
}

// futureSlotList holds the slots for tasks of one class, the soonest first. Some may be on machines that
// have been reserved since.
type futureSlotList struct {
	slots          []futureSlots
	machineChanges int // value of pass.machineChanges when the slots were computed
}

// futureSlotsFor returns the slots for a gang's tasks in a zone, or in all zones for AnyZone, the
// soonest first. Slots are computed for each waiting gang in each pass. To save time, gangs of the same
// class share the list as long as no machine changes.
func (p *pass) futureSlotsFor(gang *Job, zone int) []futureSlots {
	class, hasClass := gang.gangClass(zone)
	if list, known := p.futureSlots[class]; hasClass && known && list.machineChanges == p.machineChanges {
		return list.slots
	}
	var slots []futureSlots
	for machineIndex := range p.machines {
		if p.feasibleOnceFree(gang, machineIndex, zone) {
			slots = p.appendFutureSlots(slots, gang.Need, machineIndex)
		}
	}
	slices.SortStableFunc(slots, func(a, b futureSlots) int { return cmp.Compare(a.wait, b.wait) })
	if hasClass {
		p.futureSlots[class] = futureSlotList{slots, p.machineChanges}
	}
	return slots
}

// feasibleOnceFree reports whether a machine will be feasible for a gang's tasks once it has room for
// them.
func (p *pass) feasibleOnceFree(gang *Job, machineIndex, zone int) bool {
	machine := &p.machines[machineIndex]
	return machine.AcceptsTasks &&
		gang.Allows(machine) &&
		!gang.avoids(machineIndex) &&
		p.passesFilter(gang, machineIndex, machineFilter{zone: zone})
}

// appendFutureSlots appends the slots on a machine for tasks with the given need, the soonest first.
func (p *pass) appendFutureSlots(slots []futureSlots, need Amounts, machineIndex int) []futureSlots {
	free := p.machines[machineIndex].Free
	counted := free.FittingCount(need)
	slots = appendIfAny(slots, futureSlots{machine: machineIndex, tasks: counted})
	for _, end := range p.taskEndsOn(machineIndex) {
		if end.wait == neverEnds {
			break
		}
		free = free.Add(end.need, 1)
		fitting := free.FittingCount(need)
		slots = appendIfAny(slots, futureSlots{wait: end.wait, machine: machineIndex, tasks: fitting - counted})
		counted = max(counted, fitting)
	}
	return slots
}

func appendIfAny(slots []futureSlots, next futureSlots) []futureSlots {
	if next.tasks > 0 {
		slots = append(slots, next)
	}
	return slots
}

// taskEnd is the expected end of a task on a machine.
type taskEnd struct {
	wait time.Duration // time until the end; neverEnds: does not end by itself
	need Amounts       // resources that become free
}

// taskEndsOn returns the expected ends of the tasks on a machine, the soonest first.
func (p *pass) taskEndsOn(machineIndex int) []taskEnd {
	if p.taskEnds[machineIndex] == nil {
		tasks := p.machines[machineIndex].Tasks
		ends := make([]taskEnd, len(tasks))
		for taskIndex := range tasks {
			task := &tasks[taskIndex]
			ends[taskIndex] = taskEnd{task.timeLeft(p.now), task.Need}
		}
		slices.SortStableFunc(ends, func(a, b taskEnd) int { return cmp.Compare(a.wait, b.wait) })
		p.taskEnds[machineIndex] = ends
	}
	return p.taskEnds[machineIndex]
}

// overrunDivisor sets the minimum time left that is expected of a task: a quarter of its run time so far.
// Guards against reservations of machines that do not become free: a task that has overrun its expected
// end would be expected to end at once.
const overrunDivisor = 4

// timeLeft returns the time for which a task is expected to stay on its machine: 0 if it was told to
// stop, and neverEnds if it does not end by itself.
func (t *Task) timeLeft(now time.Time) time.Duration {
	if t.Stopping {
		return 0
	}
	if t.EndsAt.IsZero() {
		return neverEnds
	}
	overrun := now.Sub(t.StartedAt) / overrunDivisor
	return max(t.EndsAt.Sub(now), overrun)
}
