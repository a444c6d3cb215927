package agent

import (
	"testing"

	"tulipshelf/internal/job"
)

// A heartbeat proves an attempt gone by a newer incarnation, by the attempt's exit, or by its absence
// once the agent has seen a higher token. Absence under the same token proves nothing, because the start
// may still be in transit.
func TestConfirmsGone(t *testing.T) {
	const incarnation, term = 4, 7
	attempt := job.AttemptID{Task: "wk-000001/0", Number: job.AttemptNumber(term, 1)}
	reported := func(status TaskStatus) []ReportedTask {
		return []ReportedTask{{Task: attempt.Task, Attempt: attempt.Number, Status: status}}
	}
	for _, test := range []struct {
		name      string
		heartbeat Heartbeat
		gone      bool
	}{
		{"older incarnation", Heartbeat{Incarnation: incarnation - 1, FencingToken: term + 1}, false},
		{"newer incarnation", Heartbeat{Incarnation: incarnation + 1, FencingToken: term}, true},
		{"running", Heartbeat{Incarnation: incarnation, FencingToken: term + 1, Tasks: reported(StatusRunning)}, false},
		{"exited", Heartbeat{Incarnation: incarnation, FencingToken: term, Tasks: reported(StatusExited)}, true},
		{"absent, same token", Heartbeat{Incarnation: incarnation, FencingToken: term}, false},
		{"absent, higher token", Heartbeat{Incarnation: incarnation, FencingToken: term + 1}, true},
		{"another attempt of the task", Heartbeat{Incarnation: incarnation, FencingToken: term,
			Tasks: []ReportedTask{{Task: attempt.Task, Attempt: attempt.Number + 1, Status: StatusExited}}}, false},
	} {
		if gone := test.heartbeat.ConfirmsGone(attempt, incarnation); gone != test.gone {
			t.Errorf("%s: gone is %v, want %v", test.name, gone, test.gone)
		}
	}
}
