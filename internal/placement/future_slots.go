package placement

// Future slots: when machines will have room for a gang's tasks, as the tasks on them end.

import (
	"cmp"
	"slices"
	"time"
)

// futureSlot is room for one task on a machine.
type futureSlot struct {
	wait    time.Duration // until the room is there
	machine int           // position
}

// futureSlotList is the slots for tasks of one class, the soonest first, also on machines that have been
// closed since.
type futureSlotList struct {
	slots          []futureSlot
	machineChanges int // the pass's count when they were worked out
}

// futureSlotsFor returns the slots for a gang's tasks in a zone, or in any, the soonest first. Gangs of the
// same class share the list as long as no machine changes, as each gang that waits looks for room in each
// pass.
func (p *pass) futureSlotsFor(gang *Job, zone int) []futureSlot {
	class, hasClass := gang.gangClass(zone)
	if list, known := p.futureSlots[class]; hasClass && known && list.machineChanges == p.machineChanges {
		return list.slots
	}
	var slots []futureSlot
	for machineIndex := range p.machines {
		if p.feasibleOnceFree(gang, machineIndex, zone) {
			slots = p.appendFutureSlots(slots, gang.Need, machineIndex)
		}
	}
	slices.SortStableFunc(slots, func(a, b futureSlot) int { return cmp.Compare(a.wait, b.wait) })
	if hasClass {
		p.futureSlots[class] = futureSlotList{slots, p.machineChanges}
	}
	return slots
}

// feasibleOnceFree reports whether a machine is feasible for a gang's tasks once it has room for them.
func (p *pass) feasibleOnceFree(gang *Job, machineIndex, zone int) bool {
	machine := &p.machines[machineIndex]
	return machine.AcceptsTasks &&
		gang.Allows(machine) &&
		!gang.avoids(machineIndex) &&
		p.passesFilter(gang, machineIndex, machineFilter{zone: zone})
}

// appendFutureSlots appends the slots for tasks of one size on a machine, the soonest first.
func (p *pass) appendFutureSlots(slots []futureSlot, need Amounts, machineIndex int) []futureSlot {
	free := p.machines[machineIndex].Free
	counted := free.FittingCount(need)
	slots = appendSlots(slots, counted, futureSlot{machine: machineIndex})
	for _, end := range p.taskEndsOn(machineIndex) {
		if end.wait == neverEnds {
			break
		}
		free = free.Add(end.need, 1)
		fitting := free.FittingCount(need)
		slots = appendSlots(slots, fitting-counted, futureSlot{wait: end.wait, machine: machineIndex})
		counted = max(counted, fitting)
	}
	return slots
}

func appendSlots(slots []futureSlot, count int, slot futureSlot) []futureSlot {
	for range count {
		slots = append(slots, slot)
	}
	return slots
}

// taskEnd is the end of a task on a machine.
type taskEnd struct {
	wait time.Duration // until then; neverEnds: it does not end
	need Amounts       // becomes free
}

// taskEndsOn returns when the tasks on a machine end, in that order.
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

// overrunDivisor gives how long a task is expected to run on once it has overrun: a quarter of its run time
// so far. Expecting it to end at once would reserve machines that do not become free.
const overrunDivisor = 4

// timeLeft returns for how long a task is expected to stay.
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
