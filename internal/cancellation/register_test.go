package cancellation

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// taskDeadline is the time after a confirmation within which the job's tasks must be gone.
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

// Guards against confirming a cancellation that no majority holds. Another controller may not have
// been sent it, or may have crashed and lost it after an answer that is no longer recent.
func TestHeldByMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, _ := newCluster()
		a.Add("wk-000001")
		if a.HeldByMajority("wk-000001") {
			t.Error("HeldByMajority is true, though only one of three controllers holds the job")
		}
		exchange(a, "b", b)
		if !a.HeldByMajority("wk-000001") || !b.Contains("wk-000001") {
			t.Error("HeldByMajority is false or b lacks the job after an exchange between two of three controllers")
		}
		a.Add("wk-000002")
		if a.HeldByMajority("wk-000002") || a.HeldByMajority("wk-000003") {
			t.Error("HeldByMajority is true, though no other controller was sent the job")
		}
		time.Sleep(answerValidity)
		if a.HeldByMajority("wk-000001") {
			t.Error("HeldByMajority is true, though the only answer is answerValidity old")
		}
		single := New(1, taskDeadline)
		if len(single.Add("wk-000001")) != 1 || !single.HeldByMajority("wk-000001") {
			t.Error("job not added or HeldByMajority false in a cluster of one controller")
		}
	})
}

// newStaleCluster returns the registers of three controllers that were last complete ten seconds ago.
func newStaleCluster() (a, b, c *Register) {
	a, b, c = newCluster()
	time.Sleep(5 * time.Second)
	for _, r := range []*Register{a, b, c} {
		r.MergeRead(nil, time.Now())
	}
	time.Sleep(10 * time.Second) // no reads meanwhile: the key-value store is unavailable
	return a, b, c
}

// expectFresh checks whether a register is known to have been complete less than a second ago.
func expectFresh(t *testing.T, r *Register, want bool) {
	t.Helper()
	staleness, known := r.Staleness()
	if got := known && staleness < time.Second; got != want {
		t.Errorf("staleness %v, known %v: fresh (below 1 s) is %v, want %v", staleness, known, got, want)
	}
}

// runBubbles runs each case in simulated time.
func runBubbles(t *testing.T, cases map[string]func(*testing.T)) {
	for name, f := range cases {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
}

// Guards against a wrong bound on the staleness of a register. A register is as fresh as its last
// read, or as its last exchange with a majority of the controllers (this one included) that has
// dropped no job too early since the register was last complete.
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

// Guards against counting the answers of a new incarnation of a process for cancellations that were
// confirmed before it started. It does not hold what the incarnation before it held.
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
				t.Errorf("staleness %v, known %v; want at least 20s, as for the other controller", staleness, known)
			}
		},
		"new incarnation, and two others": func(t *testing.T) {
			_, b, c := newStaleCluster()
			a := New(3, taskDeadline)
			exchange(a, "b", b)
			expectFresh(t, a, false)
			exchange(a, "c", c)
			expectFresh(t, a, true) // the answers of b and c cover all cancellations since the read
		},
	})
}

// Guards against a register that counts as complete after it dropped jobs before the end of their
// retention period, because it was full. Like the register of a new incarnation it is then complete
// up to no known time, and a read that was sent before the drop does not make it complete.
func TestOverflow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _, _ := newStaleCluster()
		for i := range maxJobs {
			a.Add(fmt.Sprintf("wk-%06d", i))
		}
		if _, known := a.Staleness(); !known {
			t.Error("staleness unknown, though no job was dropped")
		}
		readSent := time.Now()
		time.Sleep(time.Millisecond)
		a.Add("wk-999999")
		if _, known := a.Staleness(); known || a.Contains("wk-000000") || !a.Contains("wk-999999") {
			t.Error("register not reset to the one job that exceeded maxJobs")
		}
		a.MergeRead(nil, readSent)
		if _, known := a.Staleness(); known {
			t.Error("staleness known after a read whose jobs may have been dropped")
		}
		time.Sleep(time.Millisecond)
		a.MergeRead(nil, time.Now())
		expectFresh(t, a, true)
	})
}

// Guards against dropping a cancellation while the job's tasks may still run, and against keeping it
// after its retention period.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(3, taskDeadline)
		r.Add("wk-000001")
		time.Sleep(taskDeadline + time.Second)
		if state := r.State(); len(state.Jobs) != 1 || len(r.AddedBefore(taskDeadline)) != 1 {
			t.Errorf("%d jobs in State after taskDeadline, want 1 there and in AddedBefore", len(state.Jobs))
		}
		time.Sleep(retentionSlack)
		if state := r.State(); len(state.Jobs) != 0 || r.Contains("wk-000001") {
			t.Errorf("%d jobs in State after the retention period, want none there and Contains false", len(state.Jobs))
		}
	})
}
