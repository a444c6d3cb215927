package config

import (
	"fmt"
	"slices"
	"time"
)

// Settings is what the platform hands over to one controller.
type Settings struct {
	Node       string
	Zone       string
	Listen     string
	PeerListen string
	Peers      []Peer
	CloudAddr  string
	StoreAddr  string
	Zones      []string
	Teams      []Team
	Objectives []Objective
	Workers    Workers
	Store      StoreLimits
	Cloud      CloudLimits
	Resources  Resources
}

// Peer is another controller.
type Peer struct{ Node, Zone, Addr string }

// Team has a guarantee and a limit on each of CPUs and GPUs. No guarantee is 0, no
// limit is infinite.
type Team struct {
	Name                                             string
	GuaranteedCPUs, MaxCPUs, GuaranteedGPUs, MaxGPUs float64
}

// Opportunistic tells whether the team has no guarantee: it uses what others leave.
func (t *Team) Opportunistic() bool { return t.GuaranteedCPUs == 0 && t.GuaranteedGPUs == 0 }

// Objective restates one aim at start or at finish.
type Objective struct {
	Kind   ObjectiveKind
	Class  string
	Within time.Duration
	Times  float64
}

// ObjectiveKind is what a service-level objective is about, in the protocol's words.
type ObjectiveKind string

// Kinds of the objectives at start: of a class, and of work within its team's guarantee.
const (
	KindWait      ObjectiveKind = "wait"
	KindGuarantee ObjectiveKind = "guarantee"
)

// Workers holds the workers' fixed intervals.
type Workers struct {
	HeartbeatInterval, Lease, CancelDeadline time.Duration

	GangWait   time.Duration // for which a task waits for the others of its gang; 0: not known
	GangNotice time.Duration // within which a gang's tasks notice that one is gone; 0: not known
}

// StoreLimits holds the limits of the state service.
type StoreLimits struct {
	RPS, WriteRPS float64
	ValueBytes    int
	TxnOps        int

	// Next holds what is lower from some moment on that nobody announces; nil: nothing.
	Next *StoreLimits
}

// Safe returns limits within which every value and transaction stays, before that moment
// and after it. Rates are those of now: keeping the lower ones early costs starts, and
// the service says when one is exceeded.
func (s StoreLimits) Safe() StoreLimits {
	if s.Next != nil {
		s.ValueBytes, s.TxnOps = min(s.ValueBytes, s.Next.ValueBytes), min(s.TxnOps, s.Next.TxnOps)
	}
	return s
}

// CloudLimits holds the limits of the cloud.
type CloudLimits struct {
	RPS     float64
	ListLag time.Duration
}

// Resources holds what this process may use.
type Resources struct {
	CPUShare   float64
	MemBytes   int64
	MaxSockets int
}

// Warnings names what is allowed in the settings but hardly meant, a line each.
func (s *Settings) Warnings() []string {
	var out []string
	for _, t := range s.Teams {
		if t.MaxCPUs < t.GuaranteedCPUs || t.MaxGPUs < t.GuaranteedGPUs {
			out = append(out, fmt.Sprintf("team %s: its limit is below its guarantee, and holds", t.Name))
		}
	}
	return out
}

// HasController tells whether a controller stands in a zone.
func (s *Settings) HasController(zone string) bool {
	return s.Zone == zone || slices.ContainsFunc(s.Peers, func(p Peer) bool { return p.Zone == zone })
}
