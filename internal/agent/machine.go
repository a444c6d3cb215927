package agent

import (
	"time"

	"tulipshelf/internal/job"
)

// Machine is one rented machine.
type Machine struct {
	Index           int // dense; that of a machine that is gone is given anew
	Name            string
	Addr            string
	Type            int
	Zone            int
	Spot            bool
	Registered      bool // has reported to this leader
	Incarnation     uint64
	Sequence        uint64
	FencingToken    uint64
	LastHeartbeat   time.Time // last report under this leader
	Created         time.Time // when this leader first knew of it
	TerminationAt   time.Time // when the cloud takes it away; zero: no notice
	Reported        map[job.AttemptID]TaskState
	Assignments     map[job.AttemptID]*Assignment
	FailedAttempts  int                 // failed attempts since the last that was done
	FailedJobs      map[string]struct{} // jobs whose tasks failed since then
	Quarantined     bool
	RequestInFlight bool
	LastProbe       time.Time    // when the leader last asked directly it, unheard
	ProbeFailed     bool         // it did not answer
	RelayedBy       string       // node through which it is heard, if not directly
	Failed          bool         // the cloud lists it as failed
	Booting         bool         // the cloud lists it as starting and it has not reported
	RetireReason    RetireReason // why it is being returned, empty: it is not
	Gone            bool

	Images            Images
	IdleSince         time.Time
	Version           uint64    // raised by every change of what is on the machine
	Listed            bool      // the cloud has named it to this leader, as rented or running
	UnresponsiveSince time.Time // since when it seems that nothing reaches it; zero: it does
	urgent            bool      // commands wait to be pushed
	hasUnknownTask    bool
	answers           answers
}

// HasUnknownTask tells whether the newest report listed a live attempt that was booked
// nowhere: it takes room all the same.
func (m *Machine) HasUnknownTask() bool { return m.hasUnknownTask }
