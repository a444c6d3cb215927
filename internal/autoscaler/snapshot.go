package autoscaler

// The input of Plan: a snapshot of demand, machines and pools.

import (
	"time"

	"tulipshelf/internal/placement"
)

// Demand is a group of identical tasks to provide machines for. Running tasks are not included.
type Demand struct {
	JobID    string            // ID of the job, for the log; empty for a reserve
	Need     placement.Amounts // resources of one task
	Types    []bool            // allowed machine types, by dense index; nil allows any
	Zone     int               // required zone, by dense index; negative allows any
	Spot     bool              // may run on spot machines
	Tasks    int               // number of tasks
	OneZone  bool              // all tasks must run in the same zone
	ZoneRoom []int             // number of these tasks that may run in each zone, by dense index; nil: no limit
	Avoid    []bool            // machines that they may not use, by Machine.Index; nil: none
}

// NewDemand returns the demand for a number of a job's waiting tasks, under the constraints that placement
// applies to them.
func NewDemand(job *placement.Job, tasks int) Demand {
	return Demand{Need: job.Need, Types: job.Types, Zone: job.Zone, Spot: job.Spot, Tasks: tasks,
		OneZone: job.OneZone, ZoneRoom: job.RoomByZone(), Avoid: job.Avoid}
}

// allows reports whether the tasks may run on machines of this type in this zone. Machines of an unknown
// (negative) type run no tasks.
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
	if d.ZoneRoom != nil && d.ZoneRoom[zone] <= 0 {
		return false
	}
	return d.Spot || !spot
}

// takeZoneRoom records that one of the tasks gets a machine in a zone.
func (d *Demand) takeZoneRoom(zone int) {
	if d.ZoneRoom != nil {
		d.ZoneRoom[zone]--
	}
}

func (d *Demand) allowsMachine(m *Machine) bool {
	avoided := d.Avoid != nil && d.Avoid[m.Index]
	return !avoided && d.allows(m.Type, m.Zone, m.Spot)
}

func (d *Demand) allowsPool(pool *Pool) bool { return d.allows(pool.Type, pool.Zone, pool.Spot) }

// Machine is a machine that is paid for. It is identified by its index in the list given to Plan.
type Machine struct {
	Index       int // position in Demand.Avoid
	Type        int // dense index of the machine type; negative if unknown: such a machine gets no tasks
	Zone        int // dense index of the zone
	Spot        bool
	ListedTasks int               // as in placement.Machine
	Free        placement.Amounts // capacity not assigned to tasks; all of it while the machine boots
	Usable      bool              // accepts tasks now or is expected to once it has booted
	Empty       bool              // can be returned without losing work
	Idle        time.Duration     // time that it has been empty, as counted towards idleReturn; ignored unless Empty
}

// Pool is a kind of machine that can be rented. It is identified by its index in the list given to Plan.
type Pool struct {
	Type     int // dense index of the machine type
	Zone     int // dense index of the zone
	Spot     bool
	Price    float64           // price of one machine per hour
	Blocked  bool              // the cloud has recently refused machines, so none are requested
	Capacity placement.Amounts // capacity of an empty machine
}

// rentableFor reports whether machines of the pool can be rented now and whether the demand's tasks fit
// on them and may run there.
func (p *Pool) rentableFor(d *Demand) bool {
	return !p.Blocked && p.Capacity.Fits(d.Need) && d.allowsPool(p)
}
