package placement

import "time"

// Machine is a machine as placement sees it. Its position in the list is its
// dense index.
type Machine struct {
	Open  bool // takes new tasks
	Type  int
	Zone  int
	Spot  bool
	Free  Amounts
	Load  float64 // the index
	Fetch bool    // fetches an image
	Tasks []Task  // booked tasks, for preemption
}

// Task is a booked task.
type Task struct {
	ID               int // the caller's
	Need             Amounts
	Priority         int
	Team             int
	StartedAt        time.Time
	MembersElsewhere int       // tasks on other machines that lose as much when it is stopped
	EndsAt           time.Time // when it ends by itself, about; zero: it does not
	Stopping         bool
}
