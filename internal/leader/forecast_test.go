package leader

import (
	"testing"
	"time"

	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
)

// Guards against too high a forecast after an election, and machines rented for it: a new leader counts the
// unfinished gangs once more, which the estimates of its predecessor contain. No array has arrived.
func TestRestoredGangsAreCountedOnce(t *testing.T) {
	settings := config.Settings{Store: config.StoreLimits{ValueBytes: 8 << 10}}
	record := arrayRecord("wk-000001", 8)
	record.Spec.Shape = job.Gang
	now := time.Now()
	predecessor := newTestLeader(settings)
	predecessor.admit(t, record)
	want := predecessor.forecast.gangs.Rate(now)

	next := newTestLeader(settings)
	stored := predecessor.forecast.estimates()
	next.forecast.restoreEstimates(&stored)
	next.admit(t, record)
	if got := next.forecast.gangs.Rate(now); got < 0.99*want || got > 1.01*want {
		t.Errorf("expected load of gangs %.2f CPUs in the next leader, want %.2f as in its predecessor", got, want)
	}
}
