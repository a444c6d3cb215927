package placement

import "cmp"

// placeGang places all waiting tasks of a job in this pass or none. Where all must
// be in one zone, it is the one in which the last of them has its image soonest, and of
// equals the one with the lowest indices; they begin when the last one can.
func (p *pass) placeGang(i int, j *Job) {
	zones := []int{-1}
	if j.OneZone {
		zones = zones[:0]
		for z := range j.TasksInZone {
			zones = append(zones, z)
		}
	}
	if j.Reservation {
		p.reserveMachines(j, zones)
		return
	}
	if p.inBestZone(j, zones, func(zone int) gangTrial { return p.tryPlaceGang(i, j, zone) }) {
		return
	}
	p.plan.Unplaced[i] = j.Waiting
	if !p.teams[j.Team].fits(j.Need, j.Waiting) {
		return
	}
	// Preemption is outside the design, as for services. Without it a gang of high priority
	// waited behind arrays of lower priority until its gaps came, which thin spread makes late
	// (rush-forecast waited for 17 s and more where 3 s is the aim). What is free counts as
	// room that costs nothing.
	if j.Urgent && p.inBestZone(j, zones, func(zone int) gangTrial { return p.tryPreemptForGang(i, j, zone) }) {
		return
	}
	p.reserveMachines(j, zones)
}

// gangTrial is what trying a gang in one zone comes to.
type gangTrial struct {
	complete       bool
	worstImageRank int     // of the machine that has its image last
	cost           float64 // of equal ranks the lower is better
}

func (t gangTrial) compare(other gangTrial) int {
	return cmp.Or(cmp.Compare(t.worstImageRank, other.worstImageRank), cmp.Compare(t.cost, other.cost))
}

// inBestZone tries a gang in each zone and leaves it where that is best, or nowhere if no
// zone takes all of it.
func (p *pass) inBestZone(j *Job, zones []int, try func(zone int) gangTrial) bool {
	best, least := -1, gangTrial{}
	for k, zone := range zones {
		p.beginTrial(j)
		t := try(zone)
		p.rollBack(j)
		if t.complete && (best < 0 || t.compare(least) < 0) {
			best, least = k, t
		}
	}
	if best >= 0 {
		try(zones[best])
	}
	return best >= 0
}

// tryPlaceGang places as much of a gang as fits in a zone, or anywhere if it is negative.
func (p *pass) tryPlaceGang(i int, j *Job, zone int) (t gangTrial) {
	k, plain := j.gangEquivalenceClass(zone)
	if least, known := p.gangNoRoom[k]; plain && known && j.Waiting >= least {
		return t
	}
	n := 0
	for n < j.Waiting && p.teams[j.Team].room(j.Need) {
		m := p.bestMachine(j, zone)
		if m < 0 {
			break
		}
		t.worstImageRank = max(t.worstImageRank, p.imageRank(j, m))
		t.cost += p.machines[m].Load
		p.assign(i, j, m)
		n++
	}
	t.complete = n == j.Waiting
	if plain && !t.complete && p.teams[j.Team].room(j.Need) {
		p.gangNoRoom[k] = j.Waiting // room only shrinks within a pass
	}
	return t
}

// gangPreemptionClass is what decides for how many tasks of a gang others can be stopped in a zone.
type gangPreemptionClass struct {
	equivalenceClass
	priority    int
	mayDisplace bool
}

// tryPreemptForGang makes room for as much of a gang as it can in a zone, its team's limit leaving
// room for all of it.
func (p *pass) tryPreemptForGang(i int, j *Job, zone int) gangTrial {
	k, plain := j.gangEquivalenceClass(zone)
	key := gangPreemptionClass{k, j.Priority, j.MayDisplace}
	if least, known := p.gangNoPreemption[key]; plain && known && j.Waiting >= least {
		return gangTrial{}
	}
	made, lost := p.preempt(i, j, j.Waiting, machineFilter{zone: zone})
	if plain && made < j.Waiting {
		p.gangNoPreemption[key] = j.Waiting // what may be stopped only shrinks within a pass
	}
	return gangTrial{complete: made == j.Waiting, cost: lost}
}
