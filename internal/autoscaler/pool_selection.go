package autoscaler

// Pool selection: from which pool, and in which zone, machines are rented for a demand.

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxMachinesPerRequest is the most machines of a pool that one request to the cloud may ask for.
	maxMachinesPerRequest = 50

	// noPool is returned in place of a pool's position where there is none.
	noPool = -1

	// countTolerance and priceTolerance absorb the rounding of quotients: without them a machine of 0.3
	// would seem to hold two tasks of 0.1, and one of two equal prices would seem the lower.
	countTolerance = 1e-9
	priceTolerance = 1e-12
)

// cheapestPool returns the pool with the lowest price for one task, of equals the one in the zone with the
// fewest machines, so that they are spread over zones; noPool if nothing can be rented.
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

// pricePerTask returns the price of a machine of the pool, shared by as many tasks as it holds. Tasks that
// need nothing share no price.
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

// bestZone returns the zone that has room for most of the tasks now, of equals the first, and where machines
// can be rented for the rest; negative if there is none.
func (p *packing) bestZone(demand *Demand) int {
	rentable := p.rentableZones(demand)
	fittingTasks := p.fittingTasksByZone(demand)
	for zone := range rentable {
		fittingTasks[zone] += 0 // a zone without machines is looked at as well
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

// rentableZones returns the zones in which machines for the tasks can be rented.
func (p *packing) rentableZones(demand *Demand) map[int]bool {
	zones := map[int]bool{}
	for poolIndex := range p.pools {
		if pool := &p.pools[poolIndex]; pool.rentableFor(demand) {
			zones[pool.Zone] = true
		}
	}
	return zones
}

// fittingTasksByZone returns for how many tasks the machines of each zone have room.
func (p *packing) fittingTasksByZone(demand *Demand) map[int]int {
	fittingTasks := map[int]int{}
	for _, machineIndex := range p.fillOrder {
		if machine := &p.machines[machineIndex]; demand.allowsMachine(machine) {
			fittingTasks[machine.Zone] += p.free[machineIndex].FittingCount(demand.Need)
		}
	}
	return fittingTasks
}
