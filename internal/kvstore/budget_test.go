package kvstore_test

import (
	"errors"
	"testing"
	"time"

	"tulipshelf/internal/kvstore"
)

// write sends a transaction with n mutations, and reports whether the client's rate budget allowed
// it. Any other error ends the test.
func (s *storeTest) write(n int, priority kvstore.Priority) bool {
	s.t.Helper()
	_, err := s.client.Txn(s.ctx, nil, puts(n, "job/1"), priority)
	if err != nil && !errors.Is(err, kvstore.ErrRateLimited) {
		s.t.Fatal(err)
	}
	return err == nil
}

// Each priority leaves a part of one second's rate to higher priorities. Without that, lower
// priorities would use up the rate and user requests would be refused. PriorityLease is never
// refused.
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
				t.Errorf("priority %d: %d mutations available, want %d", test.priority, got, test.want)
			}
		}
		// A request takes 5 ms, during which next to nothing is refilled.
		if s.write(51, kvstore.PriorityBackground) || !s.write(50, kvstore.PriorityBackground) {
			t.Error("background work cannot use exactly half of the rate")
		}
		if s.write(2, kvstore.PriorityBackground) || !s.write(24, kvstore.PriorityScheduling) {
			t.Error("scheduling cannot use exactly what background work leaves, up to three quarters of the rate")
		}
		if s.write(3, kvstore.PriorityScheduling) || !s.write(24, kvstore.PriorityUser) {
			t.Error("users cannot use exactly what scheduling leaves")
		}
		if s.write(10, kvstore.PriorityUser) || !s.write(10, kvstore.PriorityLease) {
			t.Error("over the rate: want users refused and leases allowed")
		}
		if got := s.client.WriteBudget(kvstore.PriorityUser); got != 0 {
			t.Errorf("%d mutations available of an overdrawn rate, want 0", got)
		}
		time.Sleep(2 * time.Second)
		if got := s.client.WriteBudget(kvstore.PriorityUser); got != 100 {
			t.Errorf("%d mutations available after a pause, want 100, one second's rate", got)
		}
	})
}

// A request over the client's own rate is never sent. Its error wraps ErrRefused as well, which says
// that the request was not executed.
func TestRateLimitedIsRefused(t *testing.T) {
	simulate(t, func(s *storeTest) {
		before := s.store.Requests()
		_, err := s.client.Txn(s.ctx, nil, puts(101, "job/1"), kvstore.PriorityUser)
		if !errors.Is(err, kvstore.ErrRateLimited) || !errors.Is(err, kvstore.ErrRefused) {
			t.Errorf("transaction over the rate: error %v, want ErrRateLimited, wrapping ErrRefused", err)
		}
		if sent := s.store.Requests() - before; sent != 0 {
			t.Errorf("%d requests sent, want 0", sent)
		}
	})
}

// Requests of every kind count against the rate of requests, apart from that of mutations. Lease
// requests are exempt.
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
			time.Sleep(2 * time.Second) // refills the bucket
			done := 0
			for request() == nil {
				done++
			}
			if done < 10 || done > 11 {
				t.Errorf("%s: %d requests allowed at 10 a second, want 10 or 11", name, done)
			}
			if err := request(); !errors.Is(err, kvstore.ErrRateLimited) {
				t.Errorf("%s over the rate: error %v, want ErrRateLimited", name, err)
			}
			if _, err := s.client.Grant(s.ctx, time.Second); err != nil {
				t.Errorf("grant of a lease over the rate: %v", err)
			}
		}
	})
}

// Guards against polls that are refused because of submissions that were not sent: a transaction over the
// rate of mutations takes nothing from the rate of requests.
func TestRefusedTransactionsTakeNoRequests(t *testing.T) {
	simulate(t, func(s *storeTest) {
		s.client.SetRates(10, 1)
		time.Sleep(2 * time.Second) // refills the buckets
		if !s.write(1, kvstore.PriorityUser) {
			t.Fatal("first transaction refused")
		}
		for range 20 {
			if s.write(1, kvstore.PriorityUser) {
				t.Fatal("transaction over the rate of mutations allowed")
			}
		}
		for i := range 9 {
			if _, err := s.client.List(s.ctx, "job/", "", 1, kvstore.PriorityUser); err != nil {
				t.Fatalf("read %d of 9 after refused transactions: %v", i+1, err)
			}
		}
	})
}

// Guards against a rate of mutations that is exceeded for long: a lease request with more mutations than
// the bucket holds counts with all of them.
func TestLargeLeaseRequestIsCounted(t *testing.T) {
	simulate(t, func(s *storeTest) {
		s.client.SetRates(10, 2)
		time.Sleep(2 * time.Second) // refills the buckets
		if !s.write(6, kvstore.PriorityLease) {
			t.Fatal("lease request refused")
		}
		time.Sleep(1900 * time.Millisecond)
		if got := s.client.WriteBudget(kvstore.PriorityUser); got != 0 {
			t.Errorf("%d mutations available 1.9 s after 6 mutations at 2 a second, want 0", got)
		}
	})
}

func TestSetRates(t *testing.T) {
	simulate(t, func(s *storeTest) {
		s.client.SetRates(100, 20)
		time.Sleep(time.Second)
		if got := s.client.WriteBudget(kvstore.PriorityScheduling); got != 15 {
			t.Errorf("%d mutations available, want 15, three quarters of 20", got)
		}
	})
}
