package placement

// Assignment sends one task of a job to a machine.
type Assignment struct {
	Job     int // position in the list of jobs
	Machine int
}

// Preemption asks for a task to be stopped to make room for a job.
type Preemption struct {
	Machine int
	Task    int // ID
	For     int // position in the list of jobs
}

// Plan is the outcome of one pass.
type Plan struct {
	Assignments []Assignment
	Preemptions []Preemption
	Unplaced    []int // by position of the job: tasks that found no machine though the team had room
}
