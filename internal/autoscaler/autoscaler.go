// Package autoscaler decides which machines to rent and which to return. Plan is a pure, deterministic
// function of demand, machines and prices; the controller carries out its decisions. The package also
// holds the estimators that demand is derived from: demand history and run times. For reasons and
// figures see docs/placement.md ("Sizing the fleet").
package autoscaler

import "time"

// Decision is the result of Plan.
type Decision struct {
	ScaleOut []RentRequest // in the order of the demand that they serve, most important first
	ScaleIn  []int         // indices of machines to return, in the list given to Plan
}

// RentRequest is a request for machines of one pool.
type RentRequest struct {
	Pool  int // index in the list of pools given to Plan
	Count int // number of machines; at most maxMachinesPerRequest
}

// Plan packs the demand into the machines that are already paid for and decides which machines to rent
// and which to return. Tasks that do not fit get machines of the pool with the lowest price per task.
// Machines are returned that have been empty for at least idleReturn and that the demand does not need.
// The demand is given in descending order of importance.
func Plan(demand []Demand, machines []Machine, pools []Pool, idleReturn time.Duration) Decision {
	p := newPacking(machines, pools)
	for _, d := range demand {
		p.place(d)
	}
	return Decision{ScaleOut: p.scaleOut(), ScaleIn: p.scaleIn(idleReturn)}
}
