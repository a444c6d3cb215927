package leader

import (
	"errors"
	"testing"
	"time"

	"tulipshelf/internal/agent"
)

// Guards against a lost machine that counts as reachable: another machine has taken over its address and
// answers the probe in its place.
func TestProbeAnsweredByOtherMachineFails(t *testing.T) {
	for name, test := range map[string]struct {
		answeredBy string
		err        error
		failed     bool
	}{
		"the machine":     {"vm-0-000000", nil, false},
		"another machine": {"vm-0-000001", nil, true},
		"nobody":          {"", errors.New("no answer"), true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestLeader(healthSettings())
			machine := registerMachines(l, 0, 1, time.Now())[0]
			l.dispatcher.probesInFlight = 1
			probeAnswered{machine: machine, status: agent.Heartbeat{Machine: test.answeredBy, Incarnation: 1, Sequence: 1}, err: test.err}.apply(l)
			if machine.ProbeFailed != test.failed {
				t.Errorf("ProbeFailed is %t, want %t", machine.ProbeFailed, test.failed)
			}
		})
	}
}
