package relay

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"tulipshelf/internal/fleet"
	"tulipshelf/internal/wire"
)

// A zone of 150 machines is passed on through values of 8 KiB, counted in their
// JSON form, in time for none of them to count as silent.
func TestMailsOfALargeZone(t *testing.T) {
	const machines, limit = 150, 8 << 10
	l := &Lodger{Node: "shelf-1", ValueBytes: limit, passed: map[string]passed{}}
	now := time.Unix(0, 0)
	heard := map[string]time.Time{}
	whole := 0
	for tick := range 40 { // a write each 1.5 s
		now = now.Add(writeEvery)
		for i := range machines {
			if (i+tick)%3 > 0 {
				continue // each machine reports every 4.5 s
			}
			r := fleet.Report{Machine: fmt.Sprintf("vm-%06d", i), Addr: "10.1.0.232:9000", Type: "box", Zone: "a",
				Session: 1, Tick: uint64(tick + 1), Token: 3}
			for k := range 16 {
				r.Tasks = append(r.Tasks, fleet.TaskReport{Task: fmt.Sprintf("wk-%06d/%d", i, k), Try: 3<<24 + uint64(k), Status: fleet.Exited, Cause: fleet.CauseDone})
			}
			if i%10 == 0 { // something changes on some
				r.Tasks[0].Task = fmt.Sprintf("wk-%06d/%d", tick, i)
			}
			l.Answer(&r, 3)
		}
		var sent []fleet.Report
		for _, m := range l.mails(now) {
			if n := jsonSize(t, m); n > limit {
				t.Fatalf("a value of %d bytes", n)
			}
			for _, r := range m.Reports {
				heard[r.Machine] = now
			}
			for _, s := range m.Same {
				heard[s.Machine] = now
			}
			whole += len(m.Reports)
			sent = append(sent, m.Reports...)
		}
		l.passedOn(sent, now)
		if tick < 20 {
			continue // at first all of it is news
		}
		for i := range machines {
			if quiet := now.Sub(heard[fmt.Sprintf("vm-%06d", i)]); quiet > 10*time.Second {
				t.Fatalf("machine %d not heard for %v", i, quiet)
			}
		}
	}
	if whole < machines*4 {
		t.Errorf("%d whole reports in a minute: a leader that missed one would wait for the next in vain", whole)
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
