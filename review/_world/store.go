package main

// The stand-in of the state service, by PROTOCOL-tulipshelf.md "Controller nodes -> state service".

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type storedKey struct {
	value cbor.RawMessage
	rev   uint64
	lease uint64
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

type storeEvent struct {
	Put      string          `cbor:"put,omitempty"`
	Value    cbor.RawMessage `cbor:"value,omitempty"`
	Drop     string          `cbor:"drop,omitempty"`
	Revision uint64          `cbor:"stamp"`
}

type txnCompare struct {
	Path  string `cbor:"path"`
	Stamp uint64 `cbor:"stamp"`
}

type txnMutation struct {
	Put   string          `cbor:"put"`
	Value cbor.RawMessage `cbor:"value"`
	Hold  uint64          `cbor:"hold"`
	Drop  string          `cbor:"drop"`
}

type txnBody struct {
	When []txnCompare  `cbor:"when"`
	Then []txnMutation `cbor:"then"`
}

// nodeFaults are the faults of the state service towards one controller.
type nodeFaults struct {
	refused bool // 503 for new requests; open watches wait
	silent  bool // requests are neither executed nor answered
}

type Store struct {
	w  *World
	mu sync.Mutex

	rev     uint64
	keys    map[string]*storedKey
	events  []storeEvent
	first   uint64 // changes up to this revision are no longer kept
	changed chan struct{}
	leases  map[uint64]*storeLease
	nextID  uint64

	down      bool // outage: 503 for all
	node      [8]nodeFaults
	delay     time.Duration
	lateShare float64 // share of transactions without an answer that are carried out 2 to 12 s later
	lostShare float64 // share of transactions carried out at once without an answer
	valueKB   float64
	txnOps    int
	rps       *bucket
	writes    *bucket
	onTxn     func(node int, body *txnBody, applied bool)
}

// bucket is a rate limit with a burst of one second's worth.
type bucket struct {
	rate, tokens float64
	last         time.Time
}

func newBucket(rate float64) *bucket { return &bucket{rate: rate, tokens: rate, last: time.Now()} }

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	if n > b.tokens {
		return false
	}
	b.tokens -= n
	return true
}

func newStore(w *World) *Store {
	s := &Store{w: w, rev: 1, keys: map[string]*storedKey{}, changed: make(chan struct{}), leases: map[uint64]*storeLease{},
		valueKB: 8, txnOps: 8, rps: newBucket(80), writes: newBucket(25)}
	go s.expireLeases()
	return s
}

func (s *Store) expireLeases() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if !s.down && now.After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	s.rev++
	for _, key := range s.sorted("") {
		if s.keys[key].lease == id {
			delete(s.keys, key)
			s.addEvent(storeEvent{Drop: key, Revision: s.rev})
		}
	}
}

func (s *Store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down == down {
		return
	}
	s.down = down
	if !down {
		for _, l := range s.leases {
			l.end = time.Now().Add(l.ttl)
		}
	}
	s.wake()
}

func (s *Store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) addEvent(e storeEvent) {
	s.events = append(s.events, e)
	for len(s.events) > 10000 {
		s.first, s.events = s.events[0].Revision, s.events[1:]
	}
	s.wake()
}

func (s *Store) sorted(prefix string) []string {
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}

func (s *Store) handler(node int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body := readBody(r)
		s.mu.Lock()
		delay := s.delay
		s.mu.Unlock()
		time.Sleep(time.Duration(1+rand.IntN(6))*time.Millisecond + time.Duration(float64(delay)*(0.3+1.4*rand.Float64())))
		s.mu.Lock()
		f := s.node[node]
		if f.silent {
			s.mu.Unlock()
			hold(r, time.Minute)
			return
		}
		if s.down || f.refused {
			s.mu.Unlock()
			reply(rw, 503, nil)
			return
		}
		if !s.rps.take(1) {
			s.mu.Unlock()
			reply(rw, 429, nil)
			return
		}
		if r.URL.Path == "/changes" {
			s.mu.Unlock()
			s.watch(node, rw, r)
			return
		}
		status, answer := s.serve(node, r, body)
		s.mu.Unlock()
		if status == 0 {
			hold(r, 20*time.Second)
			return
		}
		reply(rw, status, answer)
	})
}

func (s *Store) serve(node int, r *http.Request, body []byte) (int, any) {
	path := r.URL.Path
	switch {
	case r.Method == "GET" && path == "/keys":
		return s.list(r)
	case r.Method == "GET" && strings.HasPrefix(path, "/keys/"):
		key := strings.TrimPrefix(path, "/keys/")
		k := s.keys[key]
		if k == nil {
			return 404, map[string]any{"epoch": s.rev}
		}
		item := map[string]any{"path": key, "value": k.value, "stamp": k.rev}
		if k.lease != 0 {
			item["hold"] = k.lease
		}
		return 200, item
	case r.Method == "POST" && path == "/txn":
		return s.txn(node, body)
	case r.Method == "POST" && path == "/leases":
		var req struct {
			TTL int64 `cbor:"ttl_ms"`
		}
		if cbor.Unmarshal(body, &req) != nil || req.TTL < 100 || req.TTL > 600000 {
			return 400, nil
		}
		s.nextID++
		ttl := time.Duration(req.TTL) * time.Millisecond
		s.leases[s.nextID] = &storeLease{ttl, time.Now().Add(ttl)}
		return 200, map[string]any{"hold": s.nextID}
	case strings.HasPrefix(path, "/leases/"):
		text, extend := strings.CutSuffix(strings.TrimPrefix(path, "/leases/"), "/extend")
		id, _ := strconv.ParseUint(text, 10, 64)
		l := s.leases[id]
		if l == nil {
			return 404, map[string]any{"epoch": s.rev}
		}
		if extend && r.Method == "POST" {
			l.end = time.Now().Add(l.ttl)
		} else if r.Method == "DELETE" {
			s.endLease(id)
		}
		return 200, map[string]any{"hold": id}
	}
	return 400, nil
}

