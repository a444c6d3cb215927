package placement

// The outcome of a pass.

// Plan is the outcome of one pass. Assignments and preemptions are in the order in which they were
// decided.
type Plan struct {
	Assignments []Assignment
	Preemptions []Preemption

	// Unplaced is the number of tasks that found no machine, by position of the job. It is 0 for
	// independent tasks of a team at its limit and for anticipated gangs. Tasks for which victims are
	// stopped are included, except where an urgent job with FetchTooSlow preempts on machines that have
	// its image.
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
