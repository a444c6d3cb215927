package cloud

// Messages: what the cloud and its client send each other. Codec tags and the values of
// MachineStatus are the protocol's words.

// Limits of the protocol on one request.
const (
	MaxRent     = 50  // machines of one rental
	MaxReturn   = 100 // machines returned at once
	maxPageSize = 500 // machines in one page of the list
)

// Type is a machine type of the catalog.
type Type struct {
	Name      string   `cbor:"name"`
	CPUs      float64  `cbor:"cpus"`
	GPUs      float64  `cbor:"gpus"`
	RAM       float64  `cbor:"ram_gb"`        // GB
	Disk      float64  `cbor:"local_gb"`      // GB, for the image cache
	FetchRate float64  `cbor:"pull_gb_per_s"` // GB a second at which images are pulled
	Hourly    float64  `cbor:"hourly"`        // price of an hour on demand
	SpotPrice float64  `cbor:"spot_price"`    // price of an hour as a spot instance
	BootS     float64  `cbor:"startup_s"`     // seconds that a machine takes to boot
	Zones     []string `cbor:"depots"`        // where it can be rented
}

// Machine is one entry of the list of machines.
type Machine struct {
	Name   string        `cbor:"uid"`
	Addr   string        `cbor:"endpoint"` // IPv4 address and port of its agent
	Type   string        `cbor:"build"`    // name of a Type
	Zone   string        `cbor:"depot"`
	Spot   bool          `cbor:"loaners"`
	Status MachineStatus `cbor:"status"`
	AgeS   float64       `cbor:"held_s"` // seconds since it was rented
}

// MachineStatus is how far the cloud says that a machine has come.
type MachineStatus string

// Statuses of a listed machine.
const (
	MachineStarting MachineStatus = "starting"
	MachineRunning  MachineStatus = "running"
	MachineFailed   MachineStatus = "failed" // nothing runs on it any more
)

// Rental is a request for machines. Its name makes it idempotent: the same name is answered with the
// machines of the first time, and is never used for another request.
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
	Machines []string `cbor:"shelves"` // names; may be fewer than were asked for
}

// returnRequest is the body of a request that returns machines.
type returnRequest struct {
	Machines []string `cbor:"shelves"` // names, at most MaxReturn
}

// listResponse is the body of a response with a page of the list, in order of names.
type listResponse struct {
	Machines []Machine `cbor:"shelves"`
	More     bool      `cbor:"has_next"`
}

// noCapacity is the text of a wire.Problem that refuses a rental for lack of machines.
const noCapacity = "no capacity"
