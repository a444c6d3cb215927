package fake

// The key-value store: revisions, conditional transactions and leases. Its watches are in store_watch.go, its
// faults and limits in store_faults.go.

import (
	"context"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

const (
	// storeLatency is the processing time of each request.
	storeLatency = 5 * time.Millisecond
	// maxRetainedEvents is the number of latest changes that the store retains for watches.
	maxRetainedEvents = 10_000
	// Limits of a page of a listing: the number of keys, and the sum of the sizes of the values.
	maxPageKeys  = 1000
	maxPageBytes = 512 << 10
)

// Store is an in-memory key-value store with leases and watches.
type Store struct {
	mu                sync.Mutex // guards the fields below
	rev               uint64     // current revision; 1 for a new store
	keys              map[string]entry
	events            []kvstore.Event // latest changes, at most maxRetainedEvents, oldest first
	compactedRevision uint64          // revision of the latest change no longer in events; 0: none was removed
	changed           chan struct{}   // closed and replaced at each change
	leases            map[uint64]*lease
	lastLease         uint64
	faults            StoreFaults
	random            *rand.Rand   // selects the responses that LoseOneResponseIn loses
	held              []func()     // functions that apply the transactions held back by HoldNext
	dueInOutage       [][]byte     // bodies of late transactions that came due in an outage, oldest first
	limits            *StoreLimits // nil: only maxBodyBytes
	writes            *rate.Limiter
	refusals          StoreRefusals
	counts            storeCounts
}

// storeCounts counts requests since the start.
type storeCounts struct {
	requests       int
	transactions   int            // transactions that did not exceed the limits
	unacknowledged int            // transactions without a response
	mutations      map[string]int // mutations by key, also of transactions whose compares failed
}

// entry is a stored value.
type entry struct {
	value wire.Raw
	rev   uint64
	lease uint64 // ID of the lease with which the key is deleted; 0: none
}

// lease is a lease that has not expired.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore returns an empty store without limits.
func NewStore() *Store {
	return &Store{keys: map[string]entry{}, changed: make(chan struct{}), leases: map[uint64]*lease{}, rev: 1,
		counts: storeCounts{mutations: map[string]int{}},
		random: rand.New(rand.NewPCG(7, 11))} // arbitrary fixed seed
}

// Put writes a key without an event for watches, as if another client had written it before the test
// began.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.keys[key] = entry{value: value, rev: s.rev}
}

// MutationsOf returns the number of mutations of keys with a prefix in the transactions executed so far,
// including those whose compares failed.
func (s *Store) MutationsOf(prefix string) (count int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, mutations := range s.counts.mutations {
		if strings.HasPrefix(key, prefix) {
			count += mutations
		}
	}
	return count
}

// Requests returns the number of requests received so far.
func (s *Store) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.requests
}

// Keys returns the keys with a prefix in ascending order.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sortedKeys(prefix)
}

