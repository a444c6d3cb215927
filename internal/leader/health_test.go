package leader

import (
	"fmt"
	"testing"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/config"
)

// healthSettings returns the settings of a cluster whose agents send a heartbeat every 5 s.
func healthSettings() config.Settings {
	return config.Settings{
		Peers:   []config.Peer{{Node: "node-1", Zone: "a"}},
		Workers: config.Workers{HeartbeatInterval: 5 * time.Second, Lease: 26 * time.Second, CancelDeadline: 51 * time.Second},
	}
}

// registerMachines adds count registered machines in a zone, whose last heartbeat was at lastHeartbeat.
func registerMachines(l *Leader, zone, count int, lastHeartbeat time.Time) []*agent.Machine {
	machines := make([]*agent.Machine, count)
	for i := range machines {
		machine := l.machines.findOrAdd(fmt.Sprintf("vm-%d-%06d", zone, i), lastHeartbeat)
		machine.Type, machine.Zone, machine.Registered, machine.LastHeartbeat = 0, zone, true, lastHeartbeat
		machines[i] = machine
	}
	return machines
}

// Guards against returning the machines of a partitioned zone as lost. A hundred machines send a
// heartbeat every 50 ms on average, so a zone without any for a second is partitioned.
func TestZoneWithoutHeartbeatsIsPartitioned(t *testing.T) {
	for _, c := range []struct {
		name        string
		machines    int
		silence     time.Duration
		partitioned bool
	}{
		{"many machines, silent for a second", 100, time.Second, true},
		{"many machines, silent for less", 100, 900 * time.Millisecond, false},
		{"few machines, whose heartbeats are seconds apart", 10, 2 * time.Second, false},
		{"two machines prove nothing", 2, time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newTestLeader(healthSettings())
			now := time.Now()
			registerMachines(l, 0, c.machines, now.Add(-c.silence))
			registerMachines(l, 1, 100, now)
			l.health.recordPartitions(l.health.measureSilence(now), now)
			if got := l.health.lastPartitioned[0].Equal(now); got != c.partitioned {
				t.Errorf("zone without heartbeats partitioned: %v, want %v", got, c.partitioned)
			}
			if !l.health.lastPartitioned[1].IsZero() {
				t.Error("zone with heartbeats counts as partitioned")
			}
		})
	}
}

// Guards against returning silent machines that a partition cuts off. A machine that is silent alone is
// retired soon if it does not answer a probe either. A machine in a partitioned zone, where a controller
// may extend its lease, is retired only after three leases.
func TestSilentMachineIsKeptInAPartition(t *testing.T) {
	l := newTestLeader(healthSettings())
	now := time.Now().Add(time.Hour)
	silent := l.Operator.UnhealthyAfter + time.Second
	machines := registerMachines(l, 0, 100, now)
	lone := machines[0]
	lone.LastHeartbeat, lone.ProbeFailed = now.Add(-silent), true
	silence := l.health.measureSilence(now)
	if reason := l.health.retireReason(lone, silence, now); reason != agent.RetireSilent {
		t.Errorf("silent alone and without an answer to a probe: retire reason %q, want %q", reason, agent.RetireSilent)
	}
	l.health.lastPartitioned[0] = now
	if reason := l.health.retireReason(lone, silence, now); reason != agent.NotRetired {
		t.Errorf("in a partition: retire reason %q, want none", reason)
	}
	lone.LastHeartbeat = now.Add(-partitionLeases * l.Settings.Workers.Lease)
	if reason := l.health.retireReason(lone, silence, now); reason != agent.RetireSilent {
		t.Errorf("in a partition of three leases: retire reason %q, want %q", reason, agent.RetireSilent)
	}
}

// Guards against a cancelled task that outlives the cancellation deadline on a machine that cannot be
// sent the halt. The machine is retired in time for the task to be gone by the deadline. While a new
// leader still reconciles, more of the time until the deadline passes before the machine is retired.
func TestMachineWithCancelledTaskIsRetired(t *testing.T) {
	l := newTestLeader(healthSettings())
	deadline := l.Settings.Workers.CancelDeadline
	machine := registerMachines(l, 0, 1, time.Now())[0]
	j := l.admit(t, arrayRecord("wk-000001", 1))
	attempt := l.jobs.store.StartAttempt(j, 0, l.jobs.store.NextAttemptNumber(1), machine.Name, 1, time.Now())
	machine.Assign(attempt, time.Now())
	j.Cancelled, j.CancelledAt = true, l.startedAt
	for _, c := range []struct {
		reconciled bool
		share      float64
		overdue    bool
	}{{true, 0.5, false}, {true, 0.6, true}, {false, 0.6, false}, {false, 0.9, true}} {
		now := l.startedAt.Add(time.Duration(c.share * float64(deadline)))
		l.Operator.ReconcileTimeout = 0
		if !c.reconciled {
			l.Operator.ReconcileTimeout = time.Hour
		}
		if got := l.health.cancelOverdue(machine, now); got != c.overdue {
			t.Errorf("reconciled %v, after %.1f of the deadline: overdue %v, want %v", c.reconciled, c.share, got, c.overdue)
		}
	}
}
