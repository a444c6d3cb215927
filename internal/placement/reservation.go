package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// holdFor is how late the tasks may end whose room is waited for.
const holdFor = 2 * time.Minute

// hold closes machines to all that comes behind a gang in this pass: those that have room
// for it soonest, as tasks end, in the zone that has room for all of it first, and of these
// as few as hold it whole. For one that is overdue tasks that end late count too, or it
// might never begin; for others they would keep room idle.
//
// Exception to the design (priority, then arrival, each to the lowest index): small tasks
// take every gap as soon as it is there, and a gang waits for all its gaps at once, which
// the design names as its weak spot. Forced by gangs of 12 that waited behind arrays for
// as long as those came (trace gang-held).
func (p *planner) hold(j *Job, zones []int) {
	var best []int
	var soonest time.Duration
	for _, z := range zones {
		machines, at := p.roomFor(j, z)
		if machines != nil && (best == nil || cmp.Or(cmp.Compare(at, soonest), len(machines)-len(best)) < 0) {
			best, soonest = machines, at
		}
	}
	for _, m := range best {
		p.machines[m].Open = false
	}
}

// roomFor returns the machines of a zone, or of any if it is negative, that will have room
// for a whole gang first, and in what time; nil if they will not.
func (p *planner) roomFor(j *Job, zone int) (machines []int, at time.Duration) {
	late := holdFor
	if j.Overdue {
		late = math.MaxInt64 - 1
	}
	count := map[int]int{} // of gaps in time, by machine
	found := 0
	for _, g := range p.gapsFor(j, zone) {
		if g.at > late || found >= j.Waiting && g.at > at {
			break
		}
		if p.machines[g.machine].Open {
			count[g.machine]++
			at = g.at
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

// gap is room for one task on a machine, from some time on.
type gap struct {
	at      time.Duration
	machine int
}

// gapList is the gaps for tasks of one kind in one zone, the soonest first, also on machines
// that have been closed since.
type gapList struct {
	gaps    []gap
	changes int // of machines when they were worked out
}

// gapsFor returns the gaps for a gang's tasks in a zone. What gangs of the same kind have in
// common is worked out once as long as no machine changes: each gang that waits looks for room
// in each pass.
func (p *planner) gapsFor(j *Job, zone int) []gap {
	k, plain := j.gangKind(zone)
	if list, known := p.gaps[k]; plain && known && list.changes == p.changes {
		return list.gaps
	}
	var gaps []gap
	for i := range p.machines {
		m := &p.machines[i]
		if !m.Open || !j.Allows(m) || j.avoids(i) || zone >= 0 && m.Zone != zone {
			continue
		}
		free, n := m.Free, 0
		grow := func(at time.Duration) {
			for ; n < free.Times(j.Need); n++ {
				gaps = append(gaps, gap{at, i})
			}
		}
		grow(0)
		for _, e := range p.endings(i) {
			if e.left == math.MaxInt64 {
				break
			}
			free = free.Add(e.need, 1)
			grow(e.left)
		}
	}
	slices.SortStableFunc(gaps, func(a, b gap) int { return cmp.Compare(a.at, b.at) })
	if plain {
		p.gaps[k] = gapList{gaps, p.changes}
	}
	return gaps
}

// ending is the end of a task on a machine.
type ending struct {
	left time.Duration
	need Amounts
}

// endings returns when the tasks on a machine end, in that order.
func (p *planner) endings(machine int) []ending {
	if p.ends[machine] == nil {
		tasks := p.machines[machine].Tasks
		out := make([]ending, len(tasks))
		for i := range tasks {
			out[i] = ending{tasks[i].left(p.now), tasks[i].Need}
		}
		slices.SortStableFunc(out, func(a, b ending) int { return cmp.Compare(a.left, b.left) })
		p.ends[machine] = out
	}
	return p.ends[machine]
}

// left is for how long a task stays, about. One that has run for longer than was expected
// is expected to run for a quarter longer.
func (t *Task) left(now time.Time) time.Duration {
	switch {
	case t.Stopping:
		return 0
	case t.EndsAt.IsZero():
		return math.MaxInt64
	}
	return max(t.EndsAt.Sub(now), now.Sub(t.StartedAt)/4)
}
