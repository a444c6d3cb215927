// Package rental decides which machines to rent and which to return. It is
// pure: it is given demand, machines and prices, and returns decisions.
package rental

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
	Rent   []Rent // for the most important demand first
	Return []int  // positions of machines
}

// Plan fits the demand into what is there, rents the cheapest that fits for the
// rest, and returns machines that have been empty for idleReturn and that the
// demand does not use. Demand comes in order of importance.
func Plan(demand []Demand, machines []Machine, pools []Pool, idleReturn time.Duration) Decision {
	var out Decision
	free := make([]placement.Amounts, len(machines))
	used := make([]bool, len(machines))
	order := make([]int, 0, len(machines))
	for i, m := range machines {
		free[i] = m.Free
		if m.Usable {
			order = append(order, i)
		}
	}
	// Machines in use first, then those up longest in use: what stays empty is
	// what can be returned. Spot machines before others among equals, being cheaper.
	sort.SliceStable(order, func(x, y int) bool {
		a, b := machines[order[x]], machines[order[y]]
		if a.Empty != b.Empty {
			return !a.Empty
		}
		return a.Spot && !b.Spot
	})
	type fresh struct {
		pool int
		free placement.Amounts
	}
	var rented []fresh
	perZone := map[int]int{}
	for _, m := range machines {
		perZone[m.Zone]++
	}
	counts := make([]int, len(pools))
	for _, d := range demand {
		if d.OneZone && d.Zone < 0 {
			d.Zone = d.bestZone(machines, free, order, pools)
		}
		// Room only shrinks, so what has none for one task has none for the next.
		next, nextRented := 0, 0
		for n := 0; n < d.Tasks; n++ {
			for ; next < len(order); next++ {
				m := &machines[order[next]]
				if free[order[next]].Fits(d.Need) && d.allows(m.Type, m.Zone, m.Spot) {
					break
				}
			}
			if next < len(order) {
				i := order[next]
				free[i] = free[i].Add(d.Need, -1)
				used[i] = true
				continue
			}
			at := -1
			for ; nextRented < len(rented); nextRented++ {
				p := &pools[rented[nextRented].pool]
				if rented[nextRented].free.Fits(d.Need) && d.allows(p.Type, p.Zone, p.Spot) {
					at = nextRented
					break
				}
			}
			if at < 0 {
				p := d.cheapest(pools, counts, perZone)
				if p < 0 {
					break
				}
				if counts[p] == 0 {
					out.Rent = append(out.Rent, Rent{Pool: p})
				}
				counts[p]++
				perZone[pools[p].Zone]++
				rented = append(rented, fresh{p, pools[p].Capacity})
				at = len(rented) - 1
			}
			rented[at].free = rented[at].free.Add(d.Need, -1)
		}
	}
	for i := range out.Rent {
		out.Rent[i].Count = counts[out.Rent[i].Pool]
	}
	for i, m := range machines {
		if m.Empty && !used[i] && m.Idle >= idleReturn {
			out.Return = append(out.Return, i)
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
