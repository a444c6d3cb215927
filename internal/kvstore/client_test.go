package kvstore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tulipshelf/internal/fake"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

const storeAddr = "10.0.0.1:2379"

// storeTest is the environment of one test: a fake key-value store and one client of it, in
// simulated time.
type storeTest struct {
	t       *testing.T
	ctx     context.Context // cancelled at the end of the test
	network *fake.Network
	store   *fake.Store
	client  *kvstore.Client
}

// simulate runs a test in simulated time. Its client may use 100 requests and 100 mutations a second.
func simulate(t *testing.T, test func(s *storeTest)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer func() {
			stop()
			time.Sleep(time.Minute) // lets requests in flight end
		}()
		network, store := fake.NewNetwork(ctx), fake.NewStore()
		go network.Serve(ctx, storeAddr, store.Handle)
		synctest.Wait()
		test(&storeTest{t, ctx, network, store, kvstore.New(network.Dial("client"), storeAddr, 100, 100)})
	})
}

func put(key string, value any) kvstore.Mutation {
	return kvstore.Mutation{Put: key, Value: wire.Marshal(value)}
}

// puts returns n mutations that write the same key.
func puts(n int, key string) []kvstore.Mutation {
	var all []kvstore.Mutation
	for range n {
		all = append(all, put(key, 0))
	}
	return all
}

// mustPut writes a key without any compare, and returns the revision.
func (s *storeTest) mustPut(key string, value any) uint64 {
	s.t.Helper()
	revision, err := s.client.Txn(s.ctx, nil, []kvstore.Mutation{put(key, value)}, kvstore.PriorityUser)
	if err != nil {
		s.t.Fatalf("put of %s: %v", key, err)
	}
	return revision
}

// exists reports whether the store has a key with this prefix, without a request of the client.
func (s *storeTest) exists(key string) bool { return len(s.store.Keys(key)) > 0 }
