package placement

// Reservations: machines that are kept free for gangs that have to wait.

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// neverEnds is the time left of a task that does not end by itself.
	neverEnds time.Duration = math.MaxInt64

	// maxReservationWait is the maximum time until a reserved machine has room for the gang. Longer
	// waits would keep resources idle that other jobs could use meanwhile.
	maxReservationWait = 2 * time.Minute

	// maxOverdueReservationWait replaces maxReservationWait for overdue gangs, which might never start
	// otherwise. It is long enough to wait for every task that ends by itself.
	maxOverdueReservationWait = neverEnds - 1
)

// reservation is a set of machines that will have room for a whole gang.
type reservation struct {
	machines []int         // positions in the list of machines
	wait     time.Duration // time until all of them have room
}

// compare returns a negative number if the reservation is better than the other: if its wait is shorter
// or, with equal waits, if it has fewer machines.
func (r reservation) compare(other reservation) int {
	return cmp.Or(cmp.Compare(r.wait, other.wait), len(r.machines)-len(other.machines))
}

// reserveMachines keeps machines free for a gang: nothing more is placed on them in this pass. It
// chooses the zone that is the first to have room for the whole gang as tasks end. In this zone it
// chooses the machines that have room soonest, and of these as few as hold the gang.
//
// Exception 8 to the design (docs/placement.md). Guards against gangs that wait behind arrays for as
// long as arrays arrive: small tasks take free resources at once, and a gang needs all of its resources
// at the same time. The design names this as its weak spot (trace gang-reservation).
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

// earliestReservation returns the reservation for a gang with the shortest wait in a zone, or in all
// zones for AnyZone. It has no machines if the gang would have to wait longer than the maximum.
func (p *pass) earliestReservation(gang *Job, zone int) reservation {
	maxWait := maxReservationWait
	if gang.Overdue {
		maxWait = maxOverdueReservationWait
	}
	slotsOn := map[int]int{}     // number of slots within the wait, by position of the machine
	slotsInZone := map[int]int{} // their sum by zone
	slots := 0
	var wait time.Duration
	for _, slot := range p.futureSlotsFor(gang, zone) {
		enough := slots >= gang.Waiting && slot.wait > wait
		if enough || slot.wait > maxWait {
			break
		}
		machine := &p.machines[slot.machine]
		tasks := min(slot.tasks, gang.zoneRoom(machine.Zone)-slotsInZone[machine.Zone])
		if machine.AcceptsTasks && tasks > 0 {
			slotsOn[slot.machine] += tasks
			slotsInZone[machine.Zone] += tasks
			slots += tasks
			wait = slot.wait
		}
	}
	if slots < gang.Waiting {
		return reservation{}
	}
	return reservation{machines: fewestMachines(slotsOn, gang.Waiting), wait: wait}
}

// fewestMachines returns the smallest set of machines with slots for a number of tasks: those with most
// slots and, of equals, those that come first in the list. There have to be enough slots.
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