func (s *Store) list(r *http.Request) (int, any) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	items, size, more := []any{}, 0, false
	for _, key := range s.sorted(q.Get("starts")) {
		if key <= q.Get("after") {
			continue
		}
		k := s.keys[key]
		size += len(k.value) * 2
		if len(items) == limit || size > 512<<10 && len(items) > 0 {
			more = true
			break
		}
		items = append(items, map[string]any{"path": key, "value": k.value, "stamp": k.rev})
	}
	return 200, map[string]any{"items": items, "has_next": more, "epoch": s.rev}
}

func (s *Store) txn(node int, body []byte) (int, any) {
	var t txnBody
	if err := cbor.Unmarshal(body, &t); err != nil {
		return 400, map[string]any{"error": "malformed"}
	}
	if len(t.Then) > s.txnOps || len(t.When) > 4*s.txnOps || jsonSize(body) > 64<<10 {
		s.w.logf("state: transaction of %d changes and %d conditions refused as too large: %d bytes as JSON, %d as sent", len(t.Then), len(t.When), jsonSize(body), len(body))
		return 400, map[string]any{"error": "too large"}
	}
	for _, m := range t.Then {
		if m.Put != "" && float64(jsonSize(m.Value)) > s.valueKB*1024 {
			s.w.logf("state: value of %s refused as too large: %d bytes", m.Put, jsonSize(m.Value))
			return 400, map[string]any{"error": "value too large"}
		}
	}
	if !s.writes.take(float64(len(t.Then))) {
		return 429, nil
	}
	if s.lateShare > 0 && rand.Float64() < s.lateShare {
		time.AfterFunc(time.Duration(2000+rand.IntN(10000))*time.Millisecond, func() {
			for {
				s.mu.Lock()
				if !s.down {
					s.apply(node, &t)
					s.mu.Unlock()
					return
				}
				s.mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
		return 0, nil
	}
	status, answer := s.apply(node, &t)
	if s.lostShare > 0 && rand.Float64() < s.lostShare {
		return 0, nil
	}
	return status, answer
}

func (s *Store) apply(node int, t *txnBody) (int, any) {
	var failed []string
	for _, c := range t.When {
		rev := uint64(0)
		if k := s.keys[c.Path]; k != nil {
			rev = k.rev
		}
		if rev != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	for _, m := range t.Then {
		if m.Hold != 0 && s.leases[m.Hold] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	if failed != nil {
		return 409, map[string]any{"failed": failed, "epoch": s.rev}
	}
	if len(t.Then) == 0 {
		return 200, map[string]any{"epoch": s.rev}
	}
	s.rev++
	for _, m := range t.Then {
		if m.Put != "" {
			s.keys[m.Put] = &storedKey{m.Value, s.rev, m.Hold}
			s.addEvent(storeEvent{Put: m.Put, Value: m.Value, Revision: s.rev})
		} else if s.keys[m.Drop] != nil {
			delete(s.keys, m.Drop)
			s.addEvent(storeEvent{Drop: m.Drop, Revision: s.rev})
		}
	}
	if s.onTxn != nil {
		s.onTxn(node, t, true)
	}
	return 200, map[string]any{"epoch": s.rev}
}

func (s *Store) watch(node int, rw http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	prefix := q.Get("starts")
	deadline := time.Now().Add(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.first > after {
			s.mu.Unlock()
			reply(rw, 410, nil)
			return
		}
		paused := s.down || s.node[node].refused || s.node[node].silent
		var found []storeEvent
		for i := len(s.events) - 1; i >= 0 && s.events[i].Revision > after; i-- {
			if strings.HasPrefix(s.events[i].Put+s.events[i].Drop, prefix) {
				found = append([]storeEvent{s.events[i]}, found...)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if !paused && (len(found) > 0 || !time.Now().Before(deadline)) {
			if found == nil {
				found = []storeEvent{}
			}
			reply(rw, 200, map[string]any{"epoch": rev, "events": found})
			return
		}
		timer := time.NewTimer(max(10*time.Millisecond, time.Until(deadline)))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// leader returns the name in lead/holder, "" if there is none. It is used only to aim faults.
func (s *Store) leader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.keys["lead/holder"]
	if k == nil {
		return ""
	}
	var h struct {
		Node string `cbor:"node"`
	}
	cbor.Unmarshal(k.value, &h)
	return h.Node
}

func jsonSize(raw []byte) int {
	var v any
	if decMode.Unmarshal(raw, &v) != nil {
		return 0
	}
	data, _ := json.Marshal(v)
	return len(data)
}
