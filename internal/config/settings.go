package config

// The platform's settings, as the rest of the program uses them.

import (
	"fmt"
	"slices"
	"time"
)

// Settings holds the platform's settings of one controller. Each address is an IPv4 address and a port.
type Settings struct {
	Node       string // name of this controller
	Zone       string // zone of this controller
	Listen     string // listen address for users and worker agents
	PeerListen string // listen address for other controllers
	Peers      []Peer // the other controllers
	CloudAddr  string
	StoreAddr  string   // address of the key-value store
	Zones      []string // zones in which machines are rented
	Teams      []Team   // teams, each with a name of its own
	Objectives []Objective
	Workers    Workers
	Store      StoreLimits
	Cloud      CloudLimits
	Resources  Resources
}

// Peer is another controller.
type Peer struct {
	Node string // name of the controller
	Zone string // zone of the controller
	Addr string // its listen address for other controllers
}

// Team is a team with its quota: a guarantee and a limit (MaxCPUs, MaxGPUs), each in CPUs and in GPUs. 0
// stands for no guarantee, +Inf for no limit. A limit below the guarantee is allowed and takes effect;
// Settings.Warnings reports it.
type Team struct {
	Name           string
	GuaranteedCPUs float64
	MaxCPUs        float64
	GuaranteedGPUs float64
	MaxGPUs        float64
}

// Opportunistic reports whether the team has no guarantee, so that it uses only what other teams leave.
func (t *Team) Opportunistic() bool { return t.GuaranteedCPUs == 0 && t.GuaranteedGPUs == 0 }

// Objective is one service-level objective.
type Objective struct {
	Kind   ObjectiveKind
	Class  string        // class of the jobs to which the objective applies; "": all classes
	Within time.Duration // time within which they should start or be complete; 0: not given
	Times  float64       // multiple of the expected run time for their completion; 0: not given
}

// ObjectiveKind is the kind of a service-level objective, as the protocol names it.
type ObjectiveKind string

// Kinds of the objectives on the time until a job starts. All others are on the time until it is
// complete.
const (
	KindWait      ObjectiveKind = "wait"      // start of the jobs of a class
	KindGuarantee ObjectiveKind = "guarantee" // start of jobs within their team's guarantee
)

// Workers holds the fixed intervals of the worker agents.
type Workers struct {
	HeartbeatInterval time.Duration
	Lease             time.Duration // time for which an agent keeps its tasks without a response
	CancelDeadline    time.Duration // time from a confirmed cancellation until the job's tasks must end
	GangWait          time.Duration // time for which a task waits for its gang's other members; 0: unknown
	GangNotice        time.Duration // time within which a gang's members detect that one is gone; 0: unknown
}

// HeartbeatOverdue returns the age from which a machine's last heartbeat counts as late.
func (w *Workers) HeartbeatOverdue() time.Duration { return w.HeartbeatInterval * 3 / 2 }

// StoreLimits holds the limits of the key-value store.
type StoreLimits struct {
	RPS        float64 // requests a second
	WriteRPS   float64 // mutations a second
	ValueBytes int     // length of one value in bytes
	TxnOps     int     // mutations in one transaction

	// Next holds the limits that will replace these at a time that is not announced. None is higher than
	// the current one. nil: the limits do not change.
	Next *StoreLimits
}

// Safe returns the limits with those on values and transactions lowered, so that these hold both before
// and after Next takes effect. The rates remain the current ones: the rates of Next, applied before they
// are in force, would delay the start of tasks. Once in force, they show in the store's refusals of
// requests that exceed them.
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
	ListLag time.Duration // maximum age of the state that its list of machines shows
}

// Resources holds the limits on the resources of this process.
type Resources struct {
	CPUShare   float64 // number of CPUs, which may be a fraction
	MemBytes   int64
	MaxSockets int
}

// Warnings returns a line for each setting that is allowed but probably a mistake.
func (s *Settings) Warnings() []string {
	var warnings []string
	for _, team := range s.Teams {
		if team.MaxCPUs < team.GuaranteedCPUs || team.MaxGPUs < team.GuaranteedGPUs {
			warnings = append(warnings, fmt.Sprintf("team %s: its limit is below its guarantee, and holds", team.Name))
		}
	}
	return warnings
}

// HasController reports whether this or another controller runs in the zone.
func (s *Settings) HasController(zone string) bool {
	return s.Zone == zone || slices.ContainsFunc(s.Peers, func(peer Peer) bool { return peer.Zone == zone })
}
