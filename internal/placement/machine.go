package placement

// Machines and their tasks, as a pass sees them.

import "time"

// Machine is a machine in the snapshot of a pass. Its position in the list is its name.
type Machine struct {
	AcceptsTasks bool    // takes new tasks
	Type         int     // dense index of the machine type; negative: unknown, takes no tasks
	Zone         int     // dense index; negative: unknown, takes no tasks
	Spot         bool    // may be taken back by the cloud at any time
	Free         Amounts // not booked
	Load         float64 // value of its load Index
	FetchesImage bool    // fetches an image
	Tasks        []Task  // booked tasks, which preemption and reservations look at
}

// Task is a task that is booked on a machine.
type Task struct {
	ID               int // the caller's name for it; of equal victims the lowest is stopped first
	Need             Amounts
	Priority         int
	Team             int // position in the list of teams; negative: unknown, never preempted
	StartedAt        time.Time
	MembersElsewhere int       // members of its gang on other machines, which lose as much when it is stopped
	EndsAt           time.Time // when it is expected to end by itself; zero: it does not
	Stopping         bool      // has been told to stop and may still run
}
