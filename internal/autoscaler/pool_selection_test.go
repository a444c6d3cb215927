package autoscaler

import (
	"testing"

	"tulipshelf/internal/placement"
)

// TestPriceCountsWholeTasks guards against wrong prices per task: too low if room for a fraction of a
// task counts, too high if rounding makes a machine seem to hold one task less.
func TestPriceCountsWholeTasks(t *testing.T) {
	for _, test := range []struct {
		name  string
		need  float64
		pools []Pool
		want  int
	}{
		{"fraction of a task", 3, []Pool{{Price: 0.2, Capacity: cpus(4)}, {Price: 0.24, Capacity: cpus(5)}}, 0},
		{"rounding", 0.1, []Pool{{Price: 0.3, Capacity: cpus(0.3)}, {Price: 0.21, Capacity: cpus(0.2)}}, 0},
		{"larger and cheaper per task", 1, []Pool{{Price: 0.2, Capacity: cpus(4)}, {Price: 0.3, Capacity: cpus(8)}}, 1},
		{"first of equal prices", 1, []Pool{{Price: 0.2, Capacity: cpus(4)}, {Price: 0.4, Capacity: cpus(8)}}, 0},
		{"fewest machines in the zone, of equal prices", 1, []Pool{{Price: 0.2, Capacity: cpus(4)}, {Zone: 1, Price: 0.2, Capacity: cpus(4)}}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPacking([]Machine{{Zone: 0}}, test.pools)
			demand := &Demand{Need: cpus(test.need), Zone: placement.AnyZone}
			if got := p.cheapestPool(demand); got != test.want {
				t.Errorf("pool %d, want %d", got, test.want)
			}
		})
	}
}

// TestZoneWithEnoughRoomIsAsGoodAsOneWithMore guards against preferring a zone for room that the tasks
// do not need.
func TestZoneWithEnoughRoomIsAsGoodAsOneWithMore(t *testing.T) {
	machines := []Machine{{Zone: 1, Free: cpus(6), Usable: true}, {Zone: 0, Free: cpus(3), Usable: true}}
	demand := &Demand{Need: cpus(1), Zone: placement.AnyZone, OneZone: true, Tasks: 3}
	if zone := newPacking(machines, nil).bestZone(demand); zone != 0 {
		t.Errorf("zone %d, want 0, the first with enough room", zone)
	}
	demand.Tasks = 9
	if zone := newPacking(machines, nil).bestZone(demand); zone >= 0 {
		t.Errorf("zone %d, which has too little room and no machines to rent; want a negative result", zone)
	}
}
