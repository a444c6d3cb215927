package placement

import "testing"

// feasibilityTest is a case of feasibility: a change of a machine and a job that fit each other.
type feasibilityTest struct {
	name     string
	change   func(machine *Machine, job *Job, filter *machineFilter)
	feasible bool
}

func (test *feasibilityTest) run(t *testing.T) {
	machines := []Machine{{AcceptsTasks: true, Type: 1, Zone: 1, Free: Amounts{CPU: 4, Memory: 16}}}
	jobs := []Job{{Need: Amounts{CPU: 4, Memory: 16}, Zone: AnyZone, Tasks: 4, TasksInZone: make([]int, 2)}}
	filter := anyMachine
	test.change(&machines[0], &jobs[0], &filter)
	p := newPass(traceStart, machines, jobs, []Team{{}})
	if got := p.feasible(&jobs[0], 0, filter); got != test.feasible {
		t.Errorf("feasible: %v, want %v", got, test.feasible)
	}
}

// TestInfeasibleMachines fails if a task is placed where it may not run: each case differs from a feasible
// one in what its name says.
func TestInfeasibleMachines(t *testing.T) {
	for _, test := range []feasibilityTest{
		{"unchanged", func(*Machine, *Job, *machineFilter) {}, true},
		{"closed", func(machine *Machine, _ *Job, _ *machineFilter) { machine.AcceptsTasks = false }, false},
		{"no room", func(machine *Machine, _ *Job, _ *machineFilter) { machine.Free[Memory] = 1 }, false},
		{"unknown type", func(machine *Machine, _ *Job, _ *machineFilter) { machine.Type = -1 }, false},
		{"unknown zone", func(machine *Machine, _ *Job, _ *machineFilter) { machine.Zone = -1 }, false},
		{"zone that the job does not know", func(machine *Machine, _ *Job, _ *machineFilter) { machine.Zone = 2 }, false},
		{"type not allowed", func(_ *Machine, job *Job, _ *machineFilter) { job.Types = []bool{true, false} }, false},
		{"type allowed", func(_ *Machine, job *Job, _ *machineFilter) { job.Types = []bool{false, true} }, true},
		{"other zone asked for", func(_ *Machine, job *Job, _ *machineFilter) { job.Zone = 0 }, false},
		{"zone asked for", func(_ *Machine, job *Job, _ *machineFilter) { job.Zone = 1 }, true},
		{"spot instance not wanted", func(machine *Machine, _ *Job, _ *machineFilter) { machine.Spot = true }, false},
		{"spot instance wanted", func(machine *Machine, job *Job, _ *machineFilter) { machine.Spot, job.Spot = true, true }, true},
		{"job failed there", func(_ *Machine, job *Job, _ *machineFilter) { job.Avoid = []bool{true} }, false},
		{"job failed elsewhere", func(_ *Machine, job *Job, _ *machineFilter) { job.Avoid = []bool{false} }, true},
		{"half of the tasks are in the zone", func(_ *Machine, job *Job, _ *machineFilter) { job.SpreadOverZones, job.TasksInZone[1] = true, 2 }, false},
		{"less than half are in the zone", func(_ *Machine, job *Job, _ *machineFilter) { job.SpreadOverZones, job.TasksInZone[1] = true, 1 }, true},
		{"one zone, and tasks in another", func(_ *Machine, job *Job, _ *machineFilter) { job.OneZone, job.TasksInZone[0] = true, 1 }, false},
		{"one zone, and tasks in it", func(_ *Machine, job *Job, _ *machineFilter) { job.OneZone, job.TasksInZone[1] = true, 1 }, true},
		{"filter on another zone", func(_ *Machine, _ *Job, filter *machineFilter) { filter.zone = 0 }, false},
		{"filter on images, to be fetched", func(_ *Machine, job *Job, filter *machineFilter) {
			job.Image, filter.imageReady = []ImageState{ImageMissing}, true
		}, false},
		{"filter on images, being fetched", func(_ *Machine, job *Job, filter *machineFilter) {
			job.Image, filter.imageReady = []ImageState{ImageFetching}, true
		}, false},
		{"filter on images, there", func(_ *Machine, job *Job, filter *machineFilter) {
			job.Image, filter.imageReady = []ImageState{ImageReady}, true
		}, true},
	} {
		t.Run(test.name, test.run)
	}
}

// TestClassesKeepTasksApart fails if tasks for which different machines are feasible share what the pass
// remembers, or if a job's other tasks and failures are left out of account.
func TestClassesKeepTasksApart(t *testing.T) {
	base := func() Job { return Job{Need: Amounts{CPU: 1}, Zone: AnyZone, TasksInZone: make([]int, 2)} }
	first := base()
	class, ok := first.equivalenceClass()
	if !ok {
		t.Fatal("a plain job has no class")
	}
	for name, change := range map[string]func(job *Job){
		"need":  func(job *Job) { job.Need[Memory] = 1 },
		"types": func(job *Job) { job.Types = []bool{true, false} },
		"zone":  func(job *Job) { job.Zone = 1 },
		"spot":  func(job *Job) { job.Spot = true },
	} {
		job := base()
		change(&job)
		if other, ok := job.equivalenceClass(); !ok || other == class {
			t.Errorf("other %s: same class", name)
		}
	}
	for name, change := range map[string]func(job *Job){
		"one zone": func(job *Job) { job.OneZone = true },
		"apart":    func(job *Job) { job.SpreadOverZones = true },
		"gang":     func(job *Job) { job.Gang = true },
		"avoid":    func(job *Job) { job.Avoid = []bool{false} },
	} {
		job := base()
		change(&job)
		if _, ok := job.equivalenceClass(); ok {
			t.Errorf("%s: has a class", name)
		}
	}
}

// TestGangClassesKeepZonesApart fails if what holds for a gang in one zone is taken for another, or if tasks
// that the gang already has are left out of account.
func TestGangClassesKeepZonesApart(t *testing.T) {
	gang := Job{Need: Amounts{CPU: 1}, Zone: AnyZone, TasksInZone: make([]int, 2)}
	inFirst, ok := gang.gangClass(0)
	if inSecond, alsoOK := gang.gangClass(1); !ok || !alsoOK || inFirst == inSecond {
		t.Error("a gang has the same class in two zones")
	}
	gang.TasksInZone[0] = 1
	if _, ok := gang.gangClass(0); ok {
		t.Error("a gang that has tasks already has a class")
	}
}
