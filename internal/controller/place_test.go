package controller

import (
	"reflect"
	"testing"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/autoscaler"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/placement"
	"tulipshelf/internal/wire"
)

// A machine known only from the records has no zone yet, so nothing may be
// concluded from the tasks on it (rule wrong_place, by same_place and apart).
func TestTaskZonesUnknownUntilMachineReports(t *testing.T) {
	now := time.Unix(0, 0)
	l := &leader{fleet: agent.NewRegistry(), zones: []string{"a", "b"}}
	book := jobstore.New()
	rec := jobstore.Record{Spec: &job.Spec{ID: "wk-000001", Shape: job.Array, Priority: "standard", Tasks: 3}, ChunkSize: 4}
	j, _, err := book.ApplyRecord(wire.Marshal(rec), 1)
	if err != nil {
		t.Fatal(err)
	}
	l.fleet.Add("vm-1", now).Zone = 1
	unknown := l.fleet.Add("vm-2", now)
	unknown.Zone = -1
	book.StartAttempt(j, 0, book.NextAttemptNumber(1), "vm-1", 1, now)
	if in, known := l.inZones(j); !known || !reflect.DeepEqual(in, []int{0, 1}) {
		t.Errorf("%v, known %v", in, known)
	}
	book.StartAttempt(j, 1, book.NextAttemptNumber(1), "vm-2", 1, now)
	if in, known := l.inZones(j); known || in[1] != 1 {
		t.Errorf("%v, known %v", in, known)
	}
	unknown.Zone = 0
	if in, known := l.inZones(j); !known || !reflect.DeepEqual(in, []int{1, 1}) {
		t.Errorf("%v, known %v", in, known)
	}
}

// Room kept for gangs to come is not kept from one that waits, also if that is beyond its
// team's guarantee.
func TestReservationsYieldToWaitingGang(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &config.Settings{Objectives: []config.Objective{{Kind: config.KindWait, Class: "class", Within: 10 * time.Second}}}
	l := &leader{node: &Node{settings: s}, zones: []string{"a"}, jobs: jobstore.New(), lastGangs: map[string]gangKind{},
		types: []cloud.Type{{Name: "box", CPUs: 4, BootS: 50}}, gangs: autoscaler.DemandHistory{Memory: time.Minute}}
	need := placement.Amounts{placement.CPU: 1}
	l.lastGangs["class"] = gangKind{&job.Spec{Class: "class", Shape: job.Gang, Priority: "standard", Tasks: 4}, &jobState{zone: -1, need: need}}
	l.gangs.Add(600, now)
	for _, beyond := range []bool{false, true} {
		waiting := []placement.Job{{Priority: job.Standard, Arrival: 1, BeyondGuarantee: beyond, Need: need, Waiting: 4, Zone: -1, Gang: true, Tasks: 4, TasksInZone: []int{0}}}
		machines := []placement.Machine{{Open: true, Free: placement.Amounts{placement.CPU: 4}}}
		toCome := l.gangsToCome(now, waiting)
		plan := placement.Place(now, machines, append(waiting, toCome...), []placement.Team{{CPUsMax: 100}})
		if len(toCome) == 0 || len(plan.Assignments) != 4 {
			t.Errorf("beyond %v: room kept for %d gangs to come, %d tasks placed", beyond, len(toCome), len(plan.Assignments))
		}
	}
}
