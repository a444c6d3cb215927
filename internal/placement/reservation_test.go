package placement

import (
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
