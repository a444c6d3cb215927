package job

// The identity of attempts, and the names of tasks.

import (
	"strconv"
	"strings"
)

// AttemptID identifies one attempt to run a task. No two attempts of a task ever share a number;
// the attempts to run the tasks of a gang together do.
type AttemptID struct {
	Task   string // name of the task, see TaskName
	Number uint64 // see AttemptNumber
}

// Term returns the term of the leader that made the attempt.
func (id AttemptID) Term() uint64 { return id.Number >> sequenceBits }

// sequenceBits leaves room for 16 million attempts in one term.
const sequenceBits = 24

// AttemptNumber returns the number of the attempt that a leader makes in a term, given how many it
// has made before. Numbers of a later term are higher.
func AttemptNumber(term, sequence uint64) uint64 { return term<<sequenceBits | sequence }

// taskSeparator stands between the ID of a job and the index of a task in the task's name.
const taskSeparator = "/"

// TaskName returns the name under which a job's task is known to worker agents.
func TaskName(jobID string, task int) string { return jobID + taskSeparator + strconv.Itoa(task) }

// ParseTaskName splits the name of a task into its job's ID and its index. It returns ok as false,
// and no other result counts, for what is not such a name; the ID itself is not checked.
func ParseTaskName(name string) (jobID string, task int, ok bool) {
	jobID, index, found := strings.Cut(name, taskSeparator)
	task, err := strconv.Atoi(index)
	return jobID, task, found && err == nil && task >= 0
}
