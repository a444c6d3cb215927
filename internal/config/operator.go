package config

import "time"

// Operator holds the operators' own settings.
type Operator struct {
	Smoothing        time.Duration // T of the load index
	IndexUpdate      time.Duration // how often the index is updated
	ReconcileTimeout time.Duration // longest time a new leader gathers reports
	LeaderLease      time.Duration // leased leader key
	UnhealthyAfter   time.Duration // no report for so long: no new tasks there
	ReplaceAfter     time.Duration // silent for so long: the machine is returned
	IdleReturn       time.Duration // empty for so long: the machine is returned
	Reserve          float64       // CPUs kept free, as a share of those in use
}

// DefaultOperator returns the values used where the operator file is silent.
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
