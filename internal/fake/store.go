package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Store is the state service.
type Store struct {
	mu                sync.Mutex
	rev               uint64
	keys              map[string]entry
	events            []kvstore.Event // the last keptChanges
	dropped           uint64          // revision of the last change that is no longer kept
	changed           chan struct{}
	leases            map[uint64]*lease
	next              uint64
	down              bool
	lose              int // answers of so many transactions to come are lost after they were applied
	late              []func()
	hold              int    // so many transactions to come are held back and go unanswered
	holdKey           string // only those that change a key which begins so
	downKey           string // an outage begins once a key is changed that begins so; "": it does not
	every             int    // of so many transactions one goes unanswered and is applied late; 0: none
	count             int
	atOnce            int     // of so many transactions one is applied and goes unanswered; 0: none
	limits            *limits // nil: none
	tooLarge, tooMany int
	luck              *rand.Rand
	silent            int           // transactions so far that went unanswered
	slow              time.Duration // that a request takes longer than usual
	changes           int           // puts and deletes so far
	asked             int           // requests so far
}

type entry struct {
	value wire.Raw
	rev   uint64
	lease uint64
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{keys: map[string]entry{}, changed: make(chan struct{}), leases: map[uint64]*lease{}, rev: 1,
		luck: rand.New(rand.NewPCG(7, 11))}
}

// Down starts or ends an outage. After it every lease has its full time again.
func (s *Store) Down(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage(down)
}

func (s *Store) outage(down bool) {
	s.down = down
	for _, l := range s.leases {
		if down {
			l.timer.Stop()
		} else {
			l.timer.Reset(l.ttl)
		}
	}
}

// DownAfter begins an outage with the next transaction, answered still, that changes a
// key with the given prefix.
func (s *Store) DownAfter(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downKey = prefix
}

// Put writes a key, as somebody did before the test began.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.keys[key] = entry{value: value, rev: s.rev}
}

// Limit refuses larger values (counted in JSON) and transactions, and more changes a
// second, from now on.
func (s *Store) Limit(valueBytes, txnOps int, writeRPS float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = &limits{valueBytes, txnOps, rate.NewLimiter(rate.Limit(writeRPS), int(writeRPS))}
}

// Refused returns how many transactions were refused as too large, and as too many.
func (s *Store) Refused() (tooLarge, tooMany int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge, s.tooMany
}

// limits is what the state service allows.
type limits struct {
	valueBytes, txnOps int
	writes             *rate.Limiter
}

// check returns the answer to a transaction that is over the limits, or status 0.
func (s *Store) check(body []byte) wire.Response {
	var in struct {
		Then []struct {
			Value any `cbor:"value"`
		} `cbor:"then"`
	}
	if s.limits == nil || wire.Unmarshal(body, &in) != nil {
		return wire.Response{}
	}
	large := len(in.Then) > s.limits.txnOps
	for _, op := range in.Then {
		text, err := json.Marshal(plain(op.Value))
		large = large || err != nil || len(text) > s.limits.valueBytes
	}
	switch {
	case large:
		s.tooLarge++
		return wire.Response{Status: 400, Body: wire.Marshal(map[string]string{"error": "too large"})}
	case !s.limits.writes.AllowN(time.Now(), len(in.Then)):
		s.tooMany++
		return wire.Response{Status: 429}
	}
	return wire.Response{}
}

// plain returns a decoded value in a form that JSON has.
func plain(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := map[string]any{}
		for k, e := range v {
			out[fmt.Sprint(k)] = plain(e)
		}
		return out
	case []any:
		for i := range v {
			v[i] = plain(v[i])
		}
	}
	return v
}

// LoseResponses applies the next n transactions without answering them.
func (s *Store) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// DelayTransactions keeps the next n transactions that change a key with the given prefix,
// unanswered, until Release.
func (s *Store) DelayTransactions(n int, prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hold, s.holdKey = n, prefix
}

