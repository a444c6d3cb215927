package placement

// The outcome of a pass.

// Plan is the outcome of one pass. The order of its lists is the order of the decisions.
type Plan struct {
	Assignments []Assignment
	Preemptions []Preemption
	Unplaced    []int // by position of the job: tasks that found no machine though the team had room
}

// Assignment sends one task of a job to a machine.
type Assignment struct {
	Job     int // position in the list of jobs
	Machine int // position in the list of machines
}

// Preemption asks for a task to be stopped to make room for a job.
type Preemption struct {
	Machine int // position in the list of machines
	TaskID  int // ID
	Job     int // position in the list of jobs
}
