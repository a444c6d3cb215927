package cancellation

import (
	"testing"
	"testing/synctest"
	"time"
)

// exchange lets a tell b what it knows and hear b's answer.
func exchange(a *Register, name string, b *Register) {
	sent, s := time.Now(), a.State()
	time.Sleep(5 * time.Millisecond)
	b.Add(s.Jobs...)
	theirs := b.State()
	time.Sleep(5 * time.Millisecond)
	a.MergeAnswer(name, s.Sequence, sent, theirs)
}

func three() (a, b, c *Register) {
	return New(3, time.Minute), New(3, time.Minute), New(3, time.Minute)
}

// A cancellation may be told once a majority holds it, and only as long as that was
// shown lately: the other may have ended since.
func TestHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, _ := three()
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
			t.Error("held though nobody was told")
		}
		time.Sleep(heldFor)
		if a.HeldByMajority("wk-000001") {
			t.Error("still held after a silence")
		}
		if one := New(1, time.Minute); len(one.Add("wk-000001")) != 1 || !one.HeldByMajority("wk-000001") {
			t.Error("not held by one of one")
		}
	})
}

// What a controller knows is as fresh as its last read, or the last exchange with enough
// others that remember all since then.
func TestAge(t *testing.T) {
	fresh := func(t *testing.T, r *Register, want bool) {
		t.Helper()
		d, ok := r.Staleness()
		if got := ok && d < time.Second; got != want {
			t.Errorf("age %v, known %v; fresh wanted: %v", d, ok, want)
		}
	}
	begin := func() (a, b, c *Register) {
		a, b, c = three()
		time.Sleep(5 * time.Second)
		for _, r := range []*Register{a, b, c} {
			r.MergeRead(nil, time.Now())
		}
		time.Sleep(10 * time.Second) // the state service refuses all
		return a, b, c
	}
	for name, f := range map[string]func(*testing.T){
		"nothing read": func(t *testing.T) {
			a, b, _ := three()
			time.Sleep(10 * time.Second)
			exchange(a, "b", b)
			fresh(t, a, false)
		},
		"alone": func(t *testing.T) {
			a, _, _ := begin()
			fresh(t, a, false)
			a.MergeRead(nil, time.Now())
			fresh(t, a, true)
		},
		"with one of two": func(t *testing.T) {
			a, b, _ := begin()
			exchange(a, "b", b)
			fresh(t, a, true)
		},
		"that one has begun anew": func(t *testing.T) {
			a, _, _ := begin()
			b := New(3, time.Minute)
			exchange(a, "b", b)
			time.Sleep(10 * time.Second)
			exchange(a, "b", b)
			fresh(t, a, false)
			exchange(b, "a", a)
			if d, ok := b.Staleness(); !ok || d < 20*time.Second {
				t.Errorf("age %v, known %v: it can know no more than the other", d, ok)
			}
		},
		"begun anew, and two others": func(t *testing.T) {
			_, b, c := begin()
			a := New(3, time.Minute)
			exchange(a, "b", b)
			fresh(t, a, false)
			exchange(a, "c", c)
			fresh(t, a, true) // both account for all since the read
		},
		"a late answer": func(t *testing.T) {
			a, b, _ := begin()
			sent, s := time.Now(), b.State()
			time.Sleep(10 * time.Second)
			a.MergeAnswer("b", 0, sent, s)
			fresh(t, a, false)
		},
		"more than it keeps": func(t *testing.T) {
			a, b, _ := begin()
			for i := range maxKept + 1 {
				a.Add(string(rune('A'+i/64%64)) + string(rune('A'+i%64)) + string(rune('A'+i/4096)))
			}
			exchange(a, "b", b)
			fresh(t, a, false)
		},
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
	}
}

// A cancellation is kept for longer than its tasks may last, and then let go.
func TestKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(3, time.Minute)
		a.Add("wk-000001")
		time.Sleep(time.Minute + time.Second)
		if s := a.State(); len(s.Jobs) != 1 || len(a.LearnedBefore(time.Minute)) != 1 {
			t.Errorf("%d kept", len(s.Jobs))
		}
		time.Sleep(beyond)
		if s := a.State(); len(s.Jobs) != 0 || a.Contains("wk-000001") {
			t.Errorf("%d kept", len(s.Jobs))
		}
	})
}