// Release applies what was held back, late.
func (s *Store) Release() {
	s.mu.Lock()
	late := s.late
	s.late = nil
	s.mu.Unlock()
	for _, f := range late {
		f()
	}
}

// DelayOneWriteIn lets one in so many transactions go unanswered and be applied 2 to 12 s
// later, after newer ones; 0 ends that.
func (s *Store) DelayOneWriteIn(every int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.every = every
}

// LoseOneResponseIn lets one in so many transactions go unanswered though it is applied; 0 ends
// that.
func (s *Store) LoseOneResponseIn(every int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atOnce = every
}

// Unanswered returns how many transactions have gone unanswered so far.
func (s *Store) Unanswered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// Delay lets every request take so much longer.
func (s *Store) Delay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// Changes returns how many puts and deletes have been asked for.
func (s *Store) Changes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// Requests returns how many requests have come.
func (s *Store) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// Keys returns the keys that begin with prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(prefix)
}

func (s *Store) list(prefix string) []string {
	var out []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Handle answers one request.
func (s *Store) Handle(ctx context.Context, req *wire.Request) wire.Response {
	s.mu.Lock()
	s.asked++
	slow := s.slow
	s.mu.Unlock()
	time.Sleep(5*time.Millisecond + slow)
	q := query(req.Query)
	if req.Path == "/changes" {
		return s.watch(ctx, q)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return wire.Response{Status: 503}
	}
	switch {
	case req.Method == "GET" && req.Path == "/keys":
		limit, _ := strconv.Atoi(q["limit"])
		page, size := kvstore.Page{Revision: s.rev}, 0
		for _, k := range s.list(q["starts"]) {
			if k <= q["after"] {
				continue
			}
			if size += len(s.keys[k].value); len(page.Items) == min(limit, 1000) || size > 512<<10 {
				page.More = true
				break
			}
			page.Items = append(page.Items, kvstore.Item{Key: k, Value: s.keys[k].value, Revision: s.keys[k].rev})
		}
		return ok(page)
	case req.Method == "GET" && strings.HasPrefix(req.Path, "/keys/"):
		k := strings.TrimPrefix(req.Path, "/keys/")
		e, found := s.keys[k]
		if !found {
			return wire.Response{Status: 404}
		}
		return ok(kvstore.Item{Key: k, Value: e.value, Revision: e.rev})
	case req.Path == "/txn":
		return s.txn(append([]byte(nil), req.Body...))
	case req.Method == "POST" && req.Path == "/leases":
		var in struct {
			TTL int64 `cbor:"ttl_ms"`
		}
		if wire.Unmarshal(req.Body, &in) != nil {
			return wire.Response{Status: 400}
		}
		s.next++
		id, ttl := s.next, time.Duration(in.TTL)*time.Millisecond
		s.leases[id] = &lease{ttl, time.AfterFunc(ttl, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.end(id)
		})}
		return ok(map[string]uint64{"hold": id})
	case strings.HasPrefix(req.Path, "/leases/"):
		text, extend := strings.CutSuffix(strings.TrimPrefix(req.Path, "/leases/"), "/extend")
		id, _ := strconv.ParseUint(text, 10, 64)
		l := s.leases[id]
		if l == nil {
			return wire.Response{Status: 404}
		}
		if extend {
			l.timer.Reset(l.ttl)
		} else {
			s.end(id)
		}
		return ok(map[string]uint64{"hold": id})
	}
	return wire.Response{Status: 400}
}

func ok(v any) wire.Response { return wire.Response{Status: 200, Body: wire.Marshal(v)} }

func query(s string) map[string]string {
	out := map[string]string{}
	for _, part := range strings.Split(s, "&") {
		k, v, _ := strings.Cut(part, "=")
		out[k] = v
	}
	return out
}

