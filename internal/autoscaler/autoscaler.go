// Package autoscaler decides which machines to rent and which to return. It is
// pure: it is given demand, machines and prices, and returns decisions.
package autoscaler

import "time"

// Decision is the outcome of one pass.
type Decision struct {
	ScaleOut []Rent // for the most important demand first
	ScaleIn  []int  // positions of machines
}

// Rent asks for machines of a pool, by its position.
type Rent struct {
	Pool  int
	Count int
}

// Plan fits the demand into what is there, rents the cheapest that fits for the
// rest, and returns machines that have been empty for idleReturn and that the
// demand does not use. Demand comes in order of importance.
func Plan(demand []Demand, machines []Machine, pools []Pool, idleReturn time.Duration) Decision {
	p := newPacking(machines, pools)
	for _, d := range demand {
		p.place(d)
	}
	return Decision{ScaleOut: p.scaleOut(), ScaleIn: p.scaleIn(idleReturn)}
}
