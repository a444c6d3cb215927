package config

// The platform's settings, as the rest of the program uses them.

import (
	"fmt"
	"slices"
	"time"
)

// Settings is what the platform hands over to one controller. Addresses are an IPv4 address and a
// port.
type Settings struct {
	Node       string // name of this controller
	Zone       string // that it runs in
	Listen     string // address for users and worker agents
	PeerListen string // address for other controllers
	Peers      []Peer // the other controllers
	CloudAddr  string
	StoreAddr  string   // of the key-value store
	Zones      []string // that machines are rented in
	Teams      []Team   // each name once
	Objectives []Objective
	Workers    Workers
	Store      StoreLimits
	Cloud      CloudLimits
	Resources  Resources
}

// Peer is another controller.
type Peer struct {
	Node string // its name
	Zone string // that it runs in
	Addr string // its PeerListen
}

// Team has a quota, guaranteed and maximum, of CPUs and of GPUs. No guarantee is 0, no maximum is
// +Inf. A maximum may be below the guarantee, and holds all the same: see Settings.Warnings.
type Team struct {
	Name           string
	GuaranteedCPUs float64
	MaxCPUs        float64
	GuaranteedGPUs float64
	MaxGPUs        float64
}

// Opportunistic reports whether the team has no guarantee: it uses what others leave.
func (t *Team) Opportunistic() bool { return t.GuaranteedCPUs == 0 && t.GuaranteedGPUs == 0 }

// Objective is one service-level objective.
type Objective struct {
	Kind   ObjectiveKind
	Class  string        // class of the jobs that it is about; "": of all
	Within time.Duration // in which they should start or be complete; 0: not given
	Times  float64       // of the expected run time in which they should be complete; 0: not given
}

// ObjectiveKind is what a service-level objective is about, in the protocol's words.
type ObjectiveKind string

// Kinds of the objectives on the time until a job starts. All others are on the time until it is
// complete.
const (
	KindWait      ObjectiveKind = "wait"      // of a class
	KindGuarantee ObjectiveKind = "guarantee" // of work within its team's guarantee
)

// Workers holds the fixed intervals of the worker agents.
type Workers struct {
	HeartbeatInterval time.Duration
	Lease             time.Duration // for which an agent keeps its tasks without a response
	CancelDeadline    time.Duration // from a cancellation until no task of the job may run any more
	GangWait          time.Duration // for which a task waits for the others of its gang; 0: not known
	GangNotice        time.Duration // within which a gang's tasks notice that one is gone; 0: not known
}

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	RPS        float64 // requests a second
	WriteRPS   float64 // mutations a second
	ValueBytes int     // bytes of one value
	TxnOps     int     // mutations of one transaction

	// Next holds the limits from some moment on that nobody announces, none higher than now; nil:
	// they stay as they are.
	Next *StoreLimits
}

// Safe returns limits within which every value and transaction stays, before that moment and after
// it. Rates are those of now: keeping the lower ones early would delay starts, and the store says
// when one is exceeded.
func (s StoreLimits) Safe() StoreLimits {
	if s.Next != nil {
		s.ValueBytes = min(s.ValueBytes, s.Next.ValueBytes)
		s.TxnOps = min(s.TxnOps, s.Next.TxnOps)
	}
	return s
}

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	RPS     float64       // requests a second, of all controllers together
	ListLag time.Duration // by which its list of machines may be out of date
}

// Resources holds what this process may use.
type Resources struct {
	CPUShare   float64 // CPUs
	MemBytes   int64
	MaxSockets int
}

// Warnings returns a line for each setting that is allowed but hardly meant.
func (s *Settings) Warnings() []string {
	var warnings []string
	for _, team := range s.Teams {
		if team.MaxCPUs < team.GuaranteedCPUs || team.MaxGPUs < team.GuaranteedGPUs {
			warnings = append(warnings, fmt.Sprintf("team %s: its limit is below its guarantee, and holds", team.Name))
		}
	}
	return warnings
}

// HasController reports whether a controller runs in the zone, this one included.
func (s *Settings) HasController(zone string) bool {
	return s.Zone == zone || slices.ContainsFunc(s.Peers, func(peer Peer) bool { return peer.Zone == zone })
}
