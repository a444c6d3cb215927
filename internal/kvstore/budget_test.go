package kvstore_test

import (
	"errors"
	"testing"
	"time"

	"tulipshelf/internal/kvstore"
)

// write spends n changes, and reports whether the client's own rate left as many.
func (s *storeTest) write(n int, priority kvstore.Priority) bool {
	s.t.Helper()
	_, err := s.client.Txn(s.ctx, nil, puts(n, "job/1"), priority)
	if err != nil && !errors.Is(err, kvstore.ErrRateLimited) {
		s.t.Fatal(err)
	}
	return err == nil
}

// Each priority leaves a part of a second's rate to the more urgent, and leases are never
// held back.
func TestBudgetByPriority(t *testing.T) {
	simulate(t, func(s *storeTest) {
		for _, test := range []struct {
			priority kvstore.Priority
			want     int
		}{
			{kvstore.PriorityLease, 100},
			{kvstore.PriorityUser, 100},
			{kvstore.PriorityScheduling, 75},
			{kvstore.PriorityBackground, 50},
		} {
			if got := s.client.WriteBudget(test.priority); got != test.want {
				t.Errorf("priority %d: %d changes, want %d", test.priority, got, test.want)
			}
		}
		// With 5 ms a request next to nothing comes back meanwhile.
		if s.write(51, kvstore.PriorityBackground) || !s.write(50, kvstore.PriorityBackground) {
			t.Error("background work may not use half of the rate")
		}
		if s.write(2, kvstore.PriorityBackground) || !s.write(24, kvstore.PriorityScheduling) {
			t.Error("scheduling may not use what background work leaves")
		}
		if s.write(3, kvstore.PriorityScheduling) || !s.write(24, kvstore.PriorityUser) {
			t.Error("users may not use what scheduling leaves")
		}
		if s.write(10, kvstore.PriorityUser) || !s.write(10, kvstore.PriorityLease) {
			t.Error("leases may not overdraw the rate")
		}
		if got := s.client.WriteBudget(kvstore.PriorityUser); got != 0 {
			t.Errorf("%d changes left of an overdrawn rate", got)
		}
		time.Sleep(2 * time.Second)
		if got := s.client.WriteBudget(kvstore.PriorityUser); got != 100 {
			t.Errorf("%d changes after a pause, want one second's worth", got)
		}
	})
}

// What is over the client's own rate is never sent, so it is refused for certain.
func TestRateLimitedIsRefused(t *testing.T) {
	simulate(t, func(s *storeTest) {
		before := s.store.Requests()
		_, err := s.client.Txn(s.ctx, nil, puts(101, "job/1"), kvstore.PriorityUser)
		if !errors.Is(err, kvstore.ErrRateLimited) || !errors.Is(err, kvstore.ErrRefused) {
			t.Errorf("%v, want ErrRateLimited, which is a refusal", err)
		}
		if sent := s.store.Requests() - before; sent != 0 {
			t.Errorf("%d requests sent", sent)
		}
	})
}

// Requests have a rate of their own, whatever they ask for.
func TestRequestBudget(t *testing.T) {
	simulate(t, func(s *storeTest) {
		s.client.SetRates(10, 100)
		requests := map[string]func() error{
			"get": func() error {
				_, err := s.client.Get(s.ctx, "job/1", kvstore.PriorityUser)
				return err
			},
			"list": func() error {
				_, err := s.client.List(s.ctx, "job/", "", 1, kvstore.PriorityUser)
				return err
			},
			"transaction": func() error {
				_, err := s.client.Txn(s.ctx, nil, puts(1, "job/1"), kvstore.PriorityUser)
				return err
			},
			"changes": func() error {
				_, _, err := s.client.Changes(s.ctx, "job/", 0)
				return err
			},
		}
		s.mustPut("job/1", 0)
		for name, request := range requests {
			time.Sleep(2 * time.Second) // one second's worth is there again
			done := 0
			for request() == nil {
				done++
			}
			if done < 10 || done > 11 {
				t.Errorf("%s: %d requests at 10 a second", name, done)
			}
			if err := request(); !errors.Is(err, kvstore.ErrRateLimited) {
				t.Errorf("%s: %v, want ErrRateLimited", name, err)
			}
			if _, err := s.client.Grant(s.ctx, time.Second); err != nil {
				t.Errorf("a lease is held back: %v", err)
			}
		}
	})
}

func TestSetRates(t *testing.T) {
	simulate(t, func(s *storeTest) {
		s.client.SetRates(100, 20)
		time.Sleep(time.Second)
		if got := s.client.WriteBudget(kvstore.PriorityScheduling); got != 15 {
			t.Errorf("%d changes, want three quarters of 20", got)
		}
	})
}
