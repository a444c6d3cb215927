package leader

import (
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/placement"
)

// passTrigger records whether a change since the start of the last scheduling pass requires another one.
type passTrigger struct{ requested bool }

func (t *passTrigger) request() { t.requested = true }

// machineTable holds the machines and the state that this leader derives from each.
type machineTable struct {
	*environment
	topology *topology
	jobs     *jobTable
	forecast *forecast
	trigger  *passTrigger
	registry *agent.Registry
	states   map[*agent.Machine]*machineState
}

// machineState holds a machine's load index, and a cache of the part of its snapshot that derives from
// its type and assignments. A pass takes a snapshot of every machine, and most have not changed since
// the last pass.
type machineState struct {
	loadIndex placement.LoadIndex

	cached      bool                // the fields below are filled in
	version     uint64              // agent.Machine.Version when the cache was filled in
	machineType int                 // agent.Machine.Type when the cache was filled in
	free        placement.Amounts   // resources not taken by assignments
	tasks       []placement.Task    // one per assignment
	assignments []*agent.Assignment // in the order of tasks
}

func newMachineTable(env *environment, topology *topology, jobs *jobTable, forecast *forecast, trigger *passTrigger) *machineTable {
	return &machineTable{environment: env, topology: topology, jobs: jobs, forecast: forecast, trigger: trigger,
		registry: agent.NewRegistry(), states: map[*agent.Machine]*machineState{}}
}

// findOrAdd returns the machine with the given name, and adds it if it is new. For a machine that was
// returned to the cloud it returns an empty one that is marked as gone and not in the registry.
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

// updateLoadIndex updates a machine's load index from its current assignments. It also records the use
// of their images, and sets IdleSince to now if there are assignments.
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

// snapshot returns the snapshot of a machine for package placement, and the machine's assignments in
// the order of the snapshot's tasks. For a machine that is gone, or whose type or zone is unknown, the
// snapshot accepts no tasks and there are no assignments.
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
	view.Free, view.Tasks, view.LoadIndex = state.free, state.tasks, state.loadIndex.Value()
	view.ListedTasks = len(machine.Assignments) + machine.ExitedTasks()
	view.AcceptsTasks = t.acceptsTasks(machine, now)
	return view, state.assignments
}

// refreshCache recomputes the cached part of a machine's snapshot.
func (t *machineTable) refreshCache(state *machineState, machine *agent.Machine) {
	state.cached, state.version, state.machineType = true, machine.Version, machine.Type
	state.free = t.topology.capacity(machine.Type)
	state.assignments = machine.SortedAssignments()
	state.tasks = make([]placement.Task, 0, len(state.assignments))
	for i, assignment := range state.assignments {
		jobState := t.jobs.states[assignment.Job]
		state.free = state.free.Add(jobState.need, -1)
		state.tasks = append(state.tasks, placement.Task{
			ID: i, Need: jobState.need, Priority: assignment.Job.Spec.Rank(), Team: jobState.team, JobArrival: assignment.Job.Arrival,
			StartedAt: assignment.AssignedAt, EndsAt: t.expectedEnd(assignment), Stopping: assignment.Stopping,
			Gang: gangID(assignment), MembersElsewhere: gangMembersElsewhere(assignment),
		})
	}
}

// gangID returns a number that identifies the gang of an assigned task, or 0 if it is not in a gang.
func gangID(assignment *agent.Assignment) uint64 {
	if assignment.Job.IsGang() {
		return assignment.Job.Arrival
	}
	return 0
}

// gangMembersElsewhere returns the number of other members of an assigned task's gang, which lose the
// same progress if the task is stopped. It is 0 for a task that is not in a gang.
func gangMembersElsewhere(assignment *agent.Assignment) int {
	if assignment.Job.IsGang() {
		return assignment.Job.Spec.Tasks - 1
	}
	return 0
}

// expectedEnd returns the estimated time at which an attempt ends by itself, or the zero time for an
// attempt of a service, which does not.
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

// confirmedPresent reports whether a registered machine has been proven to exist during this leadership.
// The cloud's list or its response to a rental is a proof. A heartbeat is one only if its fencing token
// is at least firstTerm, as agents are not sent such a token before this leader is elected. Any other
// heartbeat may be a delayed copy from a machine that was returned before the election.
func (t *machineTable) confirmedPresent(machine *agent.Machine) bool {
	return machine.Registered && (machine.FencingToken >= t.firstTerm || machine.Listed)
}
