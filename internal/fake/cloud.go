package fake

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"sync"
	"time"

	"tulipshelf/internal/cloud"
	"tulipshelf/internal/wire"
)

// Cloud rents workers.
type Cloud struct {
	Type     cloud.Type
	Capacity int           // machines in all
	Lag      time.Duration // lists leave out machines rented so lately
	Gangs    *Gangs

	net     *Network
	referee *InvariantChecker
	nodes   []string // addresses that workers report to
	names   []string // of the nodes, in the same order
	lease   time.Duration

	mu       sync.Mutex
	rentals  map[string][]string
	machines map[string]*Agent
	next     int
	returned []string
	down     bool
}

// NewCloud returns a cloud with one machine type in the given zones.
func NewCloud(n *Network, r *InvariantChecker, names, nodes []string, lease time.Duration, t cloud.Type, capacity int) *Cloud {
	return &Cloud{Type: t, Capacity: capacity, Gangs: newGangs(45*time.Second, 4*time.Second), net: n, referee: r, nodes: nodes, names: names, lease: lease,
		rentals: map[string][]string{}, machines: map[string]*Agent{}}
}

// Change changes what the cloud offers, while it serves.
func (c *Cloud) Change(f func(*Cloud)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(c)
}

// Begin numbers the machines from n on, as one does that has rented some before.
func (c *Cloud) Begin(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = n
}

// Machines returns the workers that have not been returned, by name.
func (c *Cloud) Machines() []*Agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*Agent
	for _, w := range c.machines {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Returned returns the names of the machines returned so far.
func (c *Cloud) Returned() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.returned...)
}

// Down starts or ends an outage.
func (c *Cloud) Down(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// Handle answers one request.
func (c *Cloud) Handle(_ context.Context, req *wire.Request) wire.Response {
	time.Sleep(100 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down {
		return wire.Response{Status: 503, Body: wire.Marshal(map[string]string{"error": "trouble"})}
	}
	switch {
	case req.Path == "/catalog":
		return ok(map[string]any{"builds": []cloud.Type{c.Type}})
	case req.Path == "/rentals" && req.Method == "GET":
		var list []cloud.Machine
		for _, w := range c.machines {
			if time.Since(w.rented) < c.Lag {
				continue
			}
			status := cloud.MachineRunning
			if !w.Up() {
				status = cloud.MachineStarting
			}
			list = append(list, cloud.Machine{Name: w.Name, Addr: w.Addr, Type: c.Type.Name, Zone: w.Zone, Status: status})
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
		q := query(req.Query)
		limit, _ := strconv.Atoi(q["limit"])
		list = list[sort.Search(len(list), func(i int) bool { return list[i].Name > q["after"] }):]
		more := len(list) > limit
		return ok(map[string]any{"shelves": list[:min(limit, len(list))], "has_next": more})
	case req.Path == "/rentals":
		var r cloud.Rental
		if wire.Unmarshal(req.Body, &r) != nil || r.Count > cloud.MaxRent {
			return wire.Response{Status: 400}
		}
		names, again := c.rentals[r.Name]
		if !again {
			for range r.Count {
				if len(c.machines) == c.Capacity || r.Spot {
					break
				}
				name := fmt.Sprintf("vm-%06d", c.next)
				c.next++
				w := newWorker(c, name, r.Zone)
				c.machines[name] = w
				names = append(names, name)
				go w.run(time.Duration(c.Type.BootS * float64(time.Second)))
			}
			if names == nil {
				return wire.Response{Status: 503, Body: wire.Marshal(map[string]string{"error": "no capacity"})}
			}
			c.rentals[r.Name] = names
		}
		return ok(map[string]any{"shelves": names})
	case req.Path == "/rentals/return":
		var in struct {
			Names []string `cbor:"shelves"`
		}
		if wire.Unmarshal(req.Body, &in) != nil || len(in.Names) > cloud.MaxReturn {
			return wire.Response{Status: 400}
		}
		for _, name := range in.Names {
			if w := c.machines[name]; w != nil {
				w.stop()
				delete(c.machines, name)
				c.returned = append(c.returned, name)
			}
		}
		return ok(map[string]any{})
	}
	return wire.Response{Status: 400}
}
