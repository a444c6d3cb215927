package relay

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/fake"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// leaderView is the state that a leader derives from forwarded heartbeats.
type leaderView struct {
	heartbeats map[string]agent.Heartbeat // last heartbeat, by machine
	receivedAt map[string]time.Time       // time of the last heartbeat, by machine
}

// apply applies the heartbeats of a batch, as the leader does, and fails the test if the base of a
// delta is missing.
func (v *leaderView) apply(t *testing.T, batch HeartbeatBatch, now time.Time) {
	t.Helper()
	for i := range batch.Full {
		heartbeat := batch.Full[i].Heartbeat()
		v.heartbeats[heartbeat.Machine], v.receivedAt[heartbeat.Machine] = heartbeat, now
	}
	for i := range batch.Deltas {
		delta := &batch.Deltas[i]
		base := v.heartbeats[delta.Machine]
		if base.Sequence != delta.BaseSequence {
			t.Fatalf("delta based on sequence %d, but the leader has %d", delta.BaseSequence, base.Sequence)
		}
		v.heartbeats[delta.Machine], v.receivedAt[delta.Machine] = delta.Apply(base), now
	}
}

func zoneMachine(i int) string { return fmt.Sprintf("vm-%06d", i) }

// zoneHeartbeat returns the heartbeat of machine i in a round: one new running task, and twelve exited
// tasks, of which one is missing in every third round.
func zoneHeartbeat(i, round int) agent.Heartbeat {
	heartbeat := agent.Heartbeat{Machine: zoneMachine(i), Addr: "10.1.0.232:9000", Type: "box", Zone: "a",
		Incarnation: 1, Sequence: uint64(round + 1), FencingToken: 3}
	for k := range 12 {
		if k == i%12 && round%3 == 0 {
			continue // the agent has forgotten this task
		}
		heartbeat.Tasks = append(heartbeat.Tasks, agent.ReportedTask{Task: fmt.Sprintf("wk-%06d/%d", i, k), Attempt: 3<<24 + uint64(k),
			Status: agent.StatusExited, Cause: agent.CauseDone})
	}
	heartbeat.Tasks = append(heartbeat.Tasks, agent.ReportedTask{Task: fmt.Sprintf("wk-9%05d/0", round), Attempt: 3 << 24, Status: agent.StatusRunning})
	return heartbeat
}

// Size of the zone, and limits of the store through which its heartbeats are forwarded.
const (
	zoneMachines   = 1000
	zoneValueBytes = 8 << 10
	zoneTxnOps     = 8
)

// applyWrite applies the batches of one write, and fails the test if the store would refuse the write.
func (v *leaderView) applyWrite(t *testing.T, batches []HeartbeatBatch, now time.Time) {
	t.Helper()
	total := 0
	for _, batch := range batches {
		size := fake.JSONSize(wire.Marshal(batch))
		total += size
		if size > zoneValueBytes {
			t.Fatalf("value of %d bytes, want at most %d", size, zoneValueBytes)
		}
		v.apply(t, batch, now)
	}
	if len(batches) > zoneTxnOps || total > 64<<10 {
		t.Fatalf("%d mutations of %d bytes in total, want at most %d of %d", len(batches), total, zoneTxnOps, 64<<10)
	}
}

// requireSame fails the test if the leader's last heartbeat of a machine has the sequence number of the
// last one reported, but differs from it.
func (v *leaderView) requireSame(t *testing.T, reported map[string]agent.Heartbeat) {
	t.Helper()
	compareTasks := func(a, b agent.ReportedTask) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) }
	for machine, want := range reported {
		known := v.heartbeats[machine]
		slices.SortFunc(known.Tasks, compareTasks)
		slices.SortFunc(want.Tasks, compareTasks)
		if known.Sequence == want.Sequence && !reflect.DeepEqual(known, want) {
			t.Fatalf("leader has %+v, want %+v as reported", known, want)
		}
	}
}

// Guards against machines of a large zone that count as silent because their heartbeats do not all fit
// into the transactions. A zone of 1,000 machines is forwarded through values of 8 KiB, counted in
// their JSON form. The leader must receive each machine's heartbeats in time and as they were
// reported. A heartbeat that it requests in full must be forwarded in full once.
func TestLargeZoneCountsAsSilent(t *testing.T) {
	proxy := &Proxy{Node: "shelf-1", ValueBytes: zoneValueBytes, TxnOps: zoneTxnOps}
	start := time.Unix(0, 0)
	now := start
	leader := leaderView{heartbeats: map[string]agent.Heartbeat{}, receivedAt: map[string]time.Time{}}
	reported := map[string]agent.Heartbeat{}
	for round := range 80 {
		now = now.Add(writeInterval)
		for i := range zoneMachines {
			if (i+round)%10 > 0 {
				continue // each machine reports every 5 s
			}
			heartbeat := zoneHeartbeat(i, round)
			proxy.AnswerHeartbeat(&heartbeat, "shelf-0", 3)
			reported[heartbeat.Machine] = heartbeat
		}
		batches, forwarded := proxy.nextBatches(proxy.TxnOps, now)
		leader.applyWrite(t, batches, now)
		proxy.markForwarded(forwarded)
		if now.Sub(start) < 15*time.Second {
			continue // at first the leader has no bases, so all heartbeats are full
		}
		for i := range zoneMachines {
			if silent := now.Sub(leader.receivedAt[zoneMachine(i)]); silent > 8*time.Second {
				t.Fatalf("no heartbeat of machine %d for %v, want at most 8 s", i, silent)
			}
		}
	}
	leader.requireSame(t, reported)
	if got := countFullOnRequest(t, proxy, reported[zoneMachine(7)], now); got != 1 {
		t.Errorf("requested heartbeat forwarded in full %d times, want 1", got)
	}
}

