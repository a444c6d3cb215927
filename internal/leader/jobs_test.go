package leader

import (
	"testing"
	"time"

	"tulipshelf/internal/config"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// arrayRecord returns the record of an array as users submit it.
func arrayRecord(id string, tasks int) jobstore.Record {
	spec := &job.Spec{ID: id, Class: "class", Team: "crew", Shape: job.Array, Priority: "standard", Tasks: tasks, CPUs: 1, RAM: 2, ExpectS: 60}
	return jobstore.Record{Spec: spec, ChunkSize: 100, SubmittedMS: time.Now().UnixMilli()}
}

// A job that fails on every machine is tried one task at a time, ever later up to a minute, and
// like any other once a task of it is done.
func TestFailingJobBacksOff(t *testing.T) {
	l := newTestLeader(config.Settings{})
	j := l.admit(t, arrayRecord("wk-000001", 50))
	state := l.jobs.states[j]
	now := time.Now()
	for attempt := range minFailedAttempts {
		if state.isFailing() || l.jobs.tasksToStart(j) != 50 {
			t.Fatalf("after %d failures: failing %v, %d tasks wanted", attempt, state.isFailing(), l.jobs.tasksToStart(j))
		}
		state.attemptFailed("vm-1", now)
	}
	if !state.isFailing() || l.jobs.tasksToStart(j) != 1 || len(state.failedOn) != 0 {
		t.Errorf("failing %v, %d tasks wanted, avoids %d machines", state.isFailing(), l.jobs.tasksToStart(j), len(state.failedOn))
	}
	for _, want := range []time.Duration{2, 4, 8, 16, 32, 60, 60} {
		state.attemptStarted(now)
		if pause := state.notBefore.Sub(now); pause != want*time.Second {
			t.Errorf("paused for %v, want %v s", pause, int(want))
		}
	}
	state.attemptDone()
	if state.isFailing() || l.jobs.tasksToStart(j) != 50 {
		t.Errorf("after a task was done: failing %v, %d tasks wanted", state.isFailing(), l.jobs.tasksToStart(j))
	}
}

// The estimates that a leader keeps tell the next one which jobs fail everywhere: it would start
// all of their tasks at once.
func TestEstimatesNameFailingJobs(t *testing.T) {
	settings := config.Settings{Store: config.StoreLimits{ValueBytes: 8 << 10}}
	l := newTestLeader(settings)
	failing, notFailing := l.admit(t, arrayRecord("wk-000001", 2)), l.admit(t, arrayRecord("wk-000002", 2))
	for range minFailedAttempts {
		l.jobs.states[failing].attemptFailed("vm-1", time.Now())
	}
	l.jobs.states[notFailing].attemptFailed("vm-1", time.Now())
	stored := l.forecast.estimates()
	if len(stored.Failing) != 1 || stored.Failing[0] != "wk-000001" {
		t.Errorf("failing jobs: %v", stored.Failing)
	}
	next := newTestLeader(settings)
	next.jobs.failing[stored.Failing[0]] = true
	if j := next.admit(t, arrayRecord("wk-000001", 2)); next.jobs.tasksToStart(j) != 1 {
		t.Errorf("the next leader wants %d tasks", next.jobs.tasksToStart(j))
	}
}
