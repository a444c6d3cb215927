package placement

// Gangs: jobs of which all tasks start together or none does.

import "cmp"

// placeGang places all waiting tasks of a gang in this pass or none. A gang that finds no room makes some
// if it may preempt, and otherwise has machines reserved.
func (p *pass) placeGang(gang *Job) {
	zones := gang.zonesToTry()
	if gang.Anticipated {
		p.reserveMachines(gang, zones)
		return
	}
	if p.inBestZone(gang, zones, p.tryPlaceGang) {
		return
	}
	p.plan.Unplaced[gang.position] = gang.Waiting
	if !p.teamOf(gang).limitAllows(gang.Need, gang.Waiting) {
		return
	}
	// Preemption is outside the design, as it is for services: without it a gang of high priority waits
	// behind arrays of lower priority until enough machines have room at once, which thin spread makes late.
	if gang.Urgent && p.inBestZone(gang, zones, p.tryPreemptForGang) {
		return
	}
	p.reserveMachines(gang, zones)
}

// zonesToTry returns the zones in which the job is tried one after the other.
func (j *Job) zonesToTry() []int {
	if !j.OneZone {
		return []int{AnyZone}
	}
	zones := make([]int, len(j.TasksInZone))
	for zone := range zones {
		zones[zone] = zone
	}
	return zones
}

// zoneOutcome is what trying a gang in one zone comes to.
type zoneOutcome struct {
	complete  bool      // there is room for all tasks
	slowest   imageRank // of the machine that would have the image last: the tasks begin when the last one can
	totalCost float64   // of equal ranks the lower is better: load indices, or run time lost
}

func (o zoneOutcome) compare(other zoneOutcome) int {
	return cmp.Or(cmp.Compare(o.slowest, other.slowest), cmp.Compare(o.totalCost, other.totalCost))
}

// inBestZone tries a gang in each zone and then places it, or makes room for it, in the zone where that is
// best, the first of equals. It reports whether there is a zone that takes all of it; if not, the pass is
// as it was.
func (p *pass) inBestZone(gang *Job, zones []int, try func(gang *Job, zone int) zoneOutcome) bool {
	bestZone, best := AnyZone, zoneOutcome{}
	for _, zone := range zones {
		p.setSavepoint(gang)
		outcome := try(gang, zone)
		p.rollBack(gang)
		if outcome.complete && (!best.complete || outcome.compare(best) < 0) {
			bestZone, best = zone, outcome
		}
	}
	if best.complete {
		try(gang, bestZone)
	}
	return best.complete
}

// tryPlaceGang places as many of a gang's tasks as fit in a zone, or in any.
func (p *pass) tryPlaceGang(gang *Job, zone int) zoneOutcome {
	class, hasClass := gang.gangClass(zone)
	if minSize, known := p.unplaceableGangSize[class]; hasClass && known && gang.Waiting >= minSize {
		return zoneOutcome{}
	}
	var outcome zoneOutcome
	team := p.teamOf(gang)
	placed := 0
	for placed < gang.Waiting && team.limitAllows(gang.Need, 1) {
		machineIndex := p.bestMachine(gang, machineFilter{zone: zone})
		if machineIndex == noMachine {
			break
		}
		outcome.slowest = max(outcome.slowest, p.imageRankOn(gang, machineIndex))
		outcome.totalCost += p.machines[machineIndex].Load
		p.assign(gang, machineIndex)
		placed++
	}
	outcome.complete = placed == gang.Waiting
	if hasClass && !outcome.complete && team.limitAllows(gang.Need, 1) {
		p.unplaceableGangSize[class] = gang.Waiting // room only shrinks within a pass
	}
	return outcome
}

// tryPreemptForGang makes room for as many of a gang's tasks as it can in a zone, or in any. The team's
// limit has to have room for all of them. What is free counts as room that costs nothing.
func (p *pass) tryPreemptForGang(gang *Job, zone int) zoneOutcome {
	class, hasClass := gang.gangClass(zone)
	preemptionClass := gangPreemptionClass{class, gang.Priority, gang.MayPreemptOpportunistic}
	if minSize, known := p.unpreemptableGangSize[preemptionClass]; hasClass && known && gang.Waiting >= minSize {
		return zoneOutcome{}
	}
	result := p.preempt(gang, gang.Waiting, machineFilter{zone: zone})
	complete := result.tasks == gang.Waiting
	if hasClass && !complete {
		p.unpreemptableGangSize[preemptionClass] = gang.Waiting // what may be stopped only shrinks within a pass
	}
	return zoneOutcome{complete: complete, totalCost: result.lostSeconds}
}
