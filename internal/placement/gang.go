package placement

import "cmp"

// gang places all waiting tasks of a job in this pass or none. Where all must
// be in one zone, it is the one in which the last of them has its image soonest, and of
// equals the one with the lowest indices; they begin when the last one can.
func (p *planner) gang(i int, j *Job) {
	zones := []int{-1}
	if j.OneZone {
		zones = zones[:0]
		for z := range j.TasksInZone {
			zones = append(zones, z)
		}
	}
	if j.Reservation {
		p.hold(j, zones)
		return
	}
	if p.inBestZone(j, zones, func(zone int) trial { return p.tryGang(i, j, zone) }) {
		return
	}
	p.out.Unplaced[i] = j.Waiting
	if !p.teams[j.Team].fits(j.Need, j.Waiting) {
		return
	}
	// Preemption is outside the design, as for services. Without it a gang of high priority
	// waited behind arrays of lower priority until its gaps came, which thin spread makes late
	// (rush-forecast waited for 17 s and more where 3 s is the aim). What is free counts as
	// room that costs nothing.
	if j.Urgent && p.inBestZone(j, zones, func(zone int) trial { return p.tryPreempt(i, j, zone) }) {
		return
	}
	p.hold(j, zones)
}

// trial is what trying a gang in one zone comes to.
type trial struct {
	whole bool
	rank  int     // of the machine that has its image last
	cost  float64 // of equal ranks the lower is better
}

func (t trial) compare(other trial) int {
	return cmp.Or(cmp.Compare(t.rank, other.rank), cmp.Compare(t.cost, other.cost))
}

// inBestZone tries a gang in each zone and leaves it where that is best, or nowhere if no
// zone takes all of it.
func (p *planner) inBestZone(j *Job, zones []int, try func(zone int) trial) bool {
	best, least := -1, trial{}
	for k, zone := range zones {
		p.begin(j)
		t := try(zone)
		p.rollBack(j)
		if t.whole && (best < 0 || t.compare(least) < 0) {
			best, least = k, t
		}
	}
	if best >= 0 {
		try(zones[best])
	}
	return best >= 0
}

// tryGang places as much of a gang as fits in a zone, or anywhere if it is negative.
func (p *planner) tryGang(i int, j *Job, zone int) (t trial) {
	k, plain := j.gangKind(zone)
	if least, known := p.short[k]; plain && known && j.Waiting >= least {
		return t
	}
	n := 0
	for n < j.Waiting && p.teams[j.Team].room(j.Need) {
		m := p.best(j, zone)
		if m < 0 {
			break
		}
		t.rank = max(t.rank, p.rank(j, m))
		t.cost += p.machines[m].Load
		p.assign(i, j, m)
		n++
	}
	t.whole = n == j.Waiting
	if plain && !t.whole && p.teams[j.Team].room(j.Need) {
		p.short[k] = j.Waiting // room only shrinks within a pass
	}
	return t
}

// stopKind is what decides for how many tasks of a gang others can be stopped in a zone.
type stopKind struct {
	kind
	priority int
	displace bool
}

// tryPreempt makes room for as much of a gang as it can in a zone, its team's limit leaving
// room for all of it.
func (p *planner) tryPreempt(i int, j *Job, zone int) trial {
	k, plain := j.gangKind(zone)
	key := stopKind{k, j.Priority, j.MayDisplace}
	if least, known := p.unstoppable[key]; plain && known && j.Waiting >= least {
		return trial{}
	}
	made, lost := p.preempt(i, j, j.Waiting, choice{zone: zone})
	if plain && made < j.Waiting {
		p.unstoppable[key] = j.Waiting // what may be stopped only shrinks within a pass
	}
	return trial{whole: made == j.Waiting, cost: lost}
}