// sortedKeys returns the keys with a prefix in ascending order. The caller holds mu.
func (s *Store) sortedKeys(prefix string) []string {
	var keys []string
	for key := range s.keys {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// Handle answers a request to the store.
func (s *Store) Handle(ctx context.Context, req *wire.Request) wire.Response {
	s.mu.Lock()
	s.counts.requests++
	delay := s.faults.Delay
	s.mu.Unlock()
	time.Sleep(storeLatency + delay)
	query := parseQuery(req.Query)
	if req.Path == "/changes" {
		return s.watch(ctx, query)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return wire.Response{Status: wire.StatusServiceUnavailable}
	}
	switch {
	case req.Method == wire.MethodGet && req.Path == "/keys":
		return s.list(query)
	case req.Method == wire.MethodGet && strings.HasPrefix(req.Path, "/keys/"):
		return s.get(strings.TrimPrefix(req.Path, "/keys/"))
	case req.Path == "/txn":
		return s.transactWithFaults(append([]byte(nil), req.Body...))
	case req.Method == wire.MethodPost && req.Path == "/leases":
		return s.grantLease(req.Body)
	case strings.HasPrefix(req.Path, "/leases/"):
		text, extend := strings.CutSuffix(strings.TrimPrefix(req.Path, "/leases/"), "/extend")
		id, _ := strconv.ParseUint(text, 10, 64)
		if extend {
			return s.extendLease(id)
		}
		return s.revokeLease(id)
	}
	return wire.Response{Status: wire.StatusBadRequest}
}

// ok returns a response with status OK and a value as its body.
func ok(v any) wire.Response { return wire.Response{Status: wire.StatusOK, Body: wire.Marshal(v)} }

// parseQuery returns the parameters of a query string by name.
func parseQuery(text string) map[string]string {
	parameters := map[string]string{}
	for _, part := range strings.Split(text, "&") {
		name, value, _ := strings.Cut(part, "=")
		parameters[name] = value
	}
	return parameters
}

// list responds with a page of the keys that have a prefix and follow a key. The caller holds mu.
func (s *Store) list(query map[string]string) wire.Response {
	limit, _ := strconv.Atoi(query["limit"])
	page, size := kvstore.Page{Revision: s.rev}, 0
	for _, key := range s.sortedKeys(query["starts"]) {
		if key <= query["after"] {
			continue
		}
		stored := s.keys[key]
		size += len(stored.value)
		isTooLarge := size > maxPageBytes && len(page.Items) > 0 // a page holds at least one key
		if isTooLarge || len(page.Items) == min(limit, maxPageKeys) {
			page.More = true
			break
		}
		page.Items = append(page.Items, kvstore.Item{Key: key, Value: stored.value, Revision: stored.rev})
	}
	return ok(page)
}

// get responds with the value and revision of a key. The caller holds mu.
func (s *Store) get(key string) wire.Response {
	stored, found := s.keys[key]
	if !found {
		return wire.Response{Status: wire.StatusNotFound}
	}
	return ok(kvstore.Item{Key: key, Value: stored.value, Revision: stored.rev})
}

// grantLease creates a lease with the requested time to live and responds with its ID. The caller holds mu.
func (s *Store) grantLease(body []byte) wire.Response {
	var request struct {
		TTL int64 `cbor:"ttl_ms"`
	}
	if wire.Unmarshal(body, &request) != nil {
		return wire.Response{Status: wire.StatusBadRequest}
	}
	s.lastLease++
	id, ttl := s.lastLease, time.Duration(request.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl, time.AfterFunc(ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
	})}
	return ok(map[string]uint64{"hold": id})
}

// extendLease renews a lease for its full time to live. The caller holds mu.
func (s *Store) extendLease(id uint64) wire.Response {
	l := s.leases[id]
	if l == nil {
		return wire.Response{Status: wire.StatusNotFound}
	}
	l.timer.Reset(l.ttl)
	return ok(map[string]uint64{"hold": id})
}

// revokeLease ends a lease before it expires. The caller holds mu.
func (s *Store) revokeLease(id uint64) wire.Response {
	if s.leases[id] == nil {
		return wire.Response{Status: wire.StatusNotFound}
	}
	s.endLease(id)
	return ok(map[string]uint64{"hold": id})
}

// endLease removes a lease and deletes its keys. During an outage it does nothing. The caller holds mu.
func (s *Store) endLease(id uint64) {
	l := s.leases[id]
	if l == nil || s.faults.Down {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for _, key := range s.sortedKeys("") {
		if s.keys[key].lease == id {
			s.rev++
			delete(s.keys, key)
			s.addEvent(kvstore.Event{Delete: key, Revision: s.rev})
		}
	}
}

// transact applies a transaction if all its compares succeed, and otherwise responds with the keys whose
// compares failed. The caller holds mu.
func (s *Store) transact(body []byte) wire.Response {
	var transaction struct {
		Compares  []kvstore.Compare  `cbor:"when"`
		Mutations []kvstore.Mutation `cbor:"then"`
	}
	if wire.Unmarshal(body, &transaction) != nil {
		return wire.Response{Status: wire.StatusBadRequest}
	}
	for _, mutation := range transaction.Mutations {
		s.counts.mutations[mutation.Put+mutation.Delete]++
	}
	var failed []string
	for _, compare := range transaction.Compares {
		if s.keys[compare.Key].rev != compare.Revision {
			failed = append(failed, compare.Key)
		}
	}
	if failed != nil {
		return wire.Response{Status: wire.StatusConflict, Body: wire.Marshal(map[string]any{"failed": failed, "epoch": s.rev})}
	}
	for _, mutation := range transaction.Mutations {
		if mutation.Lease != 0 && s.leases[mutation.Lease] == nil {
			return wire.Response{Status: wire.StatusBadRequest, Body: wire.Marshal(map[string]string{"error": "no such lease"})}
		}
	}
	s.rev++
	for _, mutation := range transaction.Mutations {
		s.mutate(mutation)
	}
	if prefix := s.faults.DownAfterPrefix; prefix != "" && changesPrefix(body, prefix) {
		s.faults.DownAfterPrefix = ""
		s.faults.Down = true
		s.suspendLeases(true)
	}
	return ok(map[string]uint64{"epoch": s.rev})
}

// mutate puts or deletes one key at the current revision. The caller holds mu.
func (s *Store) mutate(mutation kvstore.Mutation) {
	if mutation.Put != "" {
		s.keys[mutation.Put] = entry{mutation.Value, s.rev, mutation.Lease}
		s.addEvent(kvstore.Event{Put: mutation.Put, Value: mutation.Value, Revision: s.rev})
	} else if _, found := s.keys[mutation.Delete]; found {
		delete(s.keys, mutation.Delete)
		s.addEvent(kvstore.Event{Delete: mutation.Delete, Revision: s.rev})
	}
}
