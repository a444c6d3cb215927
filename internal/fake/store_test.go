package fake

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// storeTest is a store with a client, in simulated time.
type storeTest struct {
	store  *Store
	client *kvstore.Client
}

// withStore runs f with a store that a client reaches over a network without faults.
func withStore(t *testing.T, f func(*testing.T, *storeTest)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		const addr, unlimited = "10.2.0.1:2379", 1e6
		network, store := NewNetwork(ctx), NewStore()
		go network.Serve(ctx, addr, store.Handle)
		synctest.Wait()
		defer synctest.Wait()
		defer cancel()
		f(t, &storeTest{store, kvstore.New(network.Dial("client"), addr, unlimited, unlimited)})
	})
}

// put writes a key, and returns the error of the transaction.
func (s *storeTest) put(key string) error {
	mutations := []kvstore.Mutation{{Put: key, Value: wire.Marshal(1)}}
	_, err := s.client.Txn(context.Background(), nil, mutations, kvstore.PriorityLease)
	return err
}

// Guards against tests that pass although changes are lost: an open watch stays open in an outage, also
// beyond its time. It returns the changes from before the outage as soon as the outage ends.
func TestWatchStaysOpenInOutage(t *testing.T) {
	withStore(t, func(t *testing.T, s *storeTest) {
		type result struct {
			events   []kvstore.Event
			revision uint64
			err      error
		}
		answered := make(chan result, 1)
		go func() {
			events, revision, err := s.client.Watch(context.Background(), "job/", 1, 10*time.Second)
			answered <- result{events, revision, err}
		}()
		time.Sleep(time.Second)
		s.store.SetFaults(StoreFaults{DownAfterPrefix: "job/"})
		if err := s.put("job/a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second) // the watch's own time is over, the client still waits
		select {
		case got := <-answered:
			t.Fatalf("watch answered in the outage: %+v", got)
		default:
		}
		ended := time.Now()
		s.store.UpdateFaults(func(faults *StoreFaults) { faults.Down = false })
		got := <-answered
		if got.err != nil || len(got.events) != 1 || got.events[0].Put != "job/a" {
			t.Errorf("watch after the outage: %+v, want the change of job/a", got)
		}
		if waited := time.Since(ended); waited > 100*time.Millisecond {
			t.Errorf("watch answered %v after the end of the outage, want at once", waited)
		}
	})
}

// Guards against tests in which the store changes during an outage: a delayed transaction that comes due
// then is applied once the outage has ended.
func TestDelayedTransactionWaitsForEndOfOutage(t *testing.T) {
	withStore(t, func(t *testing.T, s *storeTest) {
		s.store.SetFaults(StoreFaults{DelayOneWriteIn: 1})
		if err := s.put("job/a"); !errors.Is(err, kvstore.ErrUnknown) {
			t.Fatalf("delayed transaction: error %v, want ErrUnknown", err)
		}
		s.store.SetFaults(StoreFaults{Down: true})
		time.Sleep(30 * time.Second)
		if keys := s.store.Keys("job/"); len(keys) != 0 {
			t.Errorf("keys %q in the outage, want none", keys)
		}
		s.store.SetFaults(StoreFaults{})
		if keys := s.store.Keys("job/"); len(keys) != 1 {
			t.Errorf("keys %q after the outage, want the delayed one", keys)
		}
	})
}

// Guards against readers that miss keys or read the same page for ever: a page holds at least one key,
// however large its value is.
func TestPageHoldsAtLeastOneKey(t *testing.T) {
	withStore(t, func(t *testing.T, s *storeTest) {
		s.store.Put("job/a", wire.Marshal(strings.Repeat("x", maxPageBytes+1)))
		s.store.Put("job/b", wire.Marshal(1))
		page, err := s.client.List(context.Background(), "job/", "", 10, kvstore.PriorityLease)
		if err != nil || len(page.Items) != 1 || page.Items[0].Key != "job/a" || !page.More {
			t.Errorf("%d items, more %t, error %v; want job/a alone and more", len(page.Items), page.More, err)
		}
	})
}
