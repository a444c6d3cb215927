package kvstore_test

import (
	"errors"
	"testing"
	"time"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// grant returns a lease with a key attached to it.
func (s *storeTest) grant(ttl time.Duration, key string) uint64 {
	s.t.Helper()
	lease, err := s.client.Grant(s.ctx, ttl)
	if err != nil {
		s.t.Fatal(err)
	}
	onLease := kvstore.Mutation{Put: key, Value: wire.Marshal(0), Lease: lease}
	if _, err := s.client.Txn(s.ctx, nil, []kvstore.Mutation{onLease}, kvstore.PriorityLease); err != nil {
		s.t.Fatal(err)
	}
	return lease
}

func TestLeaseExpiry(t *testing.T) {
	simulate(t, func(s *storeTest) {
		lease := s.grant(2*time.Second, "lead/holder")
		for range 5 {
			time.Sleep(time.Second)
			if err := s.client.Extend(s.ctx, lease); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(1900 * time.Millisecond)
		if !s.exists("lead/holder") {
			t.Error("the key was deleted 1.9 s after the last extension of a 2 s lease")
		}
		time.Sleep(200 * time.Millisecond)
		if s.exists("lead/holder") {
			t.Error("the key still exists 2.1 s after the last extension of a 2 s lease")
		}
		if err := s.client.Extend(s.ctx, lease); !errors.Is(err, kvstore.ErrNotFound) {
			t.Errorf("extension of an expired lease: error %v, want ErrNotFound", err)
		}
	})
}

func TestRevoke(t *testing.T) {
	simulate(t, func(s *storeTest) {
		lease := s.grant(time.Minute, "lead/holder")
		if err := s.client.Revoke(s.ctx, lease); err != nil {
			t.Fatal(err)
		}
		if s.exists("lead/holder") {
			t.Error("the key still exists after its lease was revoked")
		}
		if err := s.client.Revoke(s.ctx, lease); !errors.Is(err, kvstore.ErrNotFound) {
			t.Errorf("second revocation: error %v, want ErrNotFound", err)
		}
	})
}
