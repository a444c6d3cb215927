package relay

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/wire"
)

// leaderView is what a leader makes of forwarded heartbeats.
type leaderView struct {
	heartbeats map[string]agent.Heartbeat // the last, by machine
	receivedAt map[string]time.Time
}

// apply takes what a batch stands for, as the leader does, and fails the test if it lacks the base
// of a delta.
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
			t.Fatalf("a delta to sequence %d, known is %d", delta.BaseSequence, base.Sequence)
		}
		v.heartbeats[delta.Machine], v.receivedAt[delta.Machine] = delta.Apply(base), now
	}
}

func zoneMachine(i int) string { return fmt.Sprintf("vm-%06d", i) }

// zoneHeartbeat is what machine i reports in a round: a new task that runs, and all but now and
// then one of twelve that have exited.
func zoneHeartbeat(i, round int) agent.Heartbeat {
	heartbeat := agent.Heartbeat{Machine: zoneMachine(i), Addr: "10.1.0.232:9000", Type: "box", Zone: "a",
		Incarnation: 1, Sequence: uint64(round + 1), FencingToken: 3}
	for k := range 12 {
		if k == i%12 && round%3 == 0 {
			continue // forgotten
		}
		heartbeat.Tasks = append(heartbeat.Tasks, agent.ReportedTask{Task: fmt.Sprintf("wk-%06d/%d", i, k), Attempt: 3<<24 + uint64(k),
			Status: agent.StatusExited, Cause: agent.CauseDone})
	}
	heartbeat.Tasks = append(heartbeat.Tasks, agent.ReportedTask{Task: fmt.Sprintf("wk-9%05d/0", round), Attempt: 3 << 24, Status: agent.StatusRunning})
	return heartbeat
}

// Limits of the store that the zone is forwarded under.
const (
	zoneMachines   = 1000
	zoneValueBytes = 8 << 10
	zoneTxnOps     = 8
)

// applyWrite takes the batches of one write, and fails the test if the store would refuse it.
func (v *leaderView) applyWrite(t *testing.T, batches []HeartbeatBatch, now time.Time) {
	t.Helper()
	total := 0
	for _, batch := range batches {
		size := jsonSize(t, batch)
		total += size
		if size > zoneValueBytes {
			t.Fatalf("a value of %d bytes", size)
		}
		v.apply(t, batch, now)
	}
	if len(batches) > zoneTxnOps || total > 64<<10 {
		t.Fatalf("%d mutations of %d bytes", len(batches), total)
	}
}

// requireSame fails the test unless what the leader knows is what was reported with that sequence.
func (v *leaderView) requireSame(t *testing.T, reported map[string]agent.Heartbeat) {
	t.Helper()
	compareTasks := func(a, b agent.ReportedTask) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) }
	for machine, want := range reported {
		known := v.heartbeats[machine]
		slices.SortFunc(known.Tasks, compareTasks)
		slices.SortFunc(want.Tasks, compareTasks)
		if known.Sequence == want.Sequence && !reflect.DeepEqual(known, want) {
			t.Fatalf("the leader has %+v, reported was %+v", known, want)
		}
	}
}

// A zone of 1,000 machines is forwarded through values of 8 KiB, counted in their JSON form, in time
// for none of them to count as silent, and what the leader makes of it is what the machines
// have reported. A heartbeat that the leader asks for comes in full, once.
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
		batches, forwarded := proxy.nextBatches(now)
		leader.applyWrite(t, batches, now)
		proxy.markForwarded(forwarded)
		if now.Sub(start) < 15*time.Second {
			continue // at first all of it is news
		}
		for i := range zoneMachines {
			if silent := now.Sub(leader.receivedAt[zoneMachine(i)]); silent > 8*time.Second {
				t.Fatalf("machine %d not heard for %v", i, silent)
			}
		}
	}
	leader.requireSame(t, reported)
	if got := countFullOnRequest(t, proxy, reported[zoneMachine(7)], now); got != 1 {
		t.Errorf("forwarded in full %d times", got)
	}
}

// countFullOnRequest has the leader ask for a machine's heartbeat in full, and returns how many of its
// next two are forwarded so.
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
		batches, forwarded := proxy.nextBatches(now)
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

// jsonSize returns the size of a value as the store counts it.
func jsonSize(t *testing.T, v any) int {
	var plain any
	if err := wire.Unmarshal(wire.Marshal(v), &plain); err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(textKeys(plain))
	if err != nil {
		t.Fatal(err)
	}
	return len(b)
}

// textKeys makes maps as CBOR decodes them fit for JSON.
func textKeys(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := map[string]any{}
		for k, e := range v {
			out[fmt.Sprint(k)] = textKeys(e)
		}
		return out
	case []any:
		for i := range v {
			v[i] = textKeys(v[i])
		}
	}
	return v
}
