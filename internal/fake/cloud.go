package fake

// The cloud: it rents machines, on each of which an agent runs, and takes them back.

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
	// cloudLatency is the time that each request takes.
	cloudLatency = 100 * time.Millisecond
	// GangWait and GangNotice of the gangs on a cloud, as in the settings of the cluster tests.
	defaultGangWait   = 45 * time.Second
	defaultGangNotice = 4 * time.Second
)

// Cloud rents machines of one type. Its exported fields may be changed before it serves, and by Change
// afterwards.
type Cloud struct {
	Type     cloud.Type
	Capacity int           // machines in all
	Lag      time.Duration // for which a list leaves out a machine that was just rented
	Gangs    *Gangs        // that run on its machines

	network         *Network
	invariants      *InvariantChecker
	controllerNames []string
	controllerAddrs []string // to which agents send heartbeats, in the order of the names
	lease           time.Duration

	mu          sync.Mutex // guards all below, and the exported fields
	machines    map[string]*Agent
	rentals     map[string][]string // names of machines, by the name of the request
	nextMachine int
	returned    []string
	faults      CloudFaults
}

// CloudFaults are the present faults of a cloud.
type CloudFaults struct {
	// Down refuses all requests with status 503. It stands for an outage of the cloud's interface;
	// machines run on.
	Down bool
}

// NewCloud returns a cloud with so many machines of one type. Their agents hold a lease and send
// heartbeats to the controllers that the names and addresses give.
func NewCloud(network *Network, invariants *InvariantChecker, controllerNames, controllerAddrs []string, lease time.Duration,
	machineType cloud.Type, capacity int) *Cloud {
	return &Cloud{Type: machineType, Capacity: capacity, Gangs: newGangs(defaultGangWait, defaultGangNotice), network: network,
		invariants: invariants, controllerNames: controllerNames, controllerAddrs: controllerAddrs, lease: lease,
		rentals: map[string][]string{}, machines: map[string]*Agent{}}
}

// Change changes the exported fields while the cloud serves.
func (c *Cloud) Change(change func(*Cloud)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(c)
}

// SetFaults replaces all faults.
func (c *Cloud) SetFaults(faults CloudFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// NumberMachinesFrom numbers the machines that are rented next from first on, as if the cloud had
// rented the others before.
func (c *Cloud) NumberMachinesFrom(first int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextMachine = first
}

// Machines returns the machines that are rented, by name.
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

// Returned returns the names of the machines that were returned, in that order.
func (c *Cloud) Returned() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.returned...)
}

// Handle answers one request.
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

// list answers with a page of the machines, without those that were rented within Lag. The caller
// holds mu.
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

// rent rents machines, once for each name of a request, and boots them. The caller holds mu.
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

// returnMachines ends machines at once. The caller holds mu.
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
