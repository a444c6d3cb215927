package autoscaler

import (
	"reflect"
	"testing"
	"time"

	"tulipshelf/internal/placement"
)

// cpus returns amounts of count CPUs and count gigabytes of memory.
func cpus(count float64) placement.Amounts {
	return placement.Amounts{placement.CPU: count, placement.Memory: count}
}

// Indexes in the list that testPools returns.
const (
	spotPool = iota
	firstZonePool
	secondZonePool
)

func testPools() []Pool {
	return []Pool{
		spotPool:       {Zone: 0, Spot: true, Price: 0.1, Capacity: cpus(4)},
		firstZonePool:  {Zone: 0, Price: 0.2, Capacity: cpus(4)},
		secondZonePool: {Zone: 1, Price: 0.2, Capacity: cpus(4)},
	}
}

// scaleOutTest is a case of Plan, with the rent requests that it should return.
type scaleOutTest struct {
	name     string
	demand   []Demand
	machines []Machine
	pools    []Pool
	want     []RentRequest
}

func runScaleOutTests(t *testing.T, tests []scaleOutTest) {
	t.Helper()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			decision := Plan(test.demand, test.machines, test.pools, time.Minute)
			if !reflect.DeepEqual(decision.ScaleOut, test.want) {
				t.Errorf("rent requests %v, want %v", decision.ScaleOut, test.want)
			}
		})
	}
}

// TestRentsCheapestForWhatDoesNotFit guards against renting machines for tasks that fit on existing
// ones, booting ones included. It also checks that the cheapest machines that the tasks may use are
// rented, spread over zones, and that those for the most important demand come first.
func TestRentsCheapestForWhatDoesNotFit(t *testing.T) {
	service := Demand{Need: cpus(2), Zone: placement.AnyZone, Tasks: 6}
	array := Demand{Need: cpus(1), Zone: placement.AnyZone, Spot: true, Tasks: 4}
	booting := Machine{Zone: 0, Free: cpus(4), Usable: true}
	spotBlocked := testPools()
	spotBlocked[spotPool].Blocked = true
	runScaleOutTests(t, []scaleOutTest{
		{"services in both zones, the array on a spot machine", []Demand{service, array}, []Machine{booting}, testPools(),
			[]RentRequest{{secondZonePool, 1}, {firstZonePool, 1}, {spotPool, 1}}},
		{"spot machines recently refused", []Demand{array}, nil, spotBlocked,
			[]RentRequest{{firstZonePool, 1}}},
		{"larger than any machine", []Demand{{Need: cpus(5), Zone: placement.AnyZone, Tasks: 1}}, nil, testPools(),
			nil},
		{"at most the machines of one request", []Demand{{Need: cpus(4), Zone: 1, Tasks: 1000}}, nil, testPools(),
			[]RentRequest{{secondZonePool, maxMachinesPerRequest}}},
	})
}

// TestReturnsOnlyIdleMachinesThatAreNotNeeded guards against returning a machine that has tasks, that the
// demand needs, or that has not been empty for idleReturn.
func TestReturnsOnlyIdleMachinesThatAreNotNeeded(t *testing.T) {
	machines := []Machine{
		{Free: cpus(4), Usable: true, Empty: true, Idle: time.Minute}, // takes the fourth task
		{Free: cpus(4), Usable: true, Empty: true, Idle: time.Minute},
		{Free: cpus(3), Usable: true}, // takes three tasks
		{Free: cpus(4), Usable: true, Empty: true, Idle: time.Second},
	}
	demand := []Demand{{Need: cpus(1), Zone: placement.AnyZone, Tasks: 4}}
	decision := Plan(demand, machines, testPools(), 10*time.Second)
	if want := []int{1}; !reflect.DeepEqual(decision.ScaleIn, want) {
		t.Errorf("machines to return %v, want %v", decision.ScaleIn, want)
	}
}

// TestGangIsRentedInOneZone guards against spreading tasks over zones that must run in one zone, and
// against choosing a zone that has neither room for all of them nor machines to rent.
func TestGangIsRentedInOneZone(t *testing.T) {
	demand := []Demand{{Need: cpus(4), Zone: placement.AnyZone, OneZone: true, Tasks: 3}}
	inZone := func(zone int) Machine { return Machine{Zone: zone, Free: cpus(4), Usable: true} }
	firstZoneBlocked := testPools()
	firstZoneBlocked[spotPool].Blocked = true
	firstZoneBlocked[firstZonePool].Blocked = true
	runScaleOutTests(t, []scaleOutTest{
		{"zone with room for most tasks", demand, []Machine{inZone(0), inZone(1), inZone(1)}, testPools(), []RentRequest{{secondZonePool, 1}}},
		{"first of equal zones", demand, []Machine{inZone(0), inZone(1)}, testPools(), []RentRequest{{firstZonePool, 2}}},
		{"zone where machines can be rented for the rest", demand, []Machine{inZone(0), inZone(0)}, firstZoneBlocked, []RentRequest{{secondZonePool, 3}}},
	})
}
