package leader

import (
	"testing"
	"time"

	"tulipshelf/internal/job"
)

// Guards against healthy machines that are quarantined: failures of a job that fails on every machine say
// nothing about the machine, and must not count together with a failure of another job there.
func TestFailuresOfFailingJobDoNotCountForMachine(t *testing.T) {
	l := newTestLeader(healthSettings())
	now := time.Now()
	machine := registerMachines(l, 0, 1, now)[0]
	mistaken, other := l.admit(t, arrayRecord("wk-000001", 10)), l.admit(t, arrayRecord("wk-000002", 10))
	for range minFailedAttempts {
		l.attempts.attemptFailed(machine, mistaken, l.jobs.states[mistaken], now)
	}
	l.jobs.store.EndAttempt(l.jobs.store.StartAttempt(other, 0, job.AttemptNumber(1, 1), machine.Name, 1, now), true, now)
	l.attempts.attemptFailed(machine, other, l.jobs.states[other], now)
	if machine.Quarantined {
		t.Error("machine quarantined after one failure of a job that succeeds elsewhere")
	}
	l.attempts.attemptFailed(machine, other, l.jobs.states[other], now)
	if !machine.Quarantined {
		t.Errorf("machine not quarantined after %d failures of a job that succeeds elsewhere", quarantineAfterAttempts)
	}
}
