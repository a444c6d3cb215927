package autoscaler

// Pool selection: the choice of pool and zone for machines that are rented for a demand.

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxMachinesPerRequest is the most machines of a pool that one request to the cloud may ask for.
	maxMachinesPerRequest = 50

	// noPool is returned instead of a pool's index if no pool qualifies.
	noPool = -1

	// countTolerance and priceTolerance absorb the rounding of quotients. Without them a machine with
	// 0.3 of a resource would count as holding only two tasks of 0.1, and one of two equal prices would
	// count as lower.
	countTolerance = 1e-9
	priceTolerance = 1e-12
)

// cheapestPool returns the pool with the lowest price per task, or noPool if nothing can be rented. Of
// pools with equal prices it returns the one in the zone with the fewest machines, to spread machines
// over zones. Pools that already have maxMachinesPerRequest planned machines are skipped.
func (p *packing) cheapestPool(demand *Demand) int {
	best, bestPrice := noPool, math.Inf(1)
	for poolIndex := range p.pools {
		pool := &p.pools[poolIndex]
		if p.plannedByPool[poolIndex] >= maxMachinesPerRequest || !pool.rentableFor(demand) {
			continue
		}
		price := pool.pricePerTask(demand)
		lower := price < bestPrice-priceTolerance
		equal := !lower && price < bestPrice+priceTolerance
		if lower || equal && p.machinesByZone[pool.Zone] < p.machinesByZone[p.pools[best].Zone] {
			best, bestPrice = poolIndex, price
		}
	}
	return best
}

// pricePerTask returns the hourly price of a machine of the pool divided by the number of whole tasks
// that it holds. For tasks that need no resources it returns the price of the machine.
func (p *Pool) pricePerTask(demand *Demand) float64 {
	tasks := math.Inf(1)
	for resource, need := range demand.Need {
		if need > 0 {
			tasks = math.Min(tasks, math.Floor(p.Capacity[resource]/need+countTolerance))
		}
	}
	if math.IsInf(tasks, 1) {
		return p.Price
	}
	return p.Price / tasks
}

// bestZone returns the zone whose machines have room for the most tasks of the demand; of equal zones,
// the one with the lowest index. Room for more tasks than demanded does not count. A zone qualifies if
// it has room for all tasks or if machines for the rest can be rented there. The result is negative if
// no zone qualifies; place then packs the tasks into machines of any zone.
func (p *packing) bestZone(demand *Demand) int {
	rentable := p.rentableZones(demand)
	fittingTasks := p.fittingTasksByZone(demand)
	for zone := range rentable {
		fittingTasks[zone] += 0 // includes zones without usable machines
	}
	best := -1
	for _, zone := range slices.Sorted(maps.Keys(fittingTasks)) {
		if !rentable[zone] && fittingTasks[zone] < demand.Tasks {
			continue
		}
		if best < 0 || min(fittingTasks[zone], demand.Tasks) > min(fittingTasks[best], demand.Tasks) {
			best = zone
		}
	}
	return best
}

// rentableZones returns the zones in which machines for the demand's tasks can be rented.
func (p *packing) rentableZones(demand *Demand) map[int]bool {
	zones := map[int]bool{}
	for poolIndex := range p.pools {
		if pool := &p.pools[poolIndex]; pool.rentableFor(demand) {
			zones[pool.Zone] = true
		}
	}
	return zones
}

// fittingTasksByZone returns, by zone, how many tasks like those of the demand fit on usable machines.
// Zones in which they may not run on any usable machine are left out.
func (p *packing) fittingTasksByZone(demand *Demand) map[int]int {
	fittingTasks := map[int]int{}
	for _, machineIndex := range p.fillOrder {
		if machine := &p.machines[machineIndex]; demand.allowsMachine(machine) {
			fittingTasks[machine.Zone] += p.room[machineIndex].fittingCount(demand.Need)
		}
	}
	return fittingTasks
}
