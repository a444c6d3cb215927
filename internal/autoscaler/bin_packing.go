package autoscaler

import (
	"sort"
	"time"

	"tulipshelf/internal/placement"
)

// packing is demand being fitted into machines, those to be rented included.
type packing struct {
	machines          []Machine
	pools             []Pool
	fillOrder         []int               // usable machines, by position, in the order in which they are filled
	free              []placement.Amounts // by machine
	used              []bool              // by machine
	rented            []rentedMachine
	rentedByPool      []int // machines rented so far, by pool
	poolsByImportance []int // pools of which machines are rented, the most important first
	machinesByZone    map[int]int
}

// rentedMachine is a machine that is to be rented.
type rentedMachine struct {
	pool int
	free placement.Amounts
}

func newPacking(machines []Machine, pools []Pool) *packing {
	p := &packing{machines: machines, pools: pools, fillOrder: make([]int, 0, len(machines)),
		free: make([]placement.Amounts, len(machines)), used: make([]bool, len(machines)),
		rentedByPool: make([]int, len(pools)), machinesByZone: map[int]int{}}
	for i, m := range machines {
		p.free[i] = m.Free
		p.machinesByZone[m.Zone]++
		if m.Usable {
			p.fillOrder = append(p.fillOrder, i)
		}
	}
	// Machines in use first, then those up longest in use: what stays empty is
	// what can be returned. Spot machines before others among equals, being cheaper.
	sort.SliceStable(p.fillOrder, func(x, y int) bool {
		a, b := machines[p.fillOrder[x]], machines[p.fillOrder[y]]
		if a.Empty != b.Empty {
			return !a.Empty
		}
		return a.Spot && !b.Spot
	})
	return p
}

// place fits in as many tasks of d as there is room for, or machines for them can be rented.
func (p *packing) place(d Demand) {
	if d.OneZone && d.Zone < 0 {
		d.Zone = d.bestZone(p.machines, p.free, p.fillOrder, p.pools)
	}
	// Room only shrinks, so what has none for one task has none for the next.
	next, nextRented := 0, 0
	for range d.Tasks {
		if next = p.nextMachine(&d, next); next < len(p.fillOrder) {
			i := p.fillOrder[next]
			p.free[i] = p.free[i].Add(d.Need, -1)
			p.used[i] = true
			continue
		}
		nextRented = p.nextRented(&d, nextRented)
		if nextRented == len(p.rented) && !p.rent(&d) {
			return
		}
		r := &p.rented[nextRented]
		r.free = r.free.Add(d.Need, -1)
	}
}

// nextMachine returns the first place in the order, from one on, of a machine with room for a
// task; len(p.order) if there is none.
func (p *packing) nextMachine(d *Demand, from int) int {
	for ; from < len(p.fillOrder); from++ {
		i := p.fillOrder[from]
		m := &p.machines[i]
		if p.free[i].Fits(d.Need) && d.allows(m.Type, m.Zone, m.Spot) {
			break
		}
	}
	return from
}

// nextRented returns the position, from one on, of a rented machine with room for a task;
// len(p.rented) if there is none.
func (p *packing) nextRented(d *Demand, from int) int {
	for ; from < len(p.rented); from++ {
		pool := &p.pools[p.rented[from].pool]
		if p.rented[from].free.Fits(d.Need) && d.allows(pool.Type, pool.Zone, pool.Spot) {
			break
		}
	}
	return from
}

// rent rents the cheapest machine for a task and tells whether one can be had.
func (p *packing) rent(d *Demand) bool {
	pool := d.cheapestPool(p.pools, p.rentedByPool, p.machinesByZone)
	if pool < 0 {
		return false
	}
	if p.rentedByPool[pool] == 0 {
		p.poolsByImportance = append(p.poolsByImportance, pool)
	}
	p.rentedByPool[pool]++
	p.machinesByZone[p.pools[pool].Zone]++
	p.rented = append(p.rented, rentedMachine{pool, p.pools[pool].Capacity})
	return true
}

// scaleOut returns what is to be rented.
func (p *packing) scaleOut() (out []Rent) {
	for _, pool := range p.poolsByImportance {
		out = append(out, Rent{Pool: pool, Count: p.rentedByPool[pool]})
	}
	return out
}

// scaleIn returns the machines that can be returned.
func (p *packing) scaleIn(idleReturn time.Duration) (out []int) {
	for i, m := range p.machines {
		if m.Empty && !p.used[i] && m.Idle >= idleReturn {
			out = append(out, i)
		}
	}
	return out
}
