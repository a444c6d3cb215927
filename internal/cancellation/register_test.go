package cancellation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// taskDeadline is the time in which tasks of cancelled jobs must be gone.
const taskDeadline = time.Minute

// exchange sends a heartbeat from one register to another and merges the answer.
func exchange(from *Register, toNode string, to *Register) {
	sent, state := time.Now(), from.State()
	time.Sleep(5 * time.Millisecond)
	to.Add(state.Jobs...)
	answer := to.State()
	time.Sleep(5 * time.Millisecond)
	from.MergeAnswer(toNode, state.Sequence, sent, answer)
}

// newCluster returns the registers of three controllers.
func newCluster() (a, b, c *Register) {
	return New(3, taskDeadline), New(3, taskDeadline), New(3, taskDeadline)
}

// A cancellation may be confirmed once a majority holds it, and only as long as that was
// shown recently: another controller may have crashed since.
func TestHeldByMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, _ := newCluster()
		a.Add("wk-000001")
		if a.HeldByMajority("wk-000001") {
			t.Error("held by one of three")
		}
		exchange(a, "b", b)
		if !a.HeldByMajority("wk-000001") || !b.Contains("wk-000001") {
			t.Error("not held by two of three")
		}
		a.Add("wk-000002")
		if a.HeldByMajority("wk-000002") || a.HeldByMajority("wk-000003") {
			t.Error("held though no other controller was sent it")
		}
		time.Sleep(answerValidity)
		if a.HeldByMajority("wk-000001") {
			t.Error("still held though the answer is too old")
		}
		single := New(1, taskDeadline)
		if len(single.Add("wk-000001")) != 1 || !single.HeldByMajority("wk-000001") {
			t.Error("not held by one of one")
		}
	})
}

// newStaleCluster returns the registers of three controllers that were complete ten seconds ago.
func newStaleCluster() (a, b, c *Register) {
	a, b, c = newCluster()
	time.Sleep(5 * time.Second)
	for _, r := range []*Register{a, b, c} {
		r.MergeRead(nil, time.Now())
	}
	time.Sleep(10 * time.Second) // the key-value store refuses all
	return a, b, c
}

func expectFresh(t *testing.T, r *Register, want bool) {
	t.Helper()
	staleness, known := r.Staleness()
	if got := known && staleness < time.Second; got != want {
		t.Errorf("staleness %v, known %v; fresh wanted: %v", staleness, known, want)
	}
}

// runBubbles runs each case in simulated time.
func runBubbles(t *testing.T, cases map[string]func(*testing.T)) {
	for name, f := range cases {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
}

// A register is as fresh as its last read, or as its last exchange with enough others that
// have forgotten nothing since.
func TestStaleness(t *testing.T) {
	runBubbles(t, map[string]func(*testing.T){
		"nothing read": func(t *testing.T) {
			a, b, _ := newCluster()
			time.Sleep(10 * time.Second)
			exchange(a, "b", b)
			expectFresh(t, a, false)
		},
		"alone": func(t *testing.T) {
			a, _, _ := newStaleCluster()
			expectFresh(t, a, false)
			a.MergeRead(nil, time.Now())
			expectFresh(t, a, true)
		},
		"with one of two": func(t *testing.T) {
			a, b, _ := newStaleCluster()
			exchange(a, "b", b)
			expectFresh(t, a, true)
		},
		"late answer": func(t *testing.T) {
			a, b, _ := newStaleCluster()
			sent, state := time.Now(), b.State()
			time.Sleep(10 * time.Second)
			a.MergeAnswer("b", 0, sent, state)
			expectFresh(t, a, false)
		},
		"more jobs than it keeps": func(t *testing.T) {
			a, b, _ := newStaleCluster()
			for i := range maxJobs + 1 {
				a.Add(string(rune('A'+i/64%64)) + string(rune('A'+i%64)) + string(rune('A'+i/4096)))
			}
			exchange(a, "b", b)
			expectFresh(t, a, false)
		},
	})
}

// A new incarnation of a process has forgotten what the last one held, so it answers for nothing
// that was confirmed before it began.
func TestStalenessWithNewIncarnations(t *testing.T) {
	runBubbles(t, map[string]func(*testing.T){
		"new incarnation of the other": func(t *testing.T) {
			a, _, _ := newStaleCluster()
			b := New(3, taskDeadline)
			exchange(a, "b", b)
			time.Sleep(10 * time.Second)
			exchange(a, "b", b)
			expectFresh(t, a, false)
			exchange(b, "a", a)
			if staleness, known := b.Staleness(); !known || staleness < 20*time.Second {
				t.Errorf("staleness %v, known %v: it can know no more than the other", staleness, known)
			}
		},
		"new incarnation, and two others": func(t *testing.T) {
			_, b, c := newStaleCluster()
			a := New(3, taskDeadline)
			exchange(a, "b", b)
			expectFresh(t, a, false)
			exchange(a, "c", c)
			expectFresh(t, a, true) // both answer for all since the read
		},
	})
}

// A register that had to forget jobs too early is like that of a new incarnation: it is complete
// until no known time, and a read that was sent before does not make it complete.
func TestOverflow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, _ := newStaleCluster()
		for i := range maxJobs {
			a.Add(fmt.Sprintf("wk-%06d", i))
		}
		if _, known := a.Staleness(); !known {
			t.Error("staleness unknown though nothing was forgotten")
		}
		readSent := time.Now()
		time.Sleep(time.Millisecond)
		a.Add("wk-999999")
		if _, known := a.Staleness(); known || a.Contains("wk-000000") || !a.Contains("wk-999999") {
			t.Error("not begun anew with the job that was one too many")
		}
		a.MergeRead(nil, readSent)
		if _, known := a.Staleness(); known {
			t.Error("complete by a read of which jobs may have been forgotten")
		}
		time.Sleep(time.Millisecond)
		a.MergeRead(nil, time.Now())
		expectFresh(t, a, true)
	})
}

// A cancellation is kept for longer than its tasks may run, and then dropped.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(3, taskDeadline)
		r.Add("wk-000001")
		time.Sleep(taskDeadline + time.Second)
		if state := r.State(); len(state.Jobs) != 1 || len(r.LearnedBefore(taskDeadline)) != 1 {
			t.Errorf("%d kept", len(state.Jobs))
		}
		time.Sleep(retentionSlack)
		if state := r.State(); len(state.Jobs) != 0 || r.Contains("wk-000001") {
			t.Errorf("%d kept", len(state.Jobs))
		}
	})
}