// end removes a lease with its keys.
func (s *Store) end(id uint64) {
	l := s.leases[id]
	if l == nil || s.down {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for _, k := range s.list("") {
		if s.keys[k].lease == id {
			s.rev++
			delete(s.keys, k)
			s.event(kvstore.Event{Delete: k, Revision: s.rev})
		}
	}
}

// keptChanges is how many changes the service keeps for watches.
const keptChanges = 10_000

func (s *Store) event(e kvstore.Event) {
	s.events = append(s.events, e)
	for len(s.events) > keptChanges {
		s.dropped, s.events = s.events[0].Revision, s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) txn(body []byte) wire.Response {
	later := func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.apply(body)
	}
	if resp := s.check(body); resp.Status != 0 {
		return resp
	}
	s.count++
	s.silent++
	switch {
	case s.every > 0 && s.count%s.every == 0:
		time.AfterFunc(time.Duration(2+s.count%11)*time.Second, later)
		return wire.Response{Status: hang}
	case s.hold > 0 && changes(body, s.holdKey):
		s.hold--
		s.late = append(s.late, later)
		return wire.Response{Status: drop}
	case s.lose > 0, s.atOnce > 0 && s.luck.IntN(s.atOnce) == 0:
		s.lose = max(0, s.lose-1)
		s.apply(body)
		return wire.Response{Status: drop}
	}
	s.silent--
	return s.apply(body)
}

// changes tells whether a transaction changes a key that begins with prefix.
func changes(body []byte, prefix string) bool {
	var in struct {
		Then []kvstore.Mutation `cbor:"then"`
	}
	return wire.Unmarshal(body, &in) == nil && slices.ContainsFunc(in.Then, func(o kvstore.Mutation) bool {
		return strings.HasPrefix(o.Put+o.Delete, prefix)
	})
}

func (s *Store) apply(body []byte) wire.Response {
	var in struct {
		When []kvstore.Compare  `cbor:"when"`
		Then []kvstore.Mutation `cbor:"then"`
	}
	if wire.Unmarshal(body, &in) != nil {
		return wire.Response{Status: 400}
	}
	s.changes += len(in.Then)
	var failed []string
	for _, c := range in.When {
		if s.keys[c.Key].rev != c.Revision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return wire.Response{Status: 409, Body: wire.Marshal(map[string]any{"failed": failed, "epoch": s.rev})}
	}
	for _, op := range in.Then {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			return wire.Response{Status: 400, Body: wire.Marshal(map[string]string{"error": "no such lease"})}
		}
	}
	s.rev++
	for _, op := range in.Then {
		if op.Put != "" {
			s.keys[op.Put] = entry{op.Value, s.rev, op.Lease}
			s.event(kvstore.Event{Put: op.Put, Value: op.Value, Revision: s.rev})
		} else if _, found := s.keys[op.Delete]; found {
			delete(s.keys, op.Delete)
			s.event(kvstore.Event{Delete: op.Delete, Revision: s.rev})
		}
	}
	if s.downKey != "" && changes(body, s.downKey) {
		s.downKey = ""
		s.outage(true)
	}
	return ok(map[string]uint64{"epoch": s.rev})
}

func (s *Store) watch(ctx context.Context, q map[string]string) wire.Response {
	after, _ := strconv.ParseUint(q["after"], 10, 64)
	ms, _ := strconv.Atoi(q["wait_ms"])
	deadline := time.After(time.Duration(ms) * time.Millisecond)
	for begun := false; ; begun = true {
		s.mu.Lock()
		if s.down && !begun {
			s.mu.Unlock()
			return wire.Response{Status: 503} // only watches that are open stay open
		}
		if s.dropped > after {
			s.mu.Unlock()
			return wire.Response{Status: 410}
		}
		var found []kvstore.Event
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Put+e.Delete, q["starts"]) {
				found = append(found, e)
			}
		}
		changed, rev, down := s.changed, s.rev, s.down
		s.mu.Unlock()
		if len(found) > 0 && !down {
			return ok(map[string]any{"epoch": rev, "events": found})
		}
		select {
		case <-changed:
		case <-deadline:
			return ok(map[string]any{"epoch": rev})
		case <-ctx.Done():
			return wire.Response{Status: drop}
		}
	}
}
