package leader

import (
	"fmt"
	"testing"
	"time"

	"tulipshelf/internal/config"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/relay"
	"tulipshelf/internal/wire"
)

// Guards against starts that count as sent although they were never written for the relay, because the
// commands of other machines have filled the value: a machine that does not list such an attempt would
// count as unresponsive and be returned.
func TestStartsLeftOutOfRelayAreNotSent(t *testing.T) {
	l := newTestLeader(settingsWithStore(config.StoreLimits{ValueBytes: 2 << 10, TxnOps: 1}))
	const machineCount = 100
	now := time.Now()
	l.startOnRelayedMachines(t, machineCount, now)
	state := &relayState{lastWritten: make([][]byte, 1), resendFull: map[string]bool{}}
	batches := l.relays.commandParts("node-1", state, now)
	if len(batches) != 1 || len(batches[0].Machines) == 0 || len(batches[0].Machines) == machineCount {
		t.Fatalf("%d batches, want one with the commands of some of %d machines", len(batches), machineCount)
	}
	l.checkSentStarts(t, relay.CommandBatch{})
	l.relays.markSent(&batches[0], now)
	l.checkSentStarts(t, batches[0])
}

// settingsWithStore returns healthSettings with other limits of the key-value store.
func settingsWithStore(limits config.StoreLimits) config.Settings {
	settings := healthSettings()
	settings.Store = limits
	return settings
}

// startOnRelayedMachines adds machines whose heartbeats node-1 relays, and starts one recorded attempt on each.
func (l *Leader) startOnRelayedMachines(t *testing.T, count int, now time.Time) {
	t.Helper()
	j := l.admit(t, arrayRecord("wk-000001", count))
	for task, machine := range registerMachines(l, 0, count, now) {
		machine.RelayedBy, machine.Incarnation = "node-1", 1
		attempt := l.jobs.store.StartAttempt(j, task, l.jobs.store.NextAttemptNumber(l.term.Number()), machine.Name, 1, now)
		attempt.Recorded = true
		machine.Assign(attempt, now)
	}
}

// checkSentStarts checks that just the starts for the machines in a batch count as sent.
func (l *Leader) checkSentStarts(t *testing.T, written relay.CommandBatch) {
	t.Helper()
	wrong := 0
	for index := range l.machines.registry.Size() {
		machine := l.machines.registry.At(index)
		_, want := written.Machines[machine.Name]
		for _, assignment := range machine.SortedAssignments() {
			if sent := !assignment.FirstSent.IsZero(); sent != want {
				wrong++
			}
		}
	}
	if wrong > 0 {
		t.Errorf("%d starts marked as sent though left out, or not marked though written", wrong)
	}
}

// Guards against commands that never reach a zone: the store counts values in JSON, and refuses those that
// are small enough only in CBOR each time they are sent. Each machine of a zone gets one start, which grows
// most. The value of each part stays within the limits of each deployment.
func TestRelayedCommandsWithinLimitsInJSON(t *testing.T) {
	for _, limits := range []config.StoreLimits{{ValueBytes: 2 << 10, TxnOps: 4}, {ValueBytes: 8 << 10, TxnOps: 8}, {ValueBytes: 32 << 10, TxnOps: 16}} {
		l := newTestLeader(settingsWithStore(limits))
		now := time.Now()
		l.startOnRelayedMachines(t, 1500, now)
		state := l.relays.findOrAdd("node-1")
		for machine := range 200 {
			state.resendFull[fmt.Sprintf("vm-1%05d", machine)] = true
		}
		total := 0
		for part, batch := range l.relays.commandParts("node-1", state, now) {
			size := fake.JSONSize(wire.Marshal(batch))
			total += size
			if size > limits.ValueBytes || size < limits.ValueBytes*9/10 {
				t.Errorf("limits %+v: part %d has %d bytes, want at most the limit, and nine tenths of it", limits, part, size)
			}
		}
		if total > 60<<10 {
			t.Errorf("limits %+v: all parts have %d bytes, want at most 60 KiB", limits, total)
		}
	}
}

// Guards against commands that never reach a zone because the store refuses their write for its size each
// time: after a refusal the next write is at most half as large, and after it was executed larger again.
func TestRefusedCommandsAreDivided(t *testing.T) {
	l := newTestLeader(settingsWithStore(config.StoreLimits{ValueBytes: 8 << 10, TxnOps: 8}))
	now := time.Now()
	l.startOnRelayedMachines(t, 1500, now)
	state := l.relays.findOrAdd("node-1")
	sizeOfWrite := func() (size int) {
		for _, batch := range l.relays.commandParts("node-1", state, now) {
			size = max(size, fake.JSONSize(wire.Marshal(batch)))
		}
		return size
	}
	whole := sizeOfWrite()
	for range 4 {
		commandsRelayed{node: "node-1", state: state, err: fmt.Errorf("%w: too large", kvstore.ErrRejected)}.apply(l)
	}
	divided := sizeOfWrite()
	if divided == 0 || divided > whole/2 {
		t.Errorf("value of %d bytes after four refusals, want at most half of %d", divided, whole)
	}
	commandsRelayed{node: "node-1", state: state, err: kvstore.ErrRefused}.apply(l)
	if got := sizeOfWrite(); got != divided {
		t.Errorf("value of %d bytes after an outage, want %d as before", got, divided)
	}
	for range 4 {
		commandsRelayed{node: "node-1", state: state}.apply(l)
	}
	if got := sizeOfWrite(); got != whole {
		t.Errorf("value of %d bytes after executed writes, want %d again", got, whole)
	}
}
