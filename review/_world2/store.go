package main

// Stand-in of the state service. Each controller has a listener of its own, so that a fault can affect one
// controller alone.

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type storeKey struct {
	value any
	rev   uint64
	lease uint64
}

type storeEvent struct {
	put   string
	drop  string
	value any
	rev   uint64
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// nodeFault is the state of the store towards one controller.
type nodeFault struct {
	refuse   bool                 // 503 to every request; open watches wait
	hang     bool                 // requests get no answer and are not executed
	lose     func(op string) bool // executes, but gives no answer
	hold     func(op string) bool // gives no answer, executes when released
	refuseIf func(op string) bool // 503 to some requests
}

type store struct {
	mu      sync.Mutex
	cond    *sync.Cond
	rev     uint64
	keys    map[string]storeKey
	events  []storeEvent
	leases  map[uint64]*storeLease
	next    uint64
	faults  map[string]*nodeFault
	down    bool
	valueKB float64
	txnOps  int
	rps     *bucket
	writes  *bucket
	delay   time.Duration
	held    []func()
	refused map[string]int // 400 and 429 by kind
}

type bucket struct {
	rate, tokens float64
	last         time.Time
}

func newBucket(rate float64) *bucket { return &bucket{rate: rate, tokens: rate, last: time.Now()} }

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.last).Seconds()*b.rate)
	b.last = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStore(rps, writeRPS, valueKB float64, txnOps int) *store {
	s := &store{rev: 1, keys: map[string]storeKey{}, leases: map[uint64]*storeLease{}, faults: map[string]*nodeFault{},
		valueKB: valueKB, txnOps: txnOps, rps: newBucket(rps), writes: newBucket(writeRPS), refused: map[string]int{}, delay: 5 * time.Millisecond}
	s.cond = sync.NewCond(&s.mu)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.cond.Broadcast()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *store) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, k := range s.keys {
		if k.lease == id {
			s.rev++
			delete(s.keys, key)
			s.addEvent(storeEvent{drop: key, rev: s.rev})
		}
	}
}

func (s *store) addEvent(e storeEvent) {
	s.events = append(s.events, e)
	if len(s.events) > 10000 {
		s.events = s.events[1:]
	}
	s.cond.Broadcast()
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if !down {
		for _, l := range s.leases {
			l.until = time.Now().Add(l.ttl)
		}
	}
	s.cond.Broadcast()
	logf("store down=%v", down)
}

func (s *store) fault(node string, change func(*nodeFault)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults[node] == nil {
		s.faults[node] = &nodeFault{}
	}
	change(s.faults[node])
	s.cond.Broadcast()
}

func (s *store) releaseHeld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.held {
		f()
	}
	s.held = nil
}

func jsonLen(v any) int {
	data, err := json.Marshal(jsonable(v))
	if err != nil {
		return 1 << 30
	}
	return len(data)
}

func jsonable(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := map[string]any{}
		for k, e := range v {
			out[k.(string)] = jsonable(e)
		}
		return out
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = jsonable(v[i])
		}
		return out
	}
	return v
}

type txnRequest struct {
	When []struct {
		Path  string `cbor:"path"`
		Stamp uint64 `cbor:"stamp"`
	} `cbor:"when"`
	Then []struct {
		Put   string `cbor:"put"`
		Value any    `cbor:"value"`
		Hold  uint64 `cbor:"hold"`
		Drop  string `cbor:"drop"`
	} `cbor:"then"`
}

// handler answers the requests of one controller.
func (s *store) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := readBody(r)
		s.mu.Lock()
		delay := s.delay
		s.mu.Unlock()
		time.Sleep(delay)
		op := r.Method + " " + r.URL.Path
		if r.URL.Path == "/changes" {
			s.changes(w, r, node)
			return
		}
		s.mu.Lock()
		f := s.faults[node]
		if f != nil && f.hang {
			s.mu.Unlock()
			drop(w, r)
			return
		}
		if s.down || f != nil && f.refuse || f != nil && f.refuseIf != nil && f.refuseIf(op) {
			s.mu.Unlock()
			reply(w, 503, nil)
			return
		}
		if !s.rps.take(1) {
			s.refused["rps"]++
			s.mu.Unlock()
			reply(w, 429, nil)
			return
		}
		key := op
		if r.URL.Path == "/txn" {
			var t txnRequest
			if cbor.Unmarshal(body, &t) == nil {
				for _, m := range t.Then {
					key += " " + m.Put + m.Drop
				}
			}
		}
		if f != nil && f.hold != nil && f.hold(key) {
			s.held = append(s.held, func() { s.execute(r, body) })
			s.mu.Unlock()
			drop(w, r)
			return
		}
		status, out := s.execute(r, body)
		lost := f != nil && f.lose != nil && f.lose(key)
		s.mu.Unlock()
		if lost {
			drop(w, r)
			return
		}
		reply(w, status, out)
	})
}

