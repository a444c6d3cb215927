package agent

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/golden"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
	"tulipshelf/internal/wire"
)

// Each line of a trace's input is
//
//	start TASK TERM SESSION       an attempt is recorded under the term
//	decide TASK TERM SESSION      the same, but the record is not yet durable
//	stop TASK                     its halt is wanted
//	report SESSION TICK TOKEN [TASK=STATE[/CAUSE]]...
//	orders TOKEN                  what would be sent
//	answer TOKEN                  the last report is answered
//	pass SECONDS
func TestTraces(t *testing.T) { golden.Run(t, replay) }

func replay(t *testing.T, trace []byte) []byte {
	now := time.Unix(0, 0)
	f := NewRegistry()
	m := f.Add("vm-1", now)
	book := jobstore.New()
	rec := jobstore.Record{Spec: &job.Spec{ID: "wk-000001", Shape: job.Array, Priority: "standard", Tasks: 9}, ChunkSize: 9}
	j, _, err := book.ApplyRecord(wire.Marshal(rec), 1)
	if err != nil {
		t.Fatal(err)
	}
	tries := map[string]uint64{}
	return golden.Replay(trace, func(out *bytes.Buffer, line string, word []string) {
		number := func(i int) (n uint64) {
			if _, err := fmt.Sscan(word[i], &n); err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			return n
		}
		name := func(task string) string { return "wk-000001/" + task }
		now = now.Add(time.Second)
		switch word[0] {
		case "start", "decide":
			a := book.StartAttempt(j, int(number(1)), book.NextAttemptNumber(number(2)), m.Name, number(3), now)
			a.Recorded = word[0] == "start"
			tries[word[1]] = a.Number
			m.Assign(a, now)
		case "stop":
			m.Stop(m.Assignments[job.AttemptID{Task: name(word[1]), Number: tries[word[1]]}], 0)
		case "report":
			r := &Heartbeat{Machine: m.Name, Incarnation: number(1), Sequence: number(2), FencingToken: number(3)}
			for _, w := range word[4:] {
				task, state, _ := strings.Cut(w, "=")
				status, cause, _ := strings.Cut(state, "/")
				r.Tasks = append(r.Tasks, ReportedTask{Task: name(task), Attempt: tries[task], Status: TaskStatus(status), Cause: ExitCause(cause)})
			}
			outcomes, fresh := m.ApplyHeartbeat(r, 26*time.Second, now)
			if !fresh {
				fmt.Fprintln(out, "> stale, ignored")
			}
			for _, o := range outcomes {
				cause := o.Cause
				if cause == CauseLost {
					cause = "gone"
				}
				fmt.Fprintf(out, "> task %d: %s\n", o.Assignment.Task, cause)
				book.EndAttempt(o.Assignment.Attempt, o.Cause == CauseDone, now)
			}
			if fresh && len(outcomes) == 0 {
				fmt.Fprintln(out, "> proves nothing")
			}
			if !m.UnresponsiveSince.IsZero() {
				fmt.Fprintln(out, "> seems deaf")
			}
		case "answer":
			m.HeartbeatAnswered(number(1), 26*time.Second, now)
		case "pass":
			now = now.Add(time.Duration(number(1)) * time.Second)
		case "orders":
			orders := m.PendingCommands(number(1), 10, func(string) bool { return true }, now)
			for _, o := range orders {
				fmt.Fprintf(out, "> %s %s\n", o.Verb, strings.TrimPrefix(o.Task, "wk-000001/"))
			}
			if len(orders) == 0 {
				fmt.Fprintln(out, "> none")
			}
		default:
			t.Fatalf("%q", line)
		}
	})
}

// A machine that was returned stays gone, however late a list or a report of it
// arrives; its dense index is given to the next one.
func TestReturnedStaysGone(t *testing.T) {
	now := time.Unix(0, 0)
	f := NewRegistry()
	a, b := f.Add("vm-1", now), f.Add("vm-2", now)
	f.Remove("vm-1", now)
	if f.Add("vm-1", now) != nil {
		t.Error("vm-1 is back")
	}
	if c := f.Add("vm-3", now); c.Index != a.Index || f.Size() != 2 || b.Index == c.Index {
		t.Errorf("index %d, size %d", c.Index, f.Size())
	}
}

func TestImagesForgetOldest(t *testing.T) {
	var x Images
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	x.Use("a", 4, 10, at(1))
	x.Use("b", 4, 10, at(2))
	x.Use("a", 4, 10, at(3))
	x.Use("c", 4, 10, at(4))
	if !x.Has("a") || x.Has("b") || !x.Has("c") {
		t.Errorf("a %v, b %v, c %v", x.Has("a"), x.Has("b"), x.Has("c"))
	}
}
