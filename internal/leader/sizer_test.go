package leader

import (
	"testing"

	"tulipshelf/internal/job"
	"tulipshelf/internal/placement"
)

// Guards against machines that are rented for a part of a gang, which cannot start in part: its team's limit
// of GPUs, or of CPUs, has no room for all of its tasks.
func TestGangOverLimitIsNotSizedInPart(t *testing.T) {
	for name, test := range map[string]struct {
		team  placement.Team
		tasks int // number of tasks in the demand
	}{
		"within both limits": {placement.Team{CPUsMax: 8, GPUsMax: 8}, 8},
		"over the CPU limit": {placement.Team{CPUsMax: 7, GPUsMax: 8}, 0},
		"over the GPU limit": {placement.Team{CPUsMax: 8, GPUsMax: 7}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader(healthSettings())
			record := arrayRecord("wk-000001", 8)
			record.Spec.Shape, record.Spec.CPUs, record.Spec.GPUs = job.Gang, 1, 1
			list := &demandList{jobs: l.jobs, teams: []placement.Team{test.team}}
			list.addAllOrNothing(l.admit(t, record))
			tasks := 0
			for _, demand := range list.demand {
				tasks += demand.Tasks
			}
			if tasks != test.tasks {
				t.Errorf("demand for %d of 8 tasks, want %d", tasks, test.tasks)
			}
		})
	}
}

// Guards against machines that are rented for services that are never placed: their team is no longer in
// the settings.
func TestServicesOfUnknownTeamsNeedNoReserve(t *testing.T) {
	for team, want := range map[string]bool{"crew": true, "gone": false} {
		l := newTestLeader(healthSettings())
		record := arrayRecord("wk-000001", 8)
		record.Spec.Shape, record.Spec.Team = job.Service, team
		l.admit(t, record)
		if got := len(l.sizer.serviceReserve()) > 0; got != want {
			t.Errorf("reserve for services of team %q: %t, want %t", team, got, want)
		}
	}
}
