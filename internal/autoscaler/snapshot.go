package autoscaler

import (
	"time"

	"tulipshelf/internal/placement"
)

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

func (d *Demand) allows(typ, zone int, spot bool) bool {
	return typ >= 0 && (d.Types == nil || d.Types[typ]) && (d.Zone < 0 || d.Zone == zone) && (d.Spot || !spot)
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
