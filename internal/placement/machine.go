package placement

// Machines in the snapshot of a pass, and the tasks on them.

import "time"

// Machine is a machine in the snapshot of a pass. It is identified by its position in the list of
// machines.
type Machine struct {
	AcceptsTasks bool    // new tasks may be placed on it; cleared when it is reserved for a gang
	Type         int     // dense index of the machine type; negative: unknown, nothing is placed on it
	Zone         int     // dense index of the zone; negative: unknown, nothing is placed on it
	Spot         bool    // spot instance, which the cloud may reclaim at any time
	Free         Amounts // resources that no task has booked
	LoadIndex    float64 // value of its LoadIndex
	FetchesImage bool    // an image is being fetched to it
	Tasks        []Task  // booked tasks, which preemption and reservations read

	// ListedTasks is the number of tasks that its heartbeats list or will list: those booked, and exited ones until
	// the agent is told to forget them.
	ListedTasks int
}

// MaxListedTasks is the maximum of Machine.ListedTasks. A heartbeat of 64 KiB, the protocol's limit, lists this many
// tasks with up to 120 bytes each.
//
// Guards against machines that lose all of their tasks: a heartbeat beyond the limit is refused until the lease expires
// (docs/incidents/heartbeats-over-limit.md).
const MaxListedTasks = 512

// taskSlots returns how many further tasks its heartbeats can list.
func (m *Machine) taskSlots() int { return MaxListedTasks - m.ListedTasks }

// fits reports whether there is room for another task with the given need.
func (m *Machine) fits(need Amounts) bool { return m.taskSlots() > 0 && m.Free.Fits(need) }

// fittingCount returns for how many further tasks with the given need there is room.
func (m *Machine) fittingCount(need Amounts) int {
	return min(m.taskSlots(), m.Free.FittingCount(need))
}

// Task is a task booked on a machine.
type Task struct {
	ID               int // identifier set by the caller; of equal victims the lowest ID is stopped first
	Need             Amounts
	Priority         int
	Team             int    // position in the list of teams; negative: unknown, and the task is never preempted
	JobArrival       uint64 // Arrival of its job
	StartedAt        time.Time
	Gang             uint64    // set by the caller, the same for all members of a gang; 0: not in a gang
	MembersElsewhere int       // number of other members of its gang, which stop with it and lose as much
	EndsAt           time.Time // expected end; zero: does not end by itself
	Stopping         bool      // was told to stop and may still run
}
