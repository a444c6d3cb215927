package placement

// Reservations: machines that are kept free for a gang that has to wait.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// neverEnds is how long a task stays that does not end by itself.
	neverEnds time.Duration = math.MaxInt64

	// maxReservationWait is for how long tasks on a machine may still run if it is to be reserved: longer
	// waits keep room idle that others could use meanwhile.
	maxReservationWait = 2 * time.Minute

	// maxOverdueReservationWait replaces it for gangs that are overdue, which might never begin otherwise:
	// any task that ends at all is waited for.
	maxOverdueReservationWait = neverEnds - 1
)

// reservation is a set of machines that will hold a whole gang.
type reservation struct {
	machines []int         // positions
	wait     time.Duration // until all of them have room
}

// compare compares two reservations, the better one first: the sooner, then the smaller.
func (r reservation) compare(other reservation) int {
	return cmp.Or(cmp.Compare(r.wait, other.wait), len(r.machines)-len(other.machines))
}

// reserveMachines closes machines to all that comes behind a gang in this pass: those that have room for it
// soonest, as tasks end, in the zone that has room for all of it first, and of these as few as hold it.
//
// Exception 8 to the design (docs/placement.md): small tasks take all room as soon as it is there, and a
// gang needs all of its room at once, which the design names as its weak spot. Without reservations a gang
// waits behind arrays for as long as those come (trace gang-held).
func (p *pass) reserveMachines(gang *Job, zones []int) {
	var best reservation
	for _, zone := range zones {
		candidate := p.earliestReservation(gang, zone)
		if candidate.machines == nil {
			continue
		}
		if best.machines == nil || candidate.compare(best) < 0 {
			best = candidate
		}
	}
	for _, machineIndex := range best.machines {
		p.machines[machineIndex].AcceptsTasks = false
	}
}

// earliestReservation returns the machines of a zone, or of any, that will have room for a whole gang
// first; no machines if they will not in time.
func (p *pass) earliestReservation(gang *Job, zone int) reservation {
	maxWait := maxReservationWait
	if gang.Overdue {
		maxWait = maxOverdueReservationWait
	}
	slotsOn := map[int]int{} // number of slots in time, by machine
	slots := 0
	var wait time.Duration
	for _, slot := range p.futureSlotsFor(gang, zone) {
		enough := slots >= gang.Waiting && slot.wait > wait
		if enough || slot.wait > maxWait {
			break
		}
		if p.machines[slot.machine].AcceptsTasks {
			slotsOn[slot.machine]++
			slots++
			wait = slot.wait
		}
	}
	if slots < gang.Waiting {
		return reservation{}
	}
	return reservation{machines: fewestMachines(slotsOn, gang.Waiting), wait: wait}
}

// fewestMachines returns as few machines as have the slots for a number of tasks, those with most slots
// first and of equals the first in the list. There have to be enough slots.
func fewestMachines(slotsOn map[int]int, tasks int) []int {
	byMostSlots := func(a, b int) int { return cmp.Or(slotsOn[b]-slotsOn[a], a-b) }
	machines := slices.SortedFunc(maps.Keys(slotsOn), byMostSlots)
	slots, count := 0, 0
	for slots < tasks {
		slots += slotsOn[machines[count]]
		count++
	}
	return machines[:count]
}
