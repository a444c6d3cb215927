package kvstore_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

func TestCompareAndSwap(t *testing.T) {
	simulate(t, func(s *storeTest) {
		absent := []kvstore.Compare{{Key: "job/1"}}
		created, err := s.client.Txn(s.ctx, absent, []kvstore.Mutation{put("job/1", "first")}, kvstore.PriorityUser)
		if err != nil {
			t.Fatal(err)
		}
		item, err := s.client.Get(s.ctx, "job/1", kvstore.PriorityUser)
		var value string
		if err != nil || wire.UnmarshalValue(item.Value, &value) != nil {
			t.Fatalf("get: item %+v, error %v", item, err)
		}
		if item.Key != "job/1" || value != "first" || item.Revision != created {
			t.Errorf("got %q = %q at revision %d, want job/1 = first at revision %d", item.Key, value, item.Revision, created)
		}

		var conflict *kvstore.ConflictError
		both := []kvstore.Compare{{Key: "job/1"}, {Key: "job/2"}}
		_, err = s.client.Txn(s.ctx, both, []kvstore.Mutation{put("job/2", "second")}, kvstore.PriorityUser)
		if !errors.As(err, &conflict) || !slices.Equal(conflict.Keys, []string{"job/1"}) {
			t.Errorf("create of a key that exists: error %v, want a conflict on job/1 alone", err)
		}
		if s.exists("job/2") {
			t.Error("a transaction whose compare failed was applied in part")
		}

		unchanged := []kvstore.Compare{{Key: "job/1", Revision: created}}
		if _, err := s.client.Txn(s.ctx, unchanged, []kvstore.Mutation{{Delete: "job/1"}}, kvstore.PriorityUser); err != nil {
			t.Error(err)
		}
		if _, err := s.client.Get(s.ctx, "job/1", kvstore.PriorityUser); !errors.Is(err, kvstore.ErrNotFound) {
			t.Errorf("get of a deleted key: error %v, want ErrNotFound", err)
		}
	})
}

func TestList(t *testing.T) {
	simulate(t, func(s *storeTest) {
		var last uint64
		for i := range 5 {
			last = s.mustPut(fmt.Sprintf("job/%d", i), i)
		}
		s.store.Put("machine/1", wire.Marshal(0))
		var keys []string
		for after, more := "", true; more; {
			page, err := s.client.List(s.ctx, "job/", after, 2, kvstore.PriorityUser)
			if err != nil {
				t.Fatal(err)
			}
			if len(page.Items) > 2 || page.Revision <= last {
				t.Fatalf("page of %d keys at revision %d, want at most 2 after revision %d", len(page.Items), page.Revision, last)
			}
			for _, item := range page.Items {
				keys = append(keys, item.Key)
			}
			after, more = keys[len(keys)-1], page.More
		}
		if want := []string{"job/0", "job/1", "job/2", "job/3", "job/4"}; !slices.Equal(keys, want) {
			t.Errorf("listed %v, want %v", keys, want)
		}
	})
}

// A transaction that fails with ErrRefused must not have been applied. One that was sent and got no
// response may have been, so it must fail with ErrUnknown and not with ErrRefused.
func TestRefusedOrUnknown(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   func(s *storeTest)
		want    error
		applied bool
	}{
		{"the answer is lost", func(s *storeTest) { s.store.SetFaults(fake.StoreFaults{LoseNextResponses: 1}) }, kvstore.ErrUnknown, true},
		{"the request is delayed", func(s *storeTest) { s.store.SetFaults(fake.StoreFaults{HoldNext: 1, HoldPrefix: "job/"}) }, kvstore.ErrUnknown, false},
		{"the answer comes too late", func(s *storeTest) { s.store.SetFaults(fake.StoreFaults{Delay: 2 * time.Second}) }, kvstore.ErrUnknown, false},
		{"the service is down", func(s *storeTest) { s.store.SetFaults(fake.StoreFaults{Down: true}) }, kvstore.ErrRefused, false},
		{"the service cannot be reached", func(s *storeTest) {
			s.network.SetFaults(fake.NetworkFaults{Partition: func(string, string) bool { return true }})
		}, kvstore.ErrRefused, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			simulate(t, func(s *storeTest) {
				test.fault(s)
				_, err := s.client.Txn(s.ctx, nil, puts(1, "job/1"), kvstore.PriorityUser)
				if !errors.Is(err, test.want) {
					t.Errorf("error %v, want %v", err, test.want)
				}
				if errors.Is(err, kvstore.ErrRefused) && errors.Is(err, kvstore.ErrUnknown) {
					t.Errorf("error is both ErrRefused and ErrUnknown: %v", err)
				}
				if s.exists("job/1") != test.applied {
					t.Errorf("applied: %v, want %v", !test.applied, test.applied)
				}
			})
		})
	}
}

