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

// A zone of 1,000 machines is passed on through values of 8 KiB, counted in their JSON
// form, in time for none of them to count as silent, and what the leader makes of it is
// what the machines have reported. A report that the leader asks for comes whole.
func TestMailsOfALargeZone(t *testing.T) {
	const machines, limit, ops = 1000, 8 << 10, 8
	p := &Proxy{Node: "shelf-1", ValueBytes: limit, TxnOps: ops}
	now := time.Unix(0, 0)
	name := func(i int) string { return fmt.Sprintf("vm-%06d", i) }
	type known struct {
		report agent.Heartbeat
		at     time.Time
	}
	leader := map[string]known{}
	reported := map[string]agent.Heartbeat{}
	for tick := range 80 { // a write each 0.5 s
		now = now.Add(writeInterval)
		for i := range machines {
			if (i+tick)%10 > 0 {
				continue // each machine reports every 5 s
			}
			r := agent.Heartbeat{Machine: name(i), Addr: "10.1.0.232:9000", Type: "box", Zone: "a",
				Incarnation: 1, Sequence: uint64(tick + 1), FencingToken: 3}
			for k := range 12 {
				if k == i%12 && tick%3 == 0 {
					continue // forgotten
				}
				r.Tasks = append(r.Tasks, agent.ReportedTask{Task: fmt.Sprintf("wk-%06d/%d", i, k), Attempt: 3<<24 + uint64(k), Status: agent.StatusExited, Cause: agent.CauseDone})
			}
			r.Tasks = append(r.Tasks, agent.ReportedTask{Task: fmt.Sprintf("wk-9%05d/0", tick), Attempt: 3 << 24, Status: agent.StatusRunning})
			p.AnswerHeartbeat(&r, "shelf-0", 3)
			reported[r.Machine] = r
		}
		mails, sent := p.nextBatches(now)
		total := 0
		for _, m := range mails {
			n := jsonSize(t, m)
			total += n
			if n > limit {
				t.Fatalf("a value of %d bytes", n)
			}
			for i := range m.Full {
				r := m.Full[i].Heartbeat()
				leader[r.Machine] = known{r, now}
			}
			for i := range m.Deltas {
				c := &m.Deltas[i]
				before := leader[c.Machine].report
				if before.Sequence != c.BaseSequence {
					t.Fatalf("a change of tick %d, known is %d", c.BaseSequence, before.Sequence)
				}
				leader[c.Machine] = known{c.Apply(before), now}
			}
		}
		if len(mails) > ops || total > 64<<10 {
			t.Fatalf("%d changes of %d bytes", len(mails), total)
		}
		p.markForwarded(sent)
		if now.Sub(time.Unix(0, 0)) < 15*time.Second {
			continue // at first all of it is news
		}
		for i := range machines {
			if quiet := now.Sub(leader[name(i)].at); quiet > 8*time.Second {
				t.Fatalf("machine %d not heard for %v", i, quiet)
			}
		}
	}
	same := func(a, b agent.ReportedTask) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) }
	for i := range machines {
		a, b := leader[name(i)].report, reported[name(i)]
		slices.SortFunc(a.Tasks, same)
		slices.SortFunc(b.Tasks, same)
		if a.Sequence == b.Sequence && !reflect.DeepEqual(a, b) {
			t.Fatalf("the leader has %+v, reported was %+v", a, b)
		}
	}

	// What the leader asks for is passed on whole, once.
	box := wire.Marshal(CommandBatch{Term: 3, Machines: map[string]MachineCommands{name(7): {ResendFull: true}}})
	if _, err := p.decodeCommands(DownKey("shelf-1", 0), box); err != nil {
		t.Fatal(err)
	}
	whole := 0
	for tick := range 2 {
		now = now.Add(writeInterval)
		r := reported[name(7)]
		r.Sequence += uint64(tick) + 1
		p.AnswerHeartbeat(&r, "shelf-0", 3)
		mails, sent := p.nextBatches(now)
		for _, m := range mails {
			for _, w := range m.Full {
				if w.Machine == name(7) {
					whole++
				}
			}
		}
		p.markForwarded(sent)
	}
	if whole != 1 {
		t.Errorf("passed on whole %d times", whole)
	}
}

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
