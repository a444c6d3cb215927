package main

// The stand-in of the cloud, by PROTOCOL-tulipshelf.md "Controller nodes -> cloud".

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

type Cloud struct {
	w  *World
	mu sync.Mutex

	machines map[string]*Machine
	rentals  map[string][]string
	next     int
	capacity int // by zone
	boot     time.Duration
	lag      time.Duration
	history  []cloudSnapshot // the list as it was, for its lag
	down     bool
	rps      *bucket
	returned []string
	lost     float64 // share of answers that are lost, to requests that are carried out
}

type cloudEntry struct {
	UID     string  `cbor:"uid"`
	Addr    string  `cbor:"endpoint"`
	Build   string  `cbor:"build"`
	Depot   string  `cbor:"depot"`
	Loaners bool    `cbor:"loaners"`
	Status  string  `cbor:"status"`
	Held    float64 `cbor:"held_s"`
}

type cloudSnapshot struct {
	at      time.Time
	entries []cloudEntry
}

func newCloud(w *World) *Cloud {
	c := &Cloud{w: w, machines: map[string]*Machine{}, rentals: map[string][]string{}, next: 231, capacity: 10,
		rps: newBucket(5)}
	go func() {
		for range time.Tick(500 * time.Millisecond) {
			c.mu.Lock()
			c.history = append(c.history, c.snapshot())
			if len(c.history) > 40 {
				c.history = c.history[1:]
			}
			c.mu.Unlock()
		}
	}()
	return c
}

func (c *Cloud) snapshot() cloudSnapshot {
	now := time.Now()
	snap := cloudSnapshot{at: now}
	for _, m := range c.machines {
		status := m.cloudStatus()
		snap.entries = append(snap.entries, cloudEntry{m.Name, m.addrs[0], c.w.buildName(), m.Zone, m.Spot, status, now.Sub(m.rentedAt).Seconds()})
	}
	sort.Slice(snap.entries, func(i, j int) bool { return snap.entries[i].UID < snap.entries[j].UID })
	return snap
}

// addMachine creates a machine. The caller holds mu or has not started to serve.
func (c *Cloud) addMachine(zone string, spot bool, boot time.Duration, age time.Duration) *Machine {
	m := newMachine(c.w, fmt.Sprintf("vm-%06d", c.next), c.next, zone, spot)
	c.next++
	m.rentedAt = time.Now().Add(-age)
	c.machines[m.Name] = m
	go m.run(boot)
	return m
}

func (c *Cloud) handler(node int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body := readBody(r)
		time.Sleep(60 * time.Millisecond)
		for c.w.isCut(node) {
			time.Sleep(20 * time.Millisecond)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.down {
			reply(rw, 503, map[string]any{"error": "trouble"})
			return
		}
		if !c.takeBurst() {
			reply(rw, 429, nil)
			return
		}
		if c.lost > 0 && rand.Float64() < c.lost {
			defer panic(http.ErrAbortHandler)
			rw = discard{}
		}
		switch {
		case r.URL.Path == "/catalog":
			reply(rw, 200, map[string]any{"builds": []any{c.w.build}})
		case r.URL.Path == "/rentals" && r.Method == "GET":
			c.list(node, rw, r)
		case r.URL.Path == "/rentals":
			c.rent(rw, body)
		case r.URL.Path == "/rentals/return":
			c.giveBack(rw, node, body)
		default:
			reply(rw, 400, nil)
		}
	})
}

func (c *Cloud) takeBurst() bool {
	now := time.Now()
	c.rps.tokens = min(2*c.rps.rate, c.rps.tokens+now.Sub(c.rps.last).Seconds()*c.rps.rate)
	c.rps.last = now
	if c.rps.tokens < 1 {
		return false
	}
	c.rps.tokens--
	return true
}

func (c *Cloud) list(node int, rw http.ResponseWriter, r *http.Request) {
	var snap cloudSnapshot
	for _, h := range c.history {
		if time.Since(h.at) >= c.lag {
			snap = h
		}
	}
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	entries, more := []cloudEntry{}, false
	for _, e := range snap.entries {
		if e.UID <= r.URL.Query().Get("after") {
			continue
		}
		if len(entries) == limit {
			more = true
			break
		}
		if m := c.machines[e.UID]; m != nil {
			e.Addr = m.addrs[node]
		}
		entries = append(entries, e)
	}
	reply(rw, 200, map[string]any{"shelves": entries, "has_next": more})
}

func (c *Cloud) rent(rw http.ResponseWriter, body []byte) {
	var req struct {
		Hire    string `cbor:"hire"`
		Build   string `cbor:"build"`
		Depot   string `cbor:"depot"`
		Loaners bool   `cbor:"loaners"`
		Number  int    `cbor:"number"`
	}
	if cbor.Unmarshal(body, &req) != nil || req.Hire == "" || req.Build != c.w.buildName() || req.Number < 1 || req.Number > 50 {
		reply(rw, 400, nil)
		return
	}
	names := c.rentals[req.Hire]
	if names == nil {
		inZone := 0
		for _, m := range c.machines {
			if m.Zone == req.Depot && m.Spot == req.Loaners {
				inZone++
			}
		}
		for ; inZone < c.capacity && len(names) < req.Number; inZone++ {
			names = append(names, c.addMachine(req.Depot, req.Loaners, c.boot, 0).Name)
		}
		if names == nil {
			reply(rw, 503, map[string]any{"error": "no capacity"})
			return
		}
		c.rentals[req.Hire] = names
	}
	reply(rw, 200, map[string]any{"shelves": names})
}

func (c *Cloud) giveBack(rw http.ResponseWriter, node int, body []byte) {
	var req struct {
		Names []string `cbor:"shelves"`
	}
	if cbor.Unmarshal(body, &req) != nil || len(req.Names) > 100 {
		reply(rw, 400, nil)
		return
	}
	for _, name := range req.Names {
		if m := c.machines[name]; m != nil {
			c.w.logf("cloud: %s returned by shelf-%d, with %s", name, node, m.describe())
			m.terminate()
			delete(c.machines, name)
			c.returned = append(c.returned, name)
		}
	}
	reply(rw, 200, map[string]any{})
}

func (c *Cloud) all() []*Machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*Machine
	for _, m := range c.machines {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

func (c *Cloud) set(f func(*Cloud)) { c.mu.Lock(); defer c.mu.Unlock(); f(c) }

// die stops a machine with all that is on it. It stays listed as running for 30 s and is then listed as failed.
func (c *Cloud) die(m *Machine) {
	c.w.logf("%s dies", m.Name)
	m.terminate()
	time.AfterFunc(30*time.Second, func() {
		m.mu.Lock()
		m.failed = true
		m.mu.Unlock()
	})
}

// discard swallows an answer.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
