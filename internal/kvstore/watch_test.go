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
			t.Fatalf("events %+v up to %d, %v", events, reached, err)
		}
		if waited := time.Since(began); waited < time.Second || waited > 2*time.Second {
			t.Errorf("answered after %v, want when the change came", waited)
		}
		began = time.Now()
		events, again, err := s.client.Watch(s.ctx, "job/", reached, 5*time.Second)
		if err != nil || len(events) != 0 || again != reached {
			t.Errorf("without changes: events %+v up to %d, %v", events, again, err)
		}
		if waited := time.Since(began); waited < 5*time.Second {
			t.Errorf("answered without a change after %v", waited)
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
			t.Errorf("events %+v up to %d, %v", events, reached, err)
		}
		if waited := time.Since(began); waited > 100*time.Millisecond {
			t.Errorf("answered after %v, want at once", waited)
		}
	})
}

// A node that has fallen behind has to read the keys anew, whether the service has dropped
// the changes or has more of them than one response may carry.
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
					t.Errorf("changes: %v, want ErrCompacted", err)
				}
				if _, _, err := s.client.Watch(s.ctx, "job/", start, time.Second); !errors.Is(err, kvstore.ErrCompacted) {
					t.Errorf("watch: %v, want ErrCompacted", err)
				}
				page, err := s.client.List(s.ctx, "job/", "", 10, kvstore.PriorityUser)
				if err != nil {
					t.Fatal(err)
				}
				if events, _, err := s.client.Changes(s.ctx, "job/", page.Revision); err != nil || len(events) != 0 {
					t.Errorf("after the keys were read: events %+v, %v", events, err)
				}
			})
		})
	}
}
