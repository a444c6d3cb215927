package autoscaler

import (
	"maps"
	"math"
	"slices"

	"tulipshelf/internal/placement"
)

// maxMachinesPerRequest is the most machines that one request may ask for.
const maxMachinesPerRequest = 50

// cheapestPool returns the pool with the lowest price for one task of d; among
// equals the one in the zone with the fewest machines.
func (d *Demand) cheapestPool(pools []Pool, counts []int, perZone map[int]int) int {
	best, bestPrice := -1, math.Inf(1)
	for i, p := range pools {
		if p.Blocked || counts[i] >= maxMachinesPerRequest || !p.Capacity.Fits(d.Need) || !d.allows(p.Type, p.Zone, p.Spot) {
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
