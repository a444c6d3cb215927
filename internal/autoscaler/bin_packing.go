package autoscaler

import (
	"sort"
	"time"

	"tulipshelf/internal/placement"
)

// fit is demand being fitted into machines, those to be rented included.
type fit struct {
	machines []Machine
	pools    []Pool
	order    []int               // usable machines, by position, in the order in which they are filled
	free     []placement.Amounts // by machine
	used     []bool              // by machine
	rented   []rentedMachine
	counts   []int // machines rented so far, by pool
	first    []int // pools of which machines are rented, the most important first
	perZone  map[int]int
}

// rentedMachine is a machine that is to be rented.
type rentedMachine struct {
	pool int
	free placement.Amounts
}

func newFit(machines []Machine, pools []Pool) *fit {
	p := &fit{machines: machines, pools: pools, order: make([]int, 0, len(machines)),
		free: make([]placement.Amounts, len(machines)), used: make([]bool, len(machines)),
		counts: make([]int, len(pools)), perZone: map[int]int{}}
	for i, m := range machines {
		p.free[i] = m.Free
		p.perZone[m.Zone]++
		if m.Usable {
			p.order = append(p.order, i)
		}
	}
	// Machines in use first, then those up longest in use: what stays empty is
	// what can be returned. Spot machines before others among equals, being cheaper.
	sort.SliceStable(p.order, func(x, y int) bool {
		a, b := machines[p.order[x]], machines[p.order[y]]
		if a.Empty != b.Empty {
			return !a.Empty
		}
		return a.Spot && !b.Spot
	})
	return p
}

// add fits in as many tasks of d as there is room for, or machines for them can be rented.
func (p *fit) add(d Demand) {
	if d.OneZone && d.Zone < 0 {
		d.Zone = d.bestZone(p.machines, p.free, p.order, p.pools)
	}
	// Room only shrinks, so what has none for one task has none for the next.
	next, nextRented := 0, 0
	for range d.Tasks {
		if next = p.nextMachine(&d, next); next < len(p.order) {
			i := p.order[next]
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
func (p *fit) nextMachine(d *Demand, from int) int {
	for ; from < len(p.order); from++ {
		i := p.order[from]
		m := &p.machines[i]
		if p.free[i].Fits(d.Need) && d.allows(m.Type, m.Zone, m.Spot) {
			break
		}
	}
	return from
}

// nextRented returns the position, from one on, of a rented machine with room for a task;
// len(p.rented) if there is none.
func (p *fit) nextRented(d *Demand, from int) int {
	for ; from < len(p.rented); from++ {
		pool := &p.pools[p.rented[from].pool]
		if p.rented[from].free.Fits(d.Need) && d.allows(pool.Type, pool.Zone, pool.Spot) {
			break
		}
	}
	return from
}

// rent rents the cheapest machine for a task and tells whether one can be had.
func (p *fit) rent(d *Demand) bool {
	pool := d.cheapest(p.pools, p.counts, p.perZone)
	if pool < 0 {
		return false
	}
	if p.counts[pool] == 0 {
		p.first = append(p.first, pool)
	}
	p.counts[pool]++
	p.perZone[p.pools[pool].Zone]++
	p.rented = append(p.rented, rentedMachine{pool, p.pools[pool].Capacity})
	return true
}

// rents returns what is to be rented.
func (p *fit) rents() (out []Rent) {
	for _, pool := range p.first {
		out = append(out, Rent{Pool: pool, Count: p.counts[pool]})
	}
	return out
}

// unused returns the machines that can be returned.
func (p *fit) unused(idleReturn time.Duration) (out []int) {
	for i, m := range p.machines {
		if m.Empty && !p.used[i] && m.Idle >= idleReturn {
			out = append(out, i)
		}
	}
	return out
}
