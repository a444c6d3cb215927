// Package autoscaler decides which machines to rent and which to return. It is
// pure: it is given demand, machines and prices, and returns decisions.
package autoscaler

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"tulipshelf/internal/placement"
)

// maxRent is the most machines that one request may ask for.
const maxRent = 50

// Demand is a number of tasks of one kind that should have a machine, running
// ones left out.
type Demand struct {
	Need  placement.Amounts
	Types []bool // allowed by dense type; nil: any
	Zone  int    // -1: any
	Spot  bool
	Tasks int

	OneZone bool // all in one zone, whichever
}

// Machine is a machine that is paid for.
type Machine struct {
	Type, Zone int
	Spot       bool
	Free       placement.Amounts // all of it while it boots
	Usable     bool              // takes tasks now or once it is up
	Empty      bool              // returnable without loss
	Idle       time.Duration     // empty for so long
}

// Pool is a kind of machine that can be rented.
type Pool struct {
	Type, Zone int
	Spot       bool
	Price      float64
	Blocked    bool // refused lately
	Capacity   placement.Amounts
}

// Rent asks for machines of a pool, by its position.
type Rent struct {
	Pool  int
	Count int
}

// Decision is the outcome of one pass.
type Decision struct {
	ScaleOut []Rent // for the most important demand first
	ScaleIn  []int  // positions of machines
}

// Plan fits the demand into what is there, rents the cheapest that fits for the
// rest, and returns machines that have been empty for idleReturn and that the
// demand does not use. Demand comes in order of importance.
func Plan(demand []Demand, machines []Machine, pools []Pool, idleReturn time.Duration) Decision {
	p := newFit(machines, pools)
	for _, d := range demand {
		p.add(d)
	}
	return Decision{ScaleOut: p.rents(), ScaleIn: p.unused(idleReturn)}
}

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

// bestZone returns the zone that has room for most of the tasks, and where machines can be
// rented for the rest; -1 if there is none.
func (d *Demand) bestZone(machines []Machine, free []placement.Amounts, usable []int, pools []Pool) int {
	room := map[int]int{}
	for _, p := range pools {
		if !p.Blocked && p.Capacity.Fits(d.Need) && d.allows(p.Type, p.Zone, p.Spot) {
			room[p.Zone] += 0
		}
	}
	rented := maps.Clone(room)
	for _, i := range usable {
		if m := &machines[i]; d.allows(m.Type, m.Zone, m.Spot) {
			room[m.Zone] += free[i].Times(d.Need)
		}
	}
	best := -1
	for _, z := range slices.Sorted(maps.Keys(room)) {
		if _, more := rented[z]; !more && room[z] < d.Tasks {
			continue
		}
		if best < 0 || min(room[z], d.Tasks) > min(room[best], d.Tasks) {
			best = z
		}
	}
	return best
}

func (d *Demand) allows(typ, zone int, spot bool) bool {
	return typ >= 0 && (d.Types == nil || d.Types[typ]) && (d.Zone < 0 || d.Zone == zone) && (d.Spot || !spot)
}

// cheapest returns the pool with the lowest price for one task of d; among
// equals the one in the zone with the fewest machines.
func (d *Demand) cheapest(pools []Pool, counts []int, perZone map[int]int) int {
	best, bestPrice := -1, math.Inf(1)
	for i, p := range pools {
		if p.Blocked || counts[i] >= maxRent || !p.Capacity.Fits(d.Need) || !d.allows(p.Type, p.Zone, p.Spot) {
			continue
		}
		fit := math.Inf(1)
		for r, n := range d.Need {
			if n > 0 {
				fit = math.Min(fit, math.Floor(p.Capacity[r]/n+1e-9))
			}
		}
		price := p.Price / fit
		if math.IsInf(fit, 1) {
			price = p.Price
		}
		if price < bestPrice-1e-12 || price < bestPrice+1e-12 && perZone[p.Zone] < perZone[pools[best].Zone] {
			best, bestPrice = i, price
		}
	}
	return best
}
