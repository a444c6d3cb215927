package autoscaler

// Bin packing: demand is packed first-fit into the machines, and machines to rent are added as needed.
// Only the number of machines matters here: the placement pass later chooses machines for the tasks by
// load index, independently of this packing.

import (
	"slices"
	"sort"
	"time"

	"tulipshelf/internal/placement"
)

// packing is the state of one call of Plan: the demand packed so far. Machines and pools are identified
// by their indices.
type packing struct {
	machines []Machine
	pools    []Pool

	fillOrder []int  // usable machines, in the order in which they are filled
	room      []room // by machine: room left
	used      []bool // by machine: needed by the demand

	planned        []plannedMachine
	plannedByPool  []int       // by pool: number of planned machines
	plannedPools   []int       // pools with planned machines, in the order of the demand, most important first
	machinesByZone map[int]int // by zone: number of machines, planned ones included
}

// plannedMachine is a machine to rent.
type plannedMachine struct {
	pool int
	room
}

// room is what a machine has left for tasks.
type room struct {
	free  placement.Amounts // capacity
	slots int               // number of tasks that its heartbeats can list
}

func (r *room) fits(need placement.Amounts) bool { return r.slots > 0 && r.free.Fits(need) }

func (r *room) fittingCount(need placement.Amounts) int {
	return min(r.slots, r.free.FittingCount(need))
}

func (r *room) take(need placement.Amounts) {
	r.free = r.free.Add(need, -1)
	r.slots--
}

func newPacking(machines []Machine, pools []Pool) *packing {
	p := &packing{
		machines:       machines,
		pools:          pools,
		fillOrder:      make([]int, 0, len(machines)),
		room:           make([]room, len(machines)),
		used:           make([]bool, len(machines)),
		plannedByPool:  make([]int, len(pools)),
		machinesByZone: map[int]int{},
	}
	for machineIndex := range machines {
		machine := &machines[machineIndex]
		p.room[machineIndex] = room{machine.Free, placement.MaxListedTasks - machine.ListedTasks}
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

// filledBefore reports whether the first machine is filled before the second. Machines in use come
// first, so that empty ones stay empty and can be returned. Among equals, spot machines come first, as
// they are cheaper.
func filledBefore(a, b *Machine) bool {
	if a.Empty != b.Empty {
		return !a.Empty
	}
	return a.Spot && !b.Spot
}

// place packs as many tasks of the demand as fit on the machines, or on machines that can be rented. The
// others are left out.
func (p *packing) place(demand Demand) (coverage Coverage) {
	if demand.OneZone && demand.Zone < 0 {
		demand.Zone = p.bestZone(&demand)
	}
	demand.ZoneRoom = slices.Clone(demand.ZoneRoom)
	// Free capacity and room in zones only shrink: a machine that cannot take one task cannot take the
	// next, so each search resumes where the last one ended.
	next, nextPlanned := 0, 0
	for range demand.Tasks {
		next = p.nextMachine(&demand, next)
		if next < len(p.fillOrder) {
			machineIndex := p.fillOrder[next]
			p.room[machineIndex].take(demand.Need)
			p.used[machineIndex] = true
			demand.takeZoneRoom(p.machines[machineIndex].Zone)
			coverage.Existing++
			continue
		}
		nextPlanned = p.nextPlanned(&demand, nextPlanned)
		if nextPlanned == len(p.planned) && !p.planRental(&demand) {
			break
		}
		planned := &p.planned[nextPlanned]
		planned.take(demand.Need)
		demand.takeZoneRoom(p.pools[planned.pool].Zone)
		coverage.Planned++
	}
	coverage.Unmet = demand.Tasks - coverage.Existing - coverage.Planned
	return coverage
}

// nextMachine returns the first position in fillOrder, at or after from, of a machine with room for a
// task; len(p.fillOrder) if there is none.
func (p *packing) nextMachine(demand *Demand, from int) int {
	for position := from; position < len(p.fillOrder); position++ {
		machineIndex := p.fillOrder[position]
		if p.room[machineIndex].fits(demand.Need) && demand.allowsMachine(&p.machines[machineIndex]) {
			return position
		}
	}
	return len(p.fillOrder)
}

// nextPlanned returns the first index in p.planned, at or after from, of a machine with room for a task;
// len(p.planned) if there is none.
func (p *packing) nextPlanned(demand *Demand, from int) int {
	for position := from; position < len(p.planned); position++ {
		planned := &p.planned[position]
		if planned.fits(demand.Need) && demand.allowsPool(&p.pools[planned.pool]) {
			return position
		}
	}
	return len(p.planned)
}

// planRental adds a machine of the cheapest pool for a task and reports whether there is such a pool.
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
	p.planned = append(p.planned, plannedMachine{poolIndex, room{pool.Capacity, placement.MaxListedTasks}})
	return true
}

// scaleOut returns one rent request per pool with planned machines.
func (p *packing) scaleOut() []RentRequest {
	var requests []RentRequest
	for _, poolIndex := range p.plannedPools {
		requests = append(requests, RentRequest{Pool: poolIndex, Count: p.plannedByPool[poolIndex]})
	}
	return requests
}

// scaleIn returns the machines that the demand does not need and that have been empty for at least
// idleReturn.
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