func (s *store) execute(r *http.Request, body []byte) (int, any) {
	s.expire()
	path := r.URL.Path
	switch {
	case r.Method == "GET" && path == "/keys":
		return s.list(r)
	case r.Method == "GET" && strings.HasPrefix(path, "/keys/"):
		key := strings.TrimPrefix(path, "/keys/")
		k, ok := s.keys[key]
		if !ok {
			return 404, map[string]any{"epoch": s.rev}
		}
		return 200, map[string]any{"path": key, "value": k.value, "stamp": k.rev, "hold": k.lease}
	case path == "/txn":
		return s.txn(body)
	case r.Method == "POST" && path == "/leases":
		var q struct {
			TTL int64 `cbor:"ttl_ms"`
		}
		if cbor.Unmarshal(body, &q) != nil || q.TTL < 100 || q.TTL > 600000 {
			return 400, nil
		}
		s.next++
		ttl := time.Duration(q.TTL) * time.Millisecond
		s.leases[s.next] = &storeLease{ttl, time.Now().Add(ttl)}
		return 200, map[string]any{"hold": s.next}
	case strings.HasPrefix(path, "/leases/"):
		text, extend := strings.CutSuffix(strings.TrimPrefix(path, "/leases/"), "/extend")
		id, _ := strconv.ParseUint(text, 10, 64)
		l := s.leases[id]
		if l == nil {
			return 404, nil
		}
		if extend {
			l.until = time.Now().Add(l.ttl)
		} else {
			s.endLease(id)
		}
		return 200, map[string]any{"hold": id}
	}
	return 400, nil
}

func (s *store) list(r *http.Request) (int, any) {
	prefix, after := r.URL.Query().Get("starts"), r.URL.Query().Get("after")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	var names []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			names = append(names, k)
		}
	}
	sort.Strings(names)
	items, size, more := []any{}, 0, false
	for _, k := range names {
		size += jsonLen(s.keys[k].value)
		if len(items) == min(limit, 1000) || size > 512<<10 && len(items) > 0 {
			more = true
			break
		}
		items = append(items, map[string]any{"path": k, "value": s.keys[k].value, "stamp": s.keys[k].rev})
	}
	return 200, map[string]any{"items": items, "has_next": more, "epoch": s.rev}
}

func (s *store) txn(body []byte) (int, any) {
	var t txnRequest
	var whole any
	if cbor.Unmarshal(body, &t) != nil || cbor.Unmarshal(body, &whole) != nil {
		return 400, map[string]any{"error": "malformed"}
	}
	big := len(t.Then) > s.txnOps || len(t.When) > 4*s.txnOps || jsonLen(whole) > 64<<10
	for _, m := range t.Then {
		big = big || m.Put != "" && float64(jsonLen(m.Value)) > s.valueKB*1024
	}
	if big {
		s.refused["large"]++
		logf("store refuses a transaction as too large: %d then, %d when, %d bytes of JSON", len(t.Then), len(t.When), jsonLen(whole))
		return 400, map[string]any{"error": "too large"}
	}
	if !s.writes.take(float64(len(t.Then))) {
		s.refused["writes"]++
		return 429, nil
	}
	var failed []any
	for _, c := range t.When {
		if s.keys[c.Path].rev != c.Stamp {
			failed = append(failed, c.Path)
		}
	}
	if failed != nil {
		return 409, map[string]any{"failed": failed, "epoch": s.rev}
	}
	for _, m := range t.Then {
		if m.Hold != 0 && s.leases[m.Hold] == nil {
			return 400, map[string]any{"error": "no such lease"}
		}
	}
	if len(t.Then) > 0 {
		s.rev++
	}
	for _, m := range t.Then {
		if m.Put != "" {
			s.keys[m.Put] = storeKey{m.Value, s.rev, m.Hold}
			s.addEvent(storeEvent{put: m.Put, value: m.Value, rev: s.rev})
		} else if _, ok := s.keys[m.Drop]; ok {
			delete(s.keys, m.Drop)
			s.addEvent(storeEvent{drop: m.Drop, rev: s.rev})
		}
	}
	return 200, map[string]any{"epoch": s.rev}
}

func (s *store) changes(w http.ResponseWriter, r *http.Request, node string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	f := s.faults[node]
	if f != nil && f.hang {
		s.mu.Unlock()
		drop(w, r)
		return
	}
	if s.down || f != nil && f.refuse {
		s.mu.Unlock()
		reply(w, 503, nil)
		return
	}
	if !s.rps.take(1) {
		s.refused["rps"]++
		s.mu.Unlock()
		reply(w, 429, nil)
		return
	}
	for {
		f = s.faults[node]
		blocked := s.down || f != nil && (f.refuse || f.hang)
		if !blocked {
			if len(s.events) == 10000 && s.events[0].rev > after+1 {
				s.mu.Unlock()
				reply(w, 410, nil)
				return
			}
			events := []any{}
			i := sort.Search(len(s.events), func(i int) bool { return s.events[i].rev > after })
			for _, e := range s.events[i:] {
				if !strings.HasPrefix(e.put+e.drop, q.Get("starts")) {
					continue
				}
				if e.put != "" {
					events = append(events, map[string]any{"put": e.put, "value": e.value, "stamp": e.rev})
				} else {
					events = append(events, map[string]any{"drop": e.drop, "stamp": e.rev})
				}
			}
			if len(events) > 0 || !time.Now().Before(until) {
				rev := s.rev
				s.mu.Unlock()
				reply(w, 200, map[string]any{"epoch": rev, "events": events})
				return
			}
		}
		if r.Context().Err() != nil {
			s.mu.Unlock()
			return
		}
		s.cond.Wait()
	}
}

// count returns the number of keys with a prefix.
func (s *store) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

// holder returns the node that the key lead/holder names, "" if there is none.
func (s *store) holder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.keys["lead/holder"].value.(map[any]any); ok {
		name, _ := m["node"].(string)
		return name
	}
	return ""
}
