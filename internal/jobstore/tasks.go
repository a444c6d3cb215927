// This file keeps the states of a job's tasks, with the counts and indices that make lookups cheap.

package jobstore

// taskState says whether a task has yet to run, runs, or is done.
type taskState uint8

const (
	taskWaiting taskState = iota
	taskLive              // it has an attempt that is not proven gone
	taskDone
)

// taskRange is the tasks from first up to but not including end.
type taskRange struct{ first, end int }

// taskTable is the states of a job's tasks and their live attempts.
type taskTable struct {
	states            []taskState
	live              map[int]*Attempt // by task, of all in taskLive
	done              int              // tasks in taskDone
	waitingLowerBound int              // no task below it is in taskWaiting
}

func newTaskTable(tasks int) taskTable {
	return taskTable{states: make([]taskState, tasks), live: map[int]*Attempt{}}
}

// rangeAt returns the range with an index, if the tasks are divided into ranges of size tasks.
func (t *taskTable) rangeAt(index, size int) taskRange {
	first := index * size
	return taskRange{first, min(first+size, len(t.states))}
}

// waiting returns how many tasks are in taskWaiting.
func (t *taskTable) waiting() int { return len(t.states) - t.done - len(t.live) }

// count returns how many tasks of a range are in a state.
func (t *taskTable) count(tasks taskRange, state taskState) int {
	n := 0
	for _, s := range t.states[tasks.first:tasks.end] {
		if s == state {
			n++
		}
	}
	return n
}

// nextWaiting returns the first waiting task at or after from, or -1.
func (t *taskTable) nextWaiting(from int) int {
	for task := max(from, t.waitingLowerBound); task < len(t.states); task++ {
		if t.states[task] == taskWaiting {
			return task
		}
	}
	return -1
}

// start makes an attempt the live one of its task, which waits.
func (t *taskTable) start(attempt *Attempt) {
	t.states[attempt.Task] = taskLive
	t.live[attempt.Task] = attempt
	for t.waitingLowerBound < len(t.states) && t.states[t.waitingLowerBound] != taskWaiting {
		t.waitingLowerBound++
	}
}

// end removes the live attempt of a task, which is then done or waits again.
func (t *taskTable) end(task int, next taskState) {
	delete(t.live, task)
	if next == taskDone {
		t.markDone(task)
		return
	}
	t.states[task] = taskWaiting
	t.waitingLowerBound = min(t.waitingLowerBound, task)
}

// markDone marks a task as done that neither is done nor has a live attempt.
func (t *taskTable) markDone(task int) {
	t.states[task] = taskDone
	t.done++
}

// load makes an attempt that was read from a record the live one of its task.
func (t *taskTable) load(attempt *Attempt) {
	t.states[attempt.Task] = taskLive
	t.live[attempt.Task] = attempt
}

// reset makes all tasks of a range wait, before their states are read from a record.
func (t *taskTable) reset(tasks taskRange) {
	for task := tasks.first; task < tasks.end; task++ {
		if t.states[task] == taskDone {
			t.done--
		}
		t.states[task] = taskWaiting
		delete(t.live, task)
	}
}

// eachWaiting calls f for each waiting task, in ascending order; f may change the task's state.
func (t *taskTable) eachWaiting(f func(task int)) {
	for task, state := range t.states {
		if state == taskWaiting {
			f(task)
		}
	}
}
