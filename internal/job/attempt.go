package job

// This file defines the identity of attempts and the names of tasks.

import (
	"strconv"
	"strings"
)

// AttemptID identifies one attempt to run a task. Attempts to run the same task always have different
// numbers. Attempts to run the tasks of a gang together have the same number.
type AttemptID struct {
	Task   string // name of the task, see TaskName
	Number uint64 // see AttemptNumber
}

// Term returns the term of the leader that created the attempt.
func (id AttemptID) Term() uint64 { return id.Number >> sequenceBits }

// sequenceBits is the width of the sequence number in an attempt number, in bits. It allows 16 million
// attempt numbers in one term.
const sequenceBits = 24

// MaxAttemptSequence is the highest sequence number in a term.
const MaxAttemptSequence = 1<<sequenceBits - 1

// AttemptNumber returns the attempt number for a leader's term and a sequence number in that term, at most
// MaxAttemptSequence. Numbers of a later term are higher.
func AttemptNumber(term, sequence uint64) uint64 { return term<<sequenceBits | sequence }

// taskSeparator separates the ID of a job from the index of a task in the task's name.
const taskSeparator = "/"

// TaskName returns the name by which worker agents identify a job's task.
func TaskName(jobID string, task int) string { return jobID + taskSeparator + strconv.Itoa(task) }

// ParseTaskName splits a task's name into the job's ID, which it does not check, and the task's index.
// If name does not have this form, ok is false and the other results are invalid.
func ParseTaskName(name string) (jobID string, task int, ok bool) {
	jobID, index, found := strings.Cut(name, taskSeparator)
	task, err := strconv.Atoi(index)
	return jobID, task, found && err == nil && task >= 0
}
