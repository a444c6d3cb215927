package leader

import (
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/placement"
)

// passTrigger says whether something has changed since the last scheduling pass began.
type passTrigger struct{ requested bool }

func (t *passTrigger) request() { t.requested = true }

// machineTable is the machines and what this leader has worked out of each.
type machineTable struct {
	*environment
	topology *topology
	jobs     *jobTable
	forecast *forecast
	trigger  *passTrigger
	registry *agent.Registry
	states   map[*agent.Machine]*machineState
}

// machineState is a machine's load index, and what is on it as placement sees it. The latter is a
// cache: a pass looks at every machine, and most have changed nothing since the last.
type machineState struct {
	loadIndex placement.LoadIndex

	cached      bool
	version     uint64 // of the machine, when it was cached
	machineType int
	free        placement.Amounts
	tasks       []placement.Task
	assignments []*agent.Assignment // in the order of tasks
}

func newMachineTable(env *environment, topology *topology, jobs *jobTable, forecast *forecast, trigger *passTrigger) *machineTable {
	return &machineTable{environment: env, topology: topology, jobs: jobs, forecast: forecast, trigger: trigger,
		registry: agent.NewRegistry(), states: map[*agent.Machine]*machineState{}}
}

// findOrAdd returns the machine of that name, and makes it if it is new. For one that was returned
// to the cloud an empty machine stands, as it holds nothing.
func (t *machineTable) findOrAdd(name string, now time.Time) *agent.Machine {
	machine := t.registry.Add(name, now)
	if machine == nil {
		return &agent.Machine{Name: name, Gone: true}
	}
	if t.states[machine] == nil {
		machine.Type, machine.Zone = unknownIndex, unknownIndex
		t.states[machine] = &machineState{}
		t.trigger.request()
	}
	return machine
}

// updateLoadIndex feeds a machine's load index with what is on it now, and notes the use of images
// and since when it is idle.
func (t *machineTable) updateLoadIndex(machine *agent.Machine, now time.Time) {
	var counts placement.Amounts
	for _, assignment := range machine.Assignments {
		spec := assignment.Job.Spec
		if machine.Type != unknownIndex {
			machine.Images.Use(spec.Image, spec.ImageGB, t.topology.types[machine.Type].Disk, now)
			if !assignment.RunningSince.IsZero() {
				machine.Images.Fetched(spec.Image)
			}
		}
		for resource, amount := range t.jobs.states[assignment.Job].need {
			if amount > 0 {
				counts[resource]++
			}
		}
	}
	t.states[machine].loadIndex.Update(counts, now, t.Operator.IndexUpdate, t.Operator.Smoothing)
	if len(machine.Assignments) > 0 {
		machine.IdleSince = now
	}
}

// snapshot returns a machine as placement sees it, and its assignments in the order of the
// snapshot's tasks.
func (t *machineTable) snapshot(machine *agent.Machine, now time.Time) (placement.Machine, []*agent.Assignment) {
	view := placement.Machine{Type: machine.Type, Zone: machine.Zone, Spot: machine.Spot}
	if machine.Gone || machine.Type == unknownIndex || machine.Zone == unknownIndex {
		return view, nil
	}
	state := t.states[machine]
	if !state.cached || state.version != machine.Version || state.machineType != machine.Type {
		t.refreshCache(state, machine)
	}
	for _, assignment := range state.assignments {
		view.FetchesImage = view.FetchesImage || assignment.RunningSince.IsZero()
	}
	view.Free, view.Tasks, view.Load = state.free, state.tasks, state.loadIndex.Value()
	view.AcceptsTasks = t.acceptsTasks(machine, now)
	return view, state.assignments
}

// refreshCache works out anew what is on a machine.
func (t *machineTable) refreshCache(state *machineState, machine *agent.Machine) {
	state.cached, state.version, state.machineType = true, machine.Version, machine.Type
	state.free = t.topology.capacity(machine.Type)
	state.assignments = machine.SortedAssignments()
	state.tasks = make([]placement.Task, 0, len(state.assignments))
	for i, assignment := range state.assignments {
		jobState := t.jobs.states[assignment.Job]
		state.free = state.free.Add(jobState.need, -1)
		state.tasks = append(state.tasks, placement.Task{
			ID: i, Need: jobState.need, Priority: assignment.Job.Spec.Rank(), Team: jobState.team,
			StartedAt: assignment.AssignedAt, EndsAt: t.expectedEnd(assignment), Stopping: assignment.Stopping,
			MembersElsewhere: gangMembersElsewhere(assignment),
		})
	}
}

// gangMembersElsewhere returns how many tasks on other machines lose as much when one task stops.
func gangMembersElsewhere(assignment *agent.Assignment) int {
	if assignment.Job.IsGang() {
		return assignment.Job.Spec.Tasks - 1
	}
	return 0
}

// expectedEnd returns about when an attempt ends by itself; zero: it does not.
func (t *machineTable) expectedEnd(assignment *agent.Assignment) time.Time {
	if assignment.Job.Spec.Shape == job.Service {
		return time.Time{}
	}
	runTime := time.Duration(t.forecast.runSeconds(assignment.Job.Spec) * float64(time.Second))
	return assignment.AssignedAt.Add(runTime)
}

// acceptsTasks reports whether new tasks may be placed on a machine.
func (t *machineTable) acceptsTasks(machine *agent.Machine, now time.Time) bool {
	healthy := !machine.HasUnknownTask() && !machine.Quarantined && !machine.Failed && machine.UnresponsiveSince.IsZero()
	staying := machine.RetireReason == agent.NotRetired && machine.TerminationAt.IsZero()
	return t.confirmedPresent(machine) && healthy && staying && now.Sub(machine.LastHeartbeat) < t.Operator.UnhealthyAfter
}

// confirmedPresent reports whether a machine is known to be there: by its fencing token, which it
// can only have from an answer of this leader, or by the cloud's list. A heartbeat alone may be a
// late copy of a machine that was returned before this leader began.
func (t *machineTable) confirmedPresent(machine *agent.Machine) bool {
	return machine.Registered && (machine.FencingToken >= t.firstTerm || machine.Listed)
}