// countFullOnRequest requests a machine's heartbeat in full, as the leader does, and returns how many
// of the machine's next two heartbeats are forwarded in full.
func countFullOnRequest(t *testing.T, proxy *Proxy, last agent.Heartbeat, now time.Time) int {
	t.Helper()
	commands := wire.Marshal(CommandBatch{Term: 3, Machines: map[string]MachineCommands{last.Machine: {ResendFull: true}}})
	if _, err := proxy.decodeCommands(DownKey("shelf-1", 0), commands); err != nil {
		t.Fatal(err)
	}
	inFull := 0
	for round := range 2 {
		now = now.Add(writeInterval)
		heartbeat := last
		heartbeat.Sequence += uint64(round) + 1
		proxy.AnswerHeartbeat(&heartbeat, "shelf-0", 3)
		batches, forwarded := proxy.nextBatches(proxy.TxnOps, now)
		for _, batch := range batches {
			for _, full := range batch.Full {
				if full.Machine == last.Machine {
					inFull++
				}
			}
		}
		proxy.markForwarded(forwarded)
	}
	return inFull
}

// Guards against a zone whose machines all count as silent: the store counts values and transactions in
// JSON, and refuses those that are small enough only in CBOR each time they are sent. Heartbeats without
// changes grow most. All machines of a zone report at once, as after an outage of the store, in the middle
// of a day and at its start. Each write stays within the limits of each deployment, and the first one
// carries at least three in four of the heartbeats that they leave room for.
func TestHeartbeatsOfWholeZoneWithinLimitsInJSON(t *testing.T) {
	const machines, transactionBytes = 1500, 64 << 10
	for _, test := range []struct{ valueBytes, txnOps int }{{2 << 10, 4}, {8 << 10, 8}, {32 << 10, 16}, {1 << 20, 100}} {
		for _, sequence := range []uint64{1, 200, 70_000} {
			t.Run(fmt.Sprintf("%d values of %d bytes, sequence %d", test.txnOps, test.valueBytes, sequence), func(t *testing.T) {
				proxy := &Proxy{Node: "shelf-1", ValueBytes: test.valueBytes, TxnOps: test.txnOps}
				report := func(sequence uint64) {
					for i := range machines {
						heartbeat := agent.Heartbeat{Machine: zoneMachine(i), Addr: "10.1.0.232:9000", Type: "box", Zone: "a", Incarnation: 1, Sequence: sequence, FencingToken: 3}
						proxy.AnswerHeartbeat(&heartbeat, "shelf-0", 3)
					}
				}
				forwardAll := func() (heartbeatsPerWrite []int) {
					for len(proxy.pending) > 0 {
						batches, forwarded := proxy.nextBatches(proxy.TxnOps, time.Unix(0, 0))
						checkWriteInJSON(t, batches, test.valueBytes, test.txnOps, transactionBytes)
						proxy.markForwarded(forwarded)
						heartbeatsPerWrite = append(heartbeatsPerWrite, len(forwarded))
					}
					return heartbeatsPerWrite
				}
				report(sequence)
				forwardAll()
				report(sequence + 1)
				const longestDelta = 45 // bytes of JSON, with a sequence number of five digits
				want := min(machines, min(test.valueBytes*test.txnOps, 48<<10)*3/4/longestDelta)
				if got := forwardAll(); got[0] < want {
					t.Errorf("first write has %d of %d heartbeats without changes, want at least %d", got[0], machines, want)
				}
			})
		}
	}
}

// checkWriteInJSON fails the test if the store would refuse the write of batches for its size.
func checkWriteInJSON(t *testing.T, batches []HeartbeatBatch, valueBytes, txnOps, transactionBytes int) {
	t.Helper()
	var mutations []kvstore.Mutation
	for part, batch := range batches {
		value := wire.Marshal(batch)
		if size := fake.JSONSize(value); size > valueBytes {
			t.Fatalf("value of %d bytes, want at most %d", size, valueBytes)
		}
		mutations = append(mutations, kvstore.Mutation{Put: upKey(batch.Node, part), Value: value})
	}
	size := fake.JSONSize(wire.Marshal(map[string]any{"when": nil, "then": mutations}))
	if len(mutations) == 0 || len(mutations) > txnOps || size > transactionBytes {
		t.Fatalf("%d mutations of %d bytes in total, want 1 to %d of at most %d", len(mutations), size, txnOps, transactionBytes)
	}
}
