package config

// The operators' own settings, as the rest of the program uses them.

import "time"

// Operator holds the operators' own settings. docs/operations.md describes them to operators, with their
// names in the operator file. ReplaceAfter is not below UnhealthyAfter.
type Operator struct {
	Smoothing        time.Duration // time constant of the smoothing of a machine's load index
	IndexUpdate      time.Duration // interval between updates of the load index
	ReconcileTimeout time.Duration // maximum time for which a new leader waits for heartbeats
	LeaderLease      time.Duration // lease duration of the leader's key
	UnhealthyAfter   time.Duration // time without a heartbeat until nothing new is placed on a machine
	ReplaceAfter     time.Duration // time without a heartbeat until a machine is returned
	IdleReturn       time.Duration // time for which a machine is empty before it is returned
	Reserve          float64       // CPUs kept free for services, as a share of unfinished services' CPUs
}

// DefaultOperator returns the values of the settings that the operator file leaves out.
func DefaultOperator() Operator {
	return Operator{
		Smoothing:        4 * time.Second,
		IndexUpdate:      time.Second,
		ReconcileTimeout: 10 * time.Second,
		LeaderLease:      2500 * time.Millisecond,
		UnhealthyAfter:   10 * time.Second,
		ReplaceAfter:     14 * time.Second,
		IdleReturn:       10 * time.Second,
		Reserve:          0.15,
	}
}
