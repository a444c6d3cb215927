package kvstore_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/kvstore"
)

func TestWatch(t *testing.T) {
	simulate(t, func(s *storeTest) {
		start := s.mustPut("job/1", "first")
		time.AfterFunc(time.Second, func() {
			s.mustPut("machine/1", "of no interest")
			s.mustPut("job/1", "second")
		})
		began := time.Now()
		events, reached, err := s.client.Watch(s.ctx, "job/", start, 5*time.Second)
		if err != nil || len(events) != 1 || events[0].Put != "job/1" || events[0].Revision <= start || reached < events[0].Revision {
			t.Fatalf("watch: events %+v up to revision %d, error %v", events, reached, err)
		}
		if waited := time.Since(began); waited < time.Second || waited > 2*time.Second {
			t.Errorf("response after %v, want 1 s to 2 s: when the change was made", waited)
		}
		began = time.Now()
		events, again, err := s.client.Watch(s.ctx, "job/", reached, 5*time.Second)
		if err != nil || len(events) != 0 || again != reached {
			t.Errorf("watch without changes: events %+v up to revision %d, error %v", events, again, err)
		}
		if waited := time.Since(began); waited < 5*time.Second {
			t.Errorf("response without a change after %v, want at least 5 s", waited)
		}
	})
}

func TestChanges(t *testing.T) {
	simulate(t, func(s *storeTest) {
		start := s.mustPut("job/1", 0)
		if _, err := s.client.Txn(s.ctx, nil, []kvstore.Mutation{{Delete: "job/1"}}, kvstore.PriorityUser); err != nil {
			t.Fatal(err)
		}
		last := s.mustPut("job/2", 0)
		began := time.Now()
		events, reached, err := s.client.Changes(s.ctx, "job/", start)
		if err != nil || len(events) != 2 || events[0].Delete != "job/1" || events[1].Put != "job/2" || reached != last {
			t.Errorf("changes: events %+v up to revision %d, error %v", events, reached, err)
		}
		if waited := time.Since(began); waited > 100*time.Millisecond {
			t.Errorf("response after %v, want at most 100 ms", waited)
		}
	})
}

// A node that has fallen behind has to list the keys again, both when the store has dropped the changes
// and when they exceed one response. Without ErrCompacted it would request the same changes again
// and again.
func TestChangesTooOldOrTooMany(t *testing.T) {
	for _, test := range []struct {
		name   string
		writes int
		value  any
	}{
		{"dropped", 10_001, 0},
		{"more than a response may carry", 100, strings.Repeat("x", 50_000)},
	} {
		t.Run(test.name, func(t *testing.T) {
			simulate(t, func(s *storeTest) {
				start := s.mustPut("job/1", 0)
				for range test.writes {
					time.Sleep(20 * time.Millisecond)
					s.mustPut("job/1", test.value)
				}
				if _, _, err := s.client.Changes(s.ctx, "job/", start); !errors.Is(err, kvstore.ErrCompacted) {
					t.Errorf("changes: error %v, want ErrCompacted", err)
				}
				if _, _, err := s.client.Watch(s.ctx, "job/", start, time.Second); !errors.Is(err, kvstore.ErrCompacted) {
					t.Errorf("watch: error %v, want ErrCompacted", err)
				}
				page, err := s.client.List(s.ctx, "job/", "", 10, kvstore.PriorityUser)
				if err != nil {
					t.Fatal(err)
				}
				if events, _, err := s.client.Changes(s.ctx, "job/", page.Revision); err != nil || len(events) != 0 {
					t.Errorf("changes after the list: events %+v, error %v, want neither", events, err)
				}
			})
		})
	}
}
