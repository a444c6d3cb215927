package placement

// The outcome of a pass.

// Plan is the outcome of one pass. Assignments and preemptions are in the order in which they were
// decided.
type Plan struct {
	Assignments []Assignment
	Preemptions []Preemption

	// Unplaced is the number of waiting tasks without room on free resources, by position of the job.
	// For a gang it is the number of all its waiting tasks, or 0. It is also 0 for anticipated gangs and
	// for independent tasks of a team at its limit.
	//
	// Tasks for which victims are preempted count as unplaced, with one exception: if an urgent job of
	// independent tasks has FetchTooSlow, those for which it preempts on machines that have its image do
	// not count.
	Unplaced []int
}

// Assignment places one task of a job on a machine.
type Assignment struct {
	Job     int // position in the list of jobs
	Machine int // position in the list of machines
}

// Preemption is a request to stop a task so that a task of a job fits on its machine.
type Preemption struct {
	Machine int // position in the list of machines
	TaskID  int // Task.ID
	Job     int // position in the list of jobs
}
