package fake

// The cloud: requests that list, rent and return machines. A worker agent runs on each machine.

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

const (
	// cloudLatency is the processing time of each request.
	cloudLatency = 100 * time.Millisecond
	// Gangs.wait and Gangs.notice of the gangs on a cloud. They equal GangWait and GangNotice in the
	// settings of the cluster tests.
	defaultGangWait   = 45 * time.Second
	defaultGangNotice = 4 * time.Second
)

// Cloud rents out machines of one type. Its exported fields may be set directly before it serves
// requests, and only through Change afterwards.
type Cloud struct {
	Type     cloud.Type
	Capacity int           // maximum number of machines that are rented at the same time
	Lag      time.Duration // time after the rental during which lists omit a machine
	Gangs    *Gangs        // gangs on the machines of the cloud

	network         *Network
	invariants      *InvariantChecker
	controllerNames []string
	controllerAddrs []string // destinations of heartbeats, in the order of controllerNames
	lease           time.Duration

	// mu guards the fields below and the exported fields, except Type.Name and Gangs, which agents read
	// without it.
	mu          sync.Mutex
	machines    map[string]*Agent   // rented machines by name
	rentals     map[string][]string // names of the rented machines, by name of the rent request
	nextMachine int                 // number in the name of the machine that is rented next
	returned    []string            // names of the returned machines, in the order of their return
	faults      CloudFaults
}

// CloudFaults is the set of active faults of a cloud. The zero value means no fault.
type CloudFaults struct {
	// Down refuses all requests with status 503. It simulates an outage of the cloud's API; machines
	// keep running.
	Down bool
}

// NewCloud returns a cloud that rents out up to capacity machines of one type. Their agents send
// heartbeats to the given controllers and kill their tasks when they get no response for the duration of
// lease. controllerNames and controllerAddrs are in the same order.
func NewCloud(network *Network, invariants *InvariantChecker, controllerNames, controllerAddrs []string, lease time.Duration,
	machineType cloud.Type, capacity int) *Cloud {
	return &Cloud{Type: machineType, Capacity: capacity, Gangs: newGangs(defaultGangWait, defaultGangNotice), network: network,
		invariants: invariants, controllerNames: controllerNames, controllerAddrs: controllerAddrs, lease: lease,
		rentals: map[string][]string{}, machines: map[string]*Agent{}}
}

// Change calls change to modify the exported fields, with the lock of the cloud held.
func (c *Cloud) Change(change func(*Cloud)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

// SetFaults replaces all active faults of the cloud.
func (c *Cloud) SetFaults(faults CloudFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// NumberMachinesFrom numbers the machines that are rented from now on from first upwards, as if those
// with lower numbers had been rented before.
func (c *Cloud) NumberMachinesFrom(first int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextMachine = first
}

// Machines returns the rented machines, sorted by name.
func (c *Cloud) Machines() []*Agent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var machines []*Agent
	for _, machine := range c.machines {
		machines = append(machines, machine)
	}
	sort.Slice(machines, func(i, j int) bool { return machines[i].Name < machines[j].Name })
	return machines
}

// Returned returns the names of the machines that were returned, in the order of their return.
func (c *Cloud) Returned() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.returned...)
}

// Handle answers a request to the cloud.
func (c *Cloud) Handle(_ context.Context, req *wire.Request) wire.Response {
	time.Sleep(cloudLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.Down {
		return wire.Response{Status: wire.StatusServiceUnavailable, Body: wire.Marshal(map[string]string{"error": "trouble"})}
	}
	switch {
	case req.Path == "/catalog":
		return ok(map[string]any{"builds": []cloud.Type{c.Type}})
	case req.Path == "/rentals" && req.Method == wire.MethodGet:
		return c.list(parseQuery(req.Query))
	case req.Path == "/rentals":
		return c.rent(req.Body)
	case req.Path == "/rentals/return":
		return c.returnMachines(req.Body)
	}
	return wire.Response{Status: wire.StatusBadRequest}
}

// list responds with a page of the machines, sorted by name, without those rented within the last Lag.
// The caller holds mu.
func (c *Cloud) list(query map[string]string) wire.Response {
	var page []cloud.Machine
	for _, machine := range c.machines {
		if time.Since(machine.rentedAt) < c.Lag {
			continue
		}
		status := cloud.MachineRunning
		if !machine.Booted() {
			status = cloud.MachineStarting
		}
		page = append(page, cloud.Machine{Name: machine.Name, Addr: machine.Addr, Type: c.Type.Name, Zone: machine.Zone, Status: status})
	}
	sort.Slice(page, func(i, j int) bool { return page[i].Name < page[j].Name })
	limit, _ := strconv.Atoi(query["limit"])
	page = page[sort.Search(len(page), func(i int) bool { return page[i].Name > query["after"] }):]
	hasMore := len(page) > limit
	return ok(map[string]any{"shelves": page[:min(limit, len(page))], "has_next": hasMore})
}

// rent rents and boots machines up to the capacity. Spot instances are never available. A request that
// repeats the name of an earlier successful one gets the machines of that one. The caller holds mu.
func (c *Cloud) rent(body []byte) wire.Response {
	var rental cloud.Rental
	if wire.Unmarshal(body, &rental) != nil || rental.Count > cloud.MaxRent {
		return wire.Response{Status: wire.StatusBadRequest}
	}
	names, isRepeated := c.rentals[rental.Name]
	if !isRepeated {
		for range rental.Count {
			if len(c.machines) == c.Capacity || rental.Spot {
				break
			}
			machine := newAgent(c, fmt.Sprintf("vm-%06d", c.nextMachine), rental.Zone)
			c.nextMachine++
			c.machines[machine.Name] = machine
			names = append(names, machine.Name)
			go machine.run(time.Duration(c.Type.BootS * float64(time.Second)))
		}
		if names == nil {
			return wire.Response{Status: wire.StatusServiceUnavailable, Body: wire.Marshal(map[string]string{"error": "no capacity"})}
		}
		c.rentals[rental.Name] = names
	}
	return ok(map[string]any{"shelves": names})
}

// returnMachines terminates machines immediately and ignores names that are not rented. The caller holds
// mu.
func (c *Cloud) returnMachines(body []byte) wire.Response {
	var request struct {
		Names []string `cbor:"shelves"`
	}
	if wire.Unmarshal(body, &request) != nil || len(request.Names) > cloud.MaxReturn {
		return wire.Response{Status: wire.StatusBadRequest}
	}
	for _, name := range request.Names {
		if machine := c.machines[name]; machine != nil {
			machine.terminate()
			delete(c.machines, name)
			c.returned = append(c.returned, name)
		}
	}
	return ok(map[string]any{})
}
