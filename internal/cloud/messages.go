package cloud

// Messages of the cloud's protocol. The protocol defines the codec tags and the values of
// MachineStatus.

// Limits that the protocol sets on one request.
const (
	MaxRent     = 50  // machines in one rental
	MaxReturn   = 100 // machines in one return
	maxPageSize = 500 // machines in one page of the list
)

// Type is a machine type in the catalog.
type Type struct {
	Name      string   `cbor:"name"`
	CPUs      float64  `cbor:"cpus"`
	GPUs      float64  `cbor:"gpus"`
	RAM       float64  `cbor:"ram_gb"`        // GB
	Disk      float64  `cbor:"local_gb"`      // GB, for the image cache
	FetchRate float64  `cbor:"pull_gb_per_s"` // rate at which images are pulled, in GB/s
	Hourly    float64  `cbor:"hourly"`        // on-demand price, per hour
	SpotPrice float64  `cbor:"spot_price"`    // price as a spot instance, per hour
	BootS     float64  `cbor:"startup_s"`     // boot time of a machine, in seconds
	Zones     []string `cbor:"depots"`        // zones where the type can be rented
}

// Machine is one entry of the list of machines.
type Machine struct {
	Name   string        `cbor:"uid"`
	Addr   string        `cbor:"endpoint"` // IPv4 address and port of its agent
	Type   string        `cbor:"build"`    // name of a Type
	Zone   string        `cbor:"depot"`
	Spot   bool          `cbor:"loaners"`
	Status MachineStatus `cbor:"status"`
	AgeS   float64       `cbor:"held_s"` // time since the rental, in seconds
}

// MachineStatus is the state of a machine according to the cloud.
type MachineStatus string

// Statuses of a listed machine.
const (
	MachineStarting MachineStatus = "starting"
	MachineRunning  MachineStatus = "running"
	MachineFailed   MachineStatus = "failed" // nothing runs on the machine any more
)

// Rental is a request for machines. Its name makes it idempotent: a repeated request with the same
// name returns the machines of the first one. A name must not be used for a different request.
type Rental struct {
	Name  string `cbor:"hire"`
	Type  string `cbor:"build"` // name of a Type
	Zone  string `cbor:"depot"`
	Spot  bool   `cbor:"loaners"`
	Count int    `cbor:"number"` // at most MaxRent
}

// catalogResponse is the body of a response with the catalog.
type catalogResponse struct {
	Types []Type `cbor:"builds"`
}

// rentResponse is the body of a successful response to a Rental.
type rentResponse struct {
	Machines []string `cbor:"shelves"` // names; may be fewer than Rental.Count
}

// returnRequest is the body of a request that returns machines.
type returnRequest struct {
	Machines []string `cbor:"shelves"` // names, at most MaxReturn
}

// listResponse is the body of a response with one page of the list, sorted by name.
type listResponse struct {
	Machines []Machine `cbor:"shelves"`
	More     bool      `cbor:"has_next"` // true if machines follow the last one
}

// noCapacity is the error text of a wire.Problem that refuses a rental for lack of machines.
const noCapacity = "no capacity"
