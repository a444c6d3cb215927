package autoscaler

// The snapshot that Plan is given.

import (
	"time"

	"tulipshelf/internal/placement"
)

// Demand is a number of tasks of one kind that should have a machine. Tasks that run already are left out.
type Demand struct {
	Need    placement.Amounts // of one task
	Types   []bool            // allowed machine types, by dense index; nil: any
	Zone    int               // dense index; negative: any
	Spot    bool              // may run on spot machines
	Tasks   int
	OneZone bool // all in one zone, whichever
}

// allows reports whether the tasks may run on machines of a type in a zone.
func (d *Demand) allows(machineType, zone int, spot bool) bool {
	if machineType < 0 {
		return false
	}
	if d.Types != nil && !d.Types[machineType] {
		return false
	}
	if d.Zone >= 0 && d.Zone != zone {
		return false
	}
	return d.Spot || !spot
}

func (d *Demand) allowsMachine(m *Machine) bool { return d.allows(m.Type, m.Zone, m.Spot) }

func (d *Demand) allowsPool(pool *Pool) bool { return d.allows(pool.Type, pool.Zone, pool.Spot) }

// Machine is a machine that is paid for. Its position in the list is its name.
type Machine struct {
	Type   int // dense index of the machine type; negative: unknown, holds no tasks
	Zone   int // dense index
	Spot   bool
	Free   placement.Amounts // not booked; all of it while the machine boots
	Usable bool              // takes tasks now or once it is up
	Empty  bool              // can be returned without loss
	Idle   time.Duration     // for how long it has been empty
}

// Pool is a kind of machine that can be rented. Its position in the list is its name.
type Pool struct {
	Type     int // dense index of the machine type
	Zone     int // dense index
	Spot     bool
	Price    float64           // of a machine, an hour
	Blocked  bool              // the cloud has refused machines lately: none are asked for
	Capacity placement.Amounts // of an empty machine
}

// rentableFor reports whether the tasks may run on machines of a pool that can be rented now.
func (p *Pool) rentableFor(d *Demand) bool {
	return !p.Blocked && p.Capacity.Fits(d.Need) && d.allowsPool(p)
}
