package placement

// Gangs: jobs whose waiting tasks are placed together or not at all.

import "cmp"

// placeGang places all waiting tasks of a gang in this pass, or none. If they do not fit, an urgent gang
// preempts other tasks. If it is not urgent, or preemption does not free enough, machines are reserved
// for it. A gang that would exceed its team's limit neither preempts nor reserves. For an anticipated
// gang machines are only reserved.
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
	// Preemption is outside the design, as it is for services. Guards against late gangs of high
	// priority: they wait behind arrays of lower priority until enough machines have room at the same
	// time, which takes long because tasks are spread thinly over the machines.
	if gang.Urgent && p.inBestZone(gang, zones, p.tryPreemptForGang) {
		return
	}
	if p.reclaimForGang(gang, zones) {
		return
	}
	p.reserveMachines(gang, zones)
}

// zonesToTry returns the zones in which a gang is tried one after the other; AnyZone alone if its tasks
// may be in different zones.
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

// zoneOutcome is the outcome of placing a gang in one zone, or of preempting for it there.
type zoneOutcome struct {
	complete  bool      // there is room for all waiting tasks
	slowest   imageRank // worst rank of the chosen machines: the gang starts only when its last task can
	totalCost float64   // sum of load indices, or run time lost in seconds; compared at equal ranks
}

// compare returns a negative number if the outcome is better than the other: by slowest, then by
// totalCost. Both must be complete, as compare does not distinguish incomplete outcomes.
func (o zoneOutcome) compare(other zoneOutcome) int {
	return cmp.Or(cmp.Compare(o.slowest, other.slowest), cmp.Compare(o.totalCost, other.totalCost))
}

// inBestZone calls try for a gang in each zone and rolls the changes back. It then calls try again in
// the zone with the best complete outcome, the first of equals, and keeps the changes. It returns false,
// with the plan and the snapshot unchanged, if no zone has room for the whole gang.
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

// tryPlaceGang places as many of a gang's tasks as fit in a zone, or in all zones for AnyZone.
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
		outcome.totalCost += p.machines[machineIndex].LoadIndex
		p.assign(gang, machineIndex)
		placed++
	}
	outcome.complete = placed == gang.Waiting
	if hasClass && !outcome.complete && team.limitAllows(gang.Need, 1) {
		p.unplaceableGangSize[class] = gang.Waiting // free resources only decrease within a pass
	}
	return outcome
}

// tryPreemptForGang preempts for as many of a gang's tasks as possible in a zone, or in all zones for
// AnyZone. The team's limit has to allow all of them. Free resources are used as well, at no cost.
func (p *pass) tryPreemptForGang(gang *Job, zone int) zoneOutcome {
	class, hasClass := gang.gangClass(zone)
	preemptionClass := gangPreemptionClass{class, gang.Priority, gang.MayPreemptOpportunistic, gang.borrower()}
	if minSize, known := p.unpreemptableGangSize[preemptionClass]; hasClass && known && gang.Waiting >= minSize {
		return zoneOutcome{}
	}
	result := p.preempt(gang, gang.Waiting, machineFilter{zone: zone})
	complete := result.tasks == gang.Waiting
	if hasClass && !complete {
		p.unpreemptableGangSize[preemptionClass] = gang.Waiting // free and preemptible resources only decrease
	}
	return zoneOutcome{complete: complete, totalCost: result.lostSeconds}
}
