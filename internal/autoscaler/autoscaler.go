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
	Coverage []Coverage    // what the tasks of each demand get, in the order of the list given to Plan
}

// Coverage says where the tasks of one demand found room.
type Coverage struct {
	Existing int // tasks with room on machines that are already paid for, booting ones included
	Planned  int // tasks with room on machines to rent
	Unmet    int // tasks without room: no machine that they may use can be rented now
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
	coverage := make([]Coverage, len(demand))
	for i := range demand {
		coverage[i] = p.place(demand[i])
	}
	return Decision{ScaleOut: p.scaleOut(), ScaleIn: p.scaleIn(idleReturn), Coverage: coverage}
}
