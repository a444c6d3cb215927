package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// maxReservationWait is how late the tasks may end whose room is waited for.
const maxReservationWait = 2 * time.Minute

// reserveMachines closes machines to all that comes behind a gang in this pass: those that have room
// for it soonest, as tasks end, in the zone that has room for all of it first, and of these
// as few as hold it whole. For one that is overdue tasks that end late count too, or it
// might never begin; for others they would keep room idle.
//
// Exception to the design (priority, then arrival, each to the lowest index): small tasks
// take every gap as soon as it is there, and a gang waits for all its gaps at once, which
// the design names as its weak spot. Forced by gangs of 12 that waited behind arrays for
// as long as those came (trace gang-held).
func (p *pass) reserveMachines(j *Job, zones []int) {
	var best []int
	var soonest time.Duration
	for _, z := range zones {
		machines, at := p.earliestRoom(j, z)
		if machines != nil && (best == nil || cmp.Or(cmp.Compare(at, soonest), len(machines)-len(best)) < 0) {
			best, soonest = machines, at
		}
	}
	for _, m := range best {
		p.machines[m].Open = false
	}
}

// earliestRoom returns the machines of a zone, or of any if it is negative, that will have room
// for a whole gang first, and in what time; nil if they will not.
func (p *pass) earliestRoom(j *Job, zone int) (machines []int, at time.Duration) {
	late := maxReservationWait
	if j.Overdue {
		late = math.MaxInt64 - 1
	}
	count := map[int]int{} // of gaps in time, by machine
	found := 0
	for _, g := range p.futureSlotsFor(j, zone) {
		if g.wait > late || found >= j.Waiting && g.wait > at {
			break
		}
		if p.machines[g.machine].Open {
			count[g.machine]++
			at = g.wait
			found++
		}
	}
	if found < j.Waiting {
		return nil, 0
	}
	rooms := slices.SortedFunc(maps.Keys(count), func(a, b int) int { return cmp.Or(count[b]-count[a], a-b) })
	for n := 0; n < j.Waiting; {
		m := rooms[len(machines)]
		n += count[m]
		machines = append(machines, m)
	}
	return machines, at
}

// futureSlot is room for one task on a machine, from some time on.
type futureSlot struct {
	wait    time.Duration
	machine int
}

// futureSlotList is the gaps for tasks of one kind in one zone, the soonest first, also on machines
// that have been closed since.
type futureSlotList struct {
	slots          []futureSlot
	machineChanges int // of machines when they were worked out
}

// futureSlotsFor returns the gaps for a gang's tasks in a zone. What gangs of the same kind have in
// common is worked out once as long as no machine changes: each gang that waits looks for room
// in each pass.
func (p *pass) futureSlotsFor(j *Job, zone int) []futureSlot {
	k, plain := j.gangEquivalenceClass(zone)
	if list, known := p.futureSlots[k]; plain && known && list.machineChanges == p.machineChanges {
		return list.slots
	}
	var gaps []futureSlot
	for i := range p.machines {
		m := &p.machines[i]
		if !m.Open || !j.Allows(m) || j.avoids(i) || zone >= 0 && m.Zone != zone {
			continue
		}
		free, n := m.Free, 0
		grow := func(at time.Duration) {
			for ; n < free.Times(j.Need); n++ {
				gaps = append(gaps, futureSlot{at, i})
			}
		}
		grow(0)
		for _, e := range p.taskEndsOn(i) {
			if e.left == math.MaxInt64 {
				break
			}
			free = free.Add(e.need, 1)
			grow(e.left)
		}
	}
	slices.SortStableFunc(gaps, func(a, b futureSlot) int { return cmp.Compare(a.wait, b.wait) })
	if plain {
		p.futureSlots[k] = futureSlotList{gaps, p.machineChanges}
	}
	return gaps
}

// taskEnd is the end of a task on a machine.
type taskEnd struct {
	left time.Duration
	need Amounts
}

// taskEndsOn returns when the tasks on a machine end, in that order.
func (p *pass) taskEndsOn(machine int) []taskEnd {
	if p.taskEnds[machine] == nil {
		tasks := p.machines[machine].Tasks
		out := make([]taskEnd, len(tasks))
		for i := range tasks {
			out[i] = taskEnd{tasks[i].timeLeft(p.now), tasks[i].Need}
		}
		slices.SortStableFunc(out, func(a, b taskEnd) int { return cmp.Compare(a.left, b.left) })
		p.taskEnds[machine] = out
	}
	return p.taskEnds[machine]
}

// timeLeft is for how long a task stays, about. One that has run for longer than was expected
// is expected to run for a quarter longer.
func (t *Task) timeLeft(now time.Time) time.Duration {
	switch {
	case t.Stopping:
		return 0
	case t.EndsAt.IsZero():
		return math.MaxInt64
	}
	return max(t.EndsAt.Sub(now), now.Sub(t.StartedAt)/4)
}
