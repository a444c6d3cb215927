package cloud

// Type is a machine type of the catalog.
type Type struct {
	Name      string   `cbor:"name"`
	CPUs      float64  `cbor:"cpus"`
	GPUs      float64  `cbor:"gpus"`
	RAM       float64  `cbor:"ram_gb"`
	Disk      float64  `cbor:"local_gb"`
	FetchRate float64  `cbor:"pull_gb_per_s"`
	Hourly    float64  `cbor:"hourly"`
	SpotPrice float64  `cbor:"spot_price"`
	BootS     float64  `cbor:"startup_s"`
	Zones     []string `cbor:"depots"`
}

// Machine is one entry of the list of machines.
type Machine struct {
	Name   string  `cbor:"uid"`
	Addr   string  `cbor:"endpoint"`
	Type   string  `cbor:"build"`
	Zone   string  `cbor:"depot"`
	Spot   bool    `cbor:"loaners"`
	Status string  `cbor:"status"`
	AgeS   float64 `cbor:"held_s"`
}

// Statuses of a listed machine.
const (
	Starting = "starting"
	Running  = "running"
	Failed   = "failed"
)

// Rental is a request for machines. Its name is never used for another one.
type Rental struct {
	Name  string `cbor:"hire"`
	Type  string `cbor:"build"`
	Zone  string `cbor:"depot"`
	Spot  bool   `cbor:"loaners"`
	Count int    `cbor:"number"`
}

// Limits of the protocol.
const (
	MaxRent   = 50
	MaxReturn = 100
	maxList   = 500
)
