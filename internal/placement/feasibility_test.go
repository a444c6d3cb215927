package placement

import "testing"

// feasibilityTest is a case of TestInfeasibleMachines: a change to a machine, a job and a filter for
// which the machine is feasible.
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
		t.Errorf("feasible returns %v, want %v", got, test.feasible)
	}
}

// TestInfeasibleMachines guards against tasks on machines on which they may not run. Each case changes a
// feasible machine, job and filter in one property.
func TestInfeasibleMachines(t *testing.T) {
	for _, test := range []feasibilityTest{
		{"unchanged", func(*Machine, *Job, *machineFilter) {}, true},
		{"accepts no tasks", func(machine *Machine, _ *Job, _ *machineFilter) { machine.AcceptsTasks = false }, false},
		{"not enough free memory", func(machine *Machine, _ *Job, _ *machineFilter) { machine.Free[Memory] = 1 }, false},
		{"unknown type", func(machine *Machine, _ *Job, _ *machineFilter) { machine.Type = -1 }, false},
		{"unknown zone", func(machine *Machine, _ *Job, _ *machineFilter) { machine.Zone = -1 }, false},
		{"zone missing in TasksInZone", func(machine *Machine, _ *Job, _ *machineFilter) { machine.Zone = 2 }, false},
		{"type not allowed", func(_ *Machine, job *Job, _ *machineFilter) { job.Types = []bool{true, false} }, false},
		{"type allowed", func(_ *Machine, job *Job, _ *machineFilter) { job.Types = []bool{false, true} }, true},
		{"other zone required", func(_ *Machine, job *Job, _ *machineFilter) { job.Zone = 0 }, false},
		{"zone required", func(_ *Machine, job *Job, _ *machineFilter) { job.Zone = 1 }, true},
		{"spot instance not allowed", func(machine *Machine, _ *Job, _ *machineFilter) { machine.Spot = true }, false},
		{"spot instance allowed", func(machine *Machine, job *Job, _ *machineFilter) { machine.Spot, job.Spot = true, true }, true},
		{"job failed on the machine", func(_ *Machine, job *Job, _ *machineFilter) { job.Avoid = []bool{true} }, false},
		{"job failed on no machine", func(_ *Machine, job *Job, _ *machineFilter) { job.Avoid = []bool{false} }, true},
		{"half of the tasks are in the zone", func(_ *Machine, job *Job, _ *machineFilter) { job.SpreadOverZones, job.TasksInZone[1] = true, 2 }, false},
		{"less than half are in the zone", func(_ *Machine, job *Job, _ *machineFilter) { job.SpreadOverZones, job.TasksInZone[1] = true, 1 }, true},
		{"one zone, tasks in another", func(_ *Machine, job *Job, _ *machineFilter) { job.OneZone, job.TasksInZone[0] = true, 1 }, false},
		{"one zone, tasks in it", func(_ *Machine, job *Job, _ *machineFilter) { job.OneZone, job.TasksInZone[1] = true, 1 }, true},
		{"filter for another zone", func(_ *Machine, _ *Job, filter *machineFilter) { filter.zone = 0 }, false},
		{"filter for images, image missing", func(_ *Machine, job *Job, filter *machineFilter) {
			job.Image, filter.imageReady = []ImageState{ImageMissing}, true
		}, false},
		{"filter for images, image being fetched", func(_ *Machine, job *Job, filter *machineFilter) {
			job.Image, filter.imageReady = []ImageState{ImageFetching}, true
		}, false},
		{"filter for images, image on the machine", func(_ *Machine, job *Job, filter *machineFilter) {
			job.Image, filter.imageReady = []ImageState{ImageReady}, true
		}, true},
	} {
		t.Run(test.name, test.run)
	}
}

// TestClassesKeepTasksApart guards against cached results that are reused for tasks with other feasible
// machines. Jobs that differ in a property on which feasibility depends have different equivalence
// classes. A job has no class if its feasible machines also depend on its other tasks or its failures,
// or if it is a gang.
func TestClassesKeepTasksApart(t *testing.T) {
	base := func() Job { return Job{Need: Amounts{CPU: 1}, Zone: AnyZone, TasksInZone: make([]int, 2)} }
	first := base()
	class, ok := first.equivalenceClass()
	if !ok {
		t.Fatal("job without such constraints has no equivalence class")
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
			t.Errorf("jobs that differ in %s have the same equivalence class", name)
		}
	}
	for name, change := range map[string]func(job *Job){
		"one zone":          func(job *Job) { job.OneZone = true },
		"spread over zones": func(job *Job) { job.SpreadOverZones = true },
		"gang":              func(job *Job) { job.Gang = true },
		"avoid":             func(job *Job) { job.Avoid = []bool{false} },
	} {
		job := base()
		change(&job)
		if _, ok := job.equivalenceClass(); ok {
			t.Errorf("%s: job has an equivalence class", name)
		}
	}
}

// TestGangClassesKeepZonesApart guards against cached results for a gang that are reused in another
// zone, or for a gang that already has tasks on machines.
func TestGangClassesKeepZonesApart(t *testing.T) {
	gang := Job{Need: Amounts{CPU: 1}, Zone: AnyZone, TasksInZone: make([]int, 2)}
	inFirst, ok := gang.gangClass(0)
	if inSecond, alsoOK := gang.gangClass(1); !ok || !alsoOK || inFirst == inSecond {
		t.Error("gang has no class, or the same class in two zones")
	}
	gang.TasksInZone[0] = 1
	if _, ok := gang.gangClass(0); ok {
		t.Error("gang with tasks on machines has a class")
	}
}
