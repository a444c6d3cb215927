package placement

import (
	"math"
	"runtime"
	"slices"
	"testing"
	"time"
)

// busy returns a machine without free resources. It runs one task of one CPU for each of ends, the
// times from traceStart until the tasks end.
func busy(ends ...time.Duration) Machine {
	machine := Machine{AcceptsTasks: true}
	for _, end := range ends {
		task := Task{Need: Amounts{CPU: 1}, StartedAt: traceStart, EndsAt: traceStart.Add(end)}
		machine.Tasks = append(machine.Tasks, task)
	}
	return machine
}

// reservedFor returns the positions of the machines that are reserved for a gang of tasks of one CPU.
func reservedFor(gang Job, machines []Machine) []int {
	gang.Gang, gang.Zone, gang.Need = true, AnyZone, Amounts{CPU: 1}
	gang.TasksInZone = make([]int, 2)
	p := newPass(traceStart, machines, []Job{gang}, []Team{{}})
	p.reserveMachines(&gang, gang.zonesToTry())
	var reserved []int
	for position := range p.machines {
		if !p.machines[position].AcceptsTasks {
			reserved = append(reserved, position)
		}
	}
	return reserved
}

// TestReservedMachines guards against reservations that keep machines idle for a gang that cannot start
// there, or only late. The reserved machines are those that have room for the whole gang soonest, and of
// these as few as hold it. A gang that would wait longer than maxReservationWait reserves no machine,
// unless it is overdue.
func TestReservedMachines(t *testing.T) {
	inZone := func(zone int, machine Machine) Machine {
		machine.Zone = zone
		return machine
	}
	service := Machine{AcceptsTasks: true, Tasks: []Task{{Need: Amounts{CPU: 4}, StartedAt: traceStart}}}
	const tooLate = maxReservationWait + time.Second
	for _, test := range []struct {
		name     string
		gang     Job
		machines []Machine
		reserved []int
	}{
		{"machine that has room soonest", Job{Waiting: 2},
			[]Machine{busy(60*time.Second, 60*time.Second), busy(10*time.Second, 20*time.Second)}, []int{1}},
		{"fewest machines", Job{Waiting: 2},
			[]Machine{busy(10 * time.Second), busy(10*time.Second, 10*time.Second)}, []int{1}},
		{"tasks that do not end", Job{Waiting: 1}, []Machine{service}, nil},
		{"tasks that end late", Job{Waiting: 1}, []Machine{busy(tooLate)}, nil},
		{"tasks that end late, overdue gang", Job{Waiting: 1, Overdue: true}, []Machine{busy(tooLate)}, []int{0}},
		{"room for a part of the gang only", Job{Waiting: 3}, []Machine{busy(time.Second, time.Second)}, nil},
		{"zone that has room for the whole gang first", Job{Waiting: 2, OneZone: true},
			[]Machine{inZone(0, busy(time.Second, time.Minute)), inZone(1, busy(10*time.Second)), inZone(1, busy(10*time.Second))}, []int{1, 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			reserved := reservedFor(test.gang, test.machines)
			if !slices.Equal(reserved, test.reserved) {
				t.Errorf("reserved machines %v, want %v", reserved, test.reserved)
			}
		})
	}
}

// TestReservationOfSpreadGang guards against reservations that keep machines idle for a gang that cannot
// start there: only half of its tasks may be in one zone.
func TestReservationOfSpreadGang(t *testing.T) {
	other := busy(time.Minute)
	other.Zone = 1
	for name, test := range map[string]struct {
		machines []Machine
		reserved []int
	}{
		"room in one zone":  {[]Machine{busy(time.Second, time.Second)}, nil},
		"room in two zones": {[]Machine{busy(time.Second, time.Second), busy(time.Second), other}, []int{0, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			reserved := reservedFor(Job{Waiting: 2, Tasks: 2, SpreadOverZones: true}, test.machines)
			if !slices.Equal(reserved, test.reserved) {
				t.Errorf("reserved machines %v, want %v", reserved, test.reserved)
			}
		})
	}
}

// TestTimeLeft guards against reservations of machines that do not become free: a task that has overrun
// its expected end would be expected to end at once.
func TestTimeLeft(t *testing.T) {
	now := traceStart
	for _, test := range []struct {
		name string
		task Task
		want time.Duration
	}{
		{"before its expected end", Task{StartedAt: now.Add(-time.Minute), EndsAt: now.Add(time.Minute)}, time.Minute},
		{"after its expected end: a quarter of its run time", Task{StartedAt: now.Add(-time.Minute), EndsAt: now.Add(-time.Second)}, 15 * time.Second},
		{"told to stop", Task{StartedAt: now, EndsAt: now.Add(time.Minute), Stopping: true}, 0},
		{"does not end by itself", Task{StartedAt: now}, neverEnds},
	} {
		if got := test.task.timeLeft(now); got != test.want {
			t.Errorf("%s: time left %v, want %v", test.name, got, test.want)
		}
	}
}

// TestReservationsForTinyTasks guards against controllers that end for memory: a machine has room for any
// number of tasks with tiny needs or none, and reservations must not take memory for each of them. The
// bound is the share of a machine in a process of 81 MB that schedules 4,000 machines.
func TestReservationsForTinyTasks(t *testing.T) {
	const machineCount, maxBytesPerMachine = 200, 81e6 / 4000
	for name, need := range map[string]Amounts{
		"tiny CPU":         {CPU: 1e-4},
		"smallest numbers": {CPU: math.SmallestNonzeroFloat64, Memory: 1e-300},
		"none":             {},
	} {
		t.Run(name, func(t *testing.T) {
			machines := make([]Machine, machineCount)
			for position := range machines {
				machines[position] = Machine{AcceptsTasks: true, Free: Amounts{CPU: 4, Memory: 16}}
			}
			gang := Job{Gang: true, Anticipated: true, Waiting: 3, Tasks: 3, Zone: AnyZone, Need: need, TasksInZone: make([]int, 1)}
			p := newPass(traceStart, machines, []Job{gang}, []Team{{}})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			p.reserveMachines(&gang, gang.zonesToTry())
			runtime.ReadMemStats(&after)
			if perMachine := float64(after.TotalAlloc-before.TotalAlloc) / machineCount; perMachine > maxBytesPerMachine {
				t.Errorf("%.0f bytes allocated per machine, want at most %.0f", perMachine, maxBytesPerMachine)
			}
			if p.machines[0].AcceptsTasks || !p.machines[1].AcceptsTasks {
				t.Error("want only the first machine reserved, which has room for the whole gang")
			}
		})
	}
}
