// This file defines the table of task states, with counts and a bound that make lookups cheap.

package jobstore

// taskState is the state of a task: waiting, live or done.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskLive              // has an attempt that is not proven gone
	taskDone
)

// taskRange is the half-open range of tasks [first, end).
type taskRange struct{ first, end int }

// taskTable holds the states of a job's tasks and their live attempts.
type taskTable struct {
	states            []taskState      // by task
	live              map[int]*Attempt // live attempts by task, one for each task in taskLive
	done              int              // number of tasks in taskDone
	waitingLowerBound int              // lower bound of the indices of tasks in taskWaiting
}

// newTaskTable returns the table of a job with a number of tasks, all of them waiting.
func newTaskTable(tasks int) taskTable {
	return taskTable{states: make([]taskState, tasks), live: map[int]*Attempt{}}
}

// rangeAt divides the tasks into ranges of the given size, of which the last may be shorter, and returns
// the range with the given index, counted from 0.
func (t *taskTable) rangeAt(index, size int) taskRange {
	first := index * size
	return taskRange{first, min(first+size, len(t.states))}
}

// waiting returns the number of tasks in taskWaiting.
func (t *taskTable) waiting() int { return len(t.states) - t.done - len(t.live) }

// count returns the number of tasks of a range that are in a state.
func (t *taskTable) count(tasks taskRange, state taskState) int {
	n := 0
	for _, s := range t.states[tasks.first:tasks.end] {
		if s == state {
			n++
		}
	}
	return n
}

// nextWaiting returns the first waiting task at or after from, or -1 if there is none.
func (t *taskTable) nextWaiting(from int) int {
	for task := max(from, t.waitingLowerBound); task < len(t.states); task++ {
		if t.states[task] == taskWaiting {
			return task
		}
	}
	return -1
}

// start makes an attempt the live attempt of its task, which must be waiting.
func (t *taskTable) start(attempt *Attempt) {
	t.states[attempt.Task] = taskLive
	t.live[attempt.Task] = attempt
	for t.waitingLowerBound < len(t.states) && t.states[t.waitingLowerBound] != taskWaiting {
		t.waitingLowerBound++
	}
}

// end removes the live attempt of a task and sets the task to next, which is taskDone or taskWaiting.
func (t *taskTable) end(task int, next taskState) {
	delete(t.live, task)
	if next == taskDone {
		t.markDone(task)
		return
	}
	t.states[task] = taskWaiting
	t.waitingLowerBound = min(t.waitingLowerBound, task)
}

// markDone marks a task as done. The task must be waiting, or must have just lost its live attempt.
func (t *taskTable) markDone(task int) {
	t.states[task] = taskDone
	t.done++
}

// load makes an attempt from a stored chunk the live attempt of its task.
func (t *taskTable) load(attempt *Attempt) {
	t.states[attempt.Task] = taskLive
	t.live[attempt.Task] = attempt
}

// reset sets all tasks of a range to taskWaiting, before their states are loaded from a stored chunk.
func (t *taskTable) reset(tasks taskRange) {
	for task := tasks.first; task < tasks.end; task++ {
		if t.states[task] == taskDone {
			t.done--
		}
		t.states[task] = taskWaiting
		delete(t.live, task)
	}
}

// eachWaiting calls f for each waiting task, in ascending order. f may change the state of that task.
func (t *taskTable) eachWaiting(f func(task int)) {
	for task, state := range t.states {
		if state == taskWaiting {
			f(task)
		}
	}
}