func TestServedWithin(t *testing.T) {
	simulate(t, func(s *storeTest) {
		if s.client.ServedWithin(time.Hour) {
			t.Error("served before the first request")
		}
		s.mustPut("job/1", 0)
		time.Sleep(3 * time.Second)
		s.store.SetFaults(fake.StoreFaults{Down: true})
		if _, err := s.client.Get(s.ctx, "job/1", kvstore.PriorityUser); !errors.Is(err, kvstore.ErrRefused) {
			t.Errorf("get in an outage: error %v, want ErrRefused", err)
		}
		if s.client.ServedWithin(2*time.Second) || !s.client.ServedWithin(4*time.Second) {
			t.Error("a request that was refused counts as served")
		}
		s.store.SetFaults(fake.StoreFaults{})
		if _, err := s.client.Get(s.ctx, "job/2", kvstore.PriorityUser); !errors.Is(err, kvstore.ErrNotFound) {
			t.Errorf("get of an absent key: error %v, want ErrNotFound", err)
		}
		if !s.client.ServedWithin(time.Second) {
			t.Error("a request that was carried out does not count as served")
		}
	})
}

// OnRefused tells a transaction over the size limits from one over the rate limits. It is not called for
// an ended lease or an outage, which say nothing about the limits.
func TestOnRefused(t *testing.T) {
	simulate(t, func(s *storeTest) {
		var tooLarge, tooMany int
		s.client.OnRefused = func(large bool) {
			if large {
				tooLarge++
			} else {
				tooMany++
			}
		}
		want := func(what string, wantLarge, wantMany int) {
			t.Helper()
			if tooLarge != wantLarge || tooMany != wantMany {
				t.Errorf("after %s: OnRefused called %d times for size and %d times for rate, want %d and %d", what, tooLarge, tooMany, wantLarge, wantMany)
			}
		}
		s.store.SetLimits(fake.StoreLimits{ValueBytes: 100, TxnOps: 10, WriteRPS: 2})
		if _, err := s.client.Txn(s.ctx, nil, []kvstore.Mutation{put("job/1", strings.Repeat("x", 200))}, kvstore.PriorityUser); err == nil {
			t.Error("a value over the size limit was written")
		}
		want("a large value", 1, 0)
		if _, err := s.client.Txn(s.ctx, nil, puts(3, "job/1"), kvstore.PriorityUser); !errors.Is(err, kvstore.ErrRefused) {
			t.Errorf("transaction over the write rate: error %v, want ErrRefused", err)
		}
		want("three mutations at two a second", 1, 1)
		onExpired := kvstore.Mutation{Put: "job/1", Value: wire.Marshal(0), Lease: 99}
		if _, err := s.client.Txn(s.ctx, nil, []kvstore.Mutation{onExpired}, kvstore.PriorityUser); !errors.Is(err, kvstore.ErrNoSuchLease) {
			t.Errorf("put on a lease that does not exist: error %v, want ErrNoSuchLease", err)
		}
		want("a put on a lease that does not exist", 1, 1)
		s.store.SetFaults(fake.StoreFaults{Down: true})
		if _, err := s.client.Txn(s.ctx, nil, puts(1, "job/1"), kvstore.PriorityUser); !errors.Is(err, kvstore.ErrRefused) {
			t.Errorf("transaction in an outage: error %v, want ErrRefused", err)
		}
		want("an outage", 1, 1)
	})
}
