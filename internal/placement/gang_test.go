package placement

import (
	"fmt"
	"testing"
)

// TestGangTakesFirstOfEqualZones guards against plans that differ between two leaders with the same
// snapshot. Of zones that are equally good, a gang always takes the one with the lowest number.
func TestGangTakesFirstOfEqualZones(t *testing.T) {
	machines := []Machine{{AcceptsTasks: true, Zone: 1, Free: Amounts{CPU: 2}}, {AcceptsTasks: true, Zone: 0, Free: Amounts{CPU: 2}}}
	jobs := []Job{{Gang: true, OneZone: true, Zone: AnyZone, Need: Amounts{CPU: 1}, Waiting: 2, Tasks: 2, TasksInZone: make([]int, 2)}}
	plan := Place(traceStart, machines, jobs, []Team{{CPUsMax: 9}})
	for _, assignment := range plan.Assignments {
		if assignment.Machine != 1 {
			t.Errorf("assigned %v, want the machine in zone 0", plan.Assignments)
		}
	}
	if len(plan.Assignments) != 2 {
		t.Errorf("%d assignments, want 2", len(plan.Assignments))
	}
}

// TestRollbackRestoresState guards against changes of the pass or of the gang that remain after a
// rollback.
func TestRollbackRestoresState(t *testing.T) {
	machines := []Machine{
		{AcceptsTasks: true, Free: Amounts{CPU: 2}},
		{AcceptsTasks: true, Tasks: []Task{{Need: Amounts{CPU: 1}, StartedAt: traceStart}}},
	}
	gang := &Job{Gang: true, Urgent: true, Priority: 1, Zone: AnyZone, Need: Amounts{CPU: 1}, Waiting: 3, Tasks: 3,
		TasksInZone: make([]int, 1), Image: make([]ImageState, len(machines))}
	p := newPass(traceStart, machines, []Job{*gang}, []Team{{CPUsMax: 9, CPUsUsed: 1}})
	state := func() string {
		return fmt.Sprintf("%+v %+v %+v %+v %v %v", p.machines, p.teams, p.plan, *gang, p.ownsTasks, p.machineChanges)
	}
	before := state()
	p.setSavepoint(gang)
	p.assign(gang, 0)
	p.preempt(gang, 1, machineFilter{zone: 0})
	p.stopVictims(gang, 1, []int{0})
	if len(p.plan.Assignments) != 1 || len(p.plan.Preemptions) != 1 {
		t.Errorf("plan before the rollback is %+v, want one assignment and one preemption", p.plan)
	}
	p.rollBack(gang)
	if after := state(); after != before {
		t.Errorf("state after the rollback:\n%s\nwant the state before:\n%s", after, before)
	}
}

// TestSpreadGangDoesNotHideRoom guards against gangs that wait although there is room: a gang that must be
// spread over zones does not fit, because its tasks would all be in one zone. That says nothing about a
// later gang of the same needs that may be in one zone.
func TestSpreadGangDoesNotHideRoom(t *testing.T) {
	machines := []Machine{{AcceptsTasks: true, Free: Amounts{CPU: 2}}}
	gang := Job{Gang: true, Zone: AnyZone, Need: Amounts{CPU: 1}, Waiting: 2, Tasks: 2, Arrival: 1}
	spread := gang
	spread.SpreadOverZones, spread.Arrival = true, 0
	spread.TasksInZone, gang.TasksInZone = make([]int, 2), make([]int, 2)
	plan := Place(traceStart, machines, []Job{spread, gang}, []Team{{CPUsMax: 9}})
	if len(plan.Assignments) != 2 || plan.Unplaced[1] != 0 {
		t.Errorf("plan %+v, want both tasks of the second gang assigned", plan)
	}
}
