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
	if !p.teamOf(gang).hasRoomFor(gang.Need, gang.Waiting) {
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

// gangTrial is what trying a gang in one zone comes to.
type gangTrial struct {
	complete  bool      // there is room for all tasks
	slowest   imageRank // of the machine that would have the image last: the tasks begin when the last one can
	totalCost float64   // of equal ranks the lower is better: load indices, or run time lost
}

func (t gangTrial) compare(other gangTrial) int {
	return cmp.Or(cmp.Compare(t.slowest, other.slowest), cmp.Compare(t.totalCost, other.totalCost))
}

// inBestZone tries a gang in each zone and then places it, or makes room for it, in the zone where that is
// best, the first of equals. It reports whether there is a zone that takes all of it; if not, the pass is
// as it was.
func (p *pass) inBestZone(gang *Job, zones []int, try func(gang *Job, zone int) gangTrial) bool {
	bestZone, best := AnyZone, gangTrial{}
	for _, zone := range zones {
		p.beginTrial(gang)
		trial := try(gang, zone)
		p.rollBack(gang)
		if trial.complete && (!best.complete || trial.compare(best) < 0) {
			bestZone, best = zone, trial
		}
	}
	if best.complete {
		try(gang, bestZone)
	}
	return best.complete
}

// tryPlaceGang places as many of a gang's tasks as fit in a zone, or in any.
func (p *pass) tryPlaceGang(gang *Job, zone int) gangTrial {
	class, hasClass := gang.gangClass(zone)
	if least, known := p.gangNoRoom[class]; hasClass && known && gang.Waiting >= least {
		return gangTrial{}
	}
	var trial gangTrial
	team := p.teamOf(gang)
	placed := 0
	for placed < gang.Waiting && team.hasRoomFor(gang.Need, 1) {
		machineIndex := p.bestMachine(gang, machineFilter{zone: zone})
		if machineIndex == noMachine {
			break
		}
		trial.slowest = max(trial.slowest, p.imageRankOn(gang, machineIndex))
		trial.totalCost += p.machines[machineIndex].Load
		p.assign(gang, machineIndex)
		placed++
	}
	trial.complete = placed == gang.Waiting
	if hasClass && !trial.complete && team.hasRoomFor(gang.Need, 1) {
		p.gangNoRoom[class] = gang.Waiting // room only shrinks within a pass
	}
	return trial
}

// tryPreemptForGang makes room for as many of a gang's tasks as it can in a zone, or in any. The team's
// limit has to have room for all of them. What is free counts as room that costs nothing.
func (p *pass) tryPreemptForGang(gang *Job, zone int) gangTrial {
	class, hasClass := gang.gangClass(zone)
	preemptionClass := gangPreemptionClass{class, gang.Priority, gang.MayPreemptOpportunistic}
	if least, known := p.gangNoPreemption[preemptionClass]; hasClass && known && gang.Waiting >= least {
		return gangTrial{}
	}
	result := p.preempt(gang, gang.Waiting, machineFilter{zone: zone})
	complete := result.tasks == gang.Waiting
	if hasClass && !complete {
		p.gangNoPreemption[preemptionClass] = gang.Waiting // what may be stopped only shrinks within a pass
	}
	return gangTrial{complete: complete, totalCost: result.lostSeconds}
}
