package config

// The operators' own settings, as the rest of the program uses them.

import "time"

// Operator holds the operators' own settings. What they mean to an operator, with their names in the
// operator file, is in docs/operations.md.
type Operator struct {
	Smoothing        time.Duration // over which the load index of a machine is smoothed
	IndexUpdate      time.Duration // between updates of the load index
	ReconcileTimeout time.Duration // after which a new leader waits for no more heartbeats
	LeaderLease      time.Duration // of the leader's key
	UnhealthyAfter   time.Duration // without a heartbeat until nothing new is placed on a machine
	ReplaceAfter     time.Duration // without a heartbeat until a machine is returned; not below UnhealthyAfter
	IdleReturn       time.Duration // for which a machine stays empty before it is returned
	Reserve          float64       // CPUs kept free, as a share of those in use
}

// DefaultOperator returns the values that hold for what the operator file leaves out.
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
