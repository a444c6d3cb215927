package autoscaler

// Bin packing: demand is fitted into machines first-fit, with rented machines added as they are needed. The
// placement pass will put the tasks elsewhere, by load index; what counts here is how many machines it
// takes.

import (
	"sort"
	"time"

	"tulipshelf/internal/placement"
)

// packing is demand being fitted into machines. Machines and pools are named by their positions.
type packing struct {
	machines []Machine
	pools    []Pool

	fillOrder []int               // usable machines in the order in which they are filled
	free      []placement.Amounts // by machine
	used      []bool              // by machine: the demand needs it

	planned        []plannedMachine
	plannedByPool  []int       // number of machines
	plannedPools   []int       // pools of which machines are rented, for the most important demand first
	machinesByZone map[int]int // number of machines, those to be rented included
}

// plannedMachine is a machine that is to be rented.
type plannedMachine struct {
	pool int
	free placement.Amounts
}

func newPacking(machines []Machine, pools []Pool) *packing {
	p := &packing{
		machines:       machines,
		pools:          pools,
		fillOrder:      make([]int, 0, len(machines)),
		free:           make([]placement.Amounts, len(machines)),
		used:           make([]bool, len(machines)),
		plannedByPool:  make([]int, len(pools)),
		machinesByZone: map[int]int{},
	}
	for machineIndex := range machines {
		machine := &machines[machineIndex]
		p.free[machineIndex] = machine.Free
		p.machinesByZone[machine.Zone]++
		if machine.Usable {
			p.fillOrder = append(p.fillOrder, machineIndex)
		}
	}
	sort.SliceStable(p.fillOrder, func(x, y int) bool {
		return filledBefore(&machines[p.fillOrder[x]], &machines[p.fillOrder[y]])
	})
	return p
}

// filledBefore reports whether a is filled before b: machines in use first, as what stays empty is what can
// be returned, and of equals spot machines, which are cheaper.
func filledBefore(a, b *Machine) bool {
	if a.Empty != b.Empty {
		return !a.Empty
	}
	return a.Spot && !b.Spot
}

// place fits in as many tasks of the demand as there is room for, or as machines can be rented for.
func (p *packing) place(demand Demand) {
	if demand.OneZone && demand.Zone < 0 {
		demand.Zone = p.bestZone(&demand)
	}
	// Room only shrinks, so a machine that has none for one task has none for the next.
	next, nextPlanned := 0, 0
	for range demand.Tasks {
		next = p.nextMachine(&demand, next)
		if next < len(p.fillOrder) {
			machineIndex := p.fillOrder[next]
			p.free[machineIndex] = p.free[machineIndex].Add(demand.Need, -1)
			p.used[machineIndex] = true
			continue
		}
		nextPlanned = p.nextPlanned(&demand, nextPlanned)
		if nextPlanned == len(p.planned) && !p.planRental(&demand) {
			return
		}
		planned := &p.planned[nextPlanned]
		planned.free = planned.free.Add(demand.Need, -1)
	}
}

// nextMachine returns the first position in the fill order, at or after the one given, of a machine with
// room for a task; len(p.fillOrder) if there is none.
func (p *packing) nextMachine(demand *Demand, from int) int {
	for position := from; position < len(p.fillOrder); position++ {
		machineIndex := p.fillOrder[position]
		if p.free[machineIndex].Fits(demand.Need) && demand.allowsMachine(&p.machines[machineIndex]) {
			return position
		}
	}
	return len(p.fillOrder)
}

// nextPlanned returns the position, at or after the one given, of a rented machine with room for a task;
// len(p.rented) if there is none.
func (p *packing) nextPlanned(demand *Demand, from int) int {
	for position := from; position < len(p.planned); position++ {
		planned := &p.planned[position]
		if planned.free.Fits(demand.Need) && demand.allowsPool(&p.pools[planned.pool]) {
			return position
		}
	}
	return len(p.planned)
}

// planRental rents the cheapest machine for a task and reports whether one can be had.
func (p *packing) planRental(demand *Demand) bool {
	poolIndex := p.cheapestPool(demand)
	if poolIndex == noPool {
		return false
	}
	if p.plannedByPool[poolIndex] == 0 {
		p.plannedPools = append(p.plannedPools, poolIndex)
	}
	pool := &p.pools[poolIndex]
	p.plannedByPool[poolIndex]++
	p.machinesByZone[pool.Zone]++
	p.planned = append(p.planned, plannedMachine{pool: poolIndex, free: pool.Capacity})
	return true
}

// scaleOut returns what is to be rented.
func (p *packing) scaleOut() []RentRequest {
	var requests []RentRequest
	for _, poolIndex := range p.plannedPools {
		requests = append(requests, RentRequest{Pool: poolIndex, Count: p.plannedByPool[poolIndex]})
	}
	return requests
}

// scaleIn returns the machines that the demand does not use and that have been empty for long enough.
func (p *packing) scaleIn(idleReturn time.Duration) []int {
	var unneeded []int
	for machineIndex := range p.machines {
		machine := &p.machines[machineIndex]
		if machine.Empty && !p.used[machineIndex] && machine.Idle >= idleReturn {
			unneeded = append(unneeded, machineIndex)
		}
	}
	return unneeded
}
