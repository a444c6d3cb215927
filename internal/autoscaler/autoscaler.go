// Package autoscaler decides which machines to rent and which to return. It is pure and deterministic: it is
// given demand, machines and prices, and returns decisions, which the controller carries out. The estimates
// that the demand is made from, demand history and run times, are kept here as well. docs/placement.md
// ("Sizing the fleet") gives reasons and figures.
package autoscaler

import "time"

// Decision is the outcome of Plan.
type Decision struct {
	ScaleOut []RentRequest // for the most important demand first
	ScaleIn  []int         // positions of machines to return
}

// RentRequest asks for machines of a pool.
type RentRequest struct {
	Pool  int // position in the list of pools
	Count int // at most what one request may ask for
}

// Plan fits the demand into the machines that are paid for, rents the cheapest that fit for the rest, and
// returns machines that have been empty for idleReturn and that the demand does not use. Demand comes in
// order of importance.
func Plan(demand []Demand, machines []Machine, pools []Pool, idleReturn time.Duration) Decision {
	p := newPacking(machines, pools)
	for _, d := range demand {
		p.place(d)
	}
	return Decision{ScaleOut: p.scaleOut(), ScaleIn: p.scaleIn(idleReturn)}
}
