// This file says how many tasks may be live in a chunk, as its value is limited in size.

package jobstore

// StartableTasks returns how many of the waiting tasks may start now: those whose chunks have
// room for their attempts. All have, but in jobs whose chunks were laid out for larger
// values than the state service takes by now: as many as fit are live at once, and what
// is stored larger is written again once it fits. It takes the bytes of a value.
func (j *Job) StartableTasks(valueBytes int) int {
	if j.record.ChunkSize <= TasksPerChunk(valueBytes) {
		return j.WaitingTasks()
	}
	n := 0
	for first := 0; first < len(j.tasks); first += j.record.ChunkSize {
		n += min(j.freeSlots(first/j.record.ChunkSize, valueBytes), j.waitingTasksIn(first))
	}
	return min(n, j.WaitingTasks())
}

// NextStartable returns the first task at or after from that may start, or -1.
func (j *Job) NextStartable(from, valueBytes int) int {
	t := j.nextWaiting(from)
	for t >= 0 && j.record.ChunkSize > TasksPerChunk(valueBytes) && j.freeSlots(t/j.record.ChunkSize, valueBytes) == 0 {
		t = j.nextWaiting((t/j.record.ChunkSize + 1) * j.record.ChunkSize)
	}
	return t
}

// freeSlots returns for how many more live attempts a chunk's value has room.
func (j *Job) freeSlots(n, valueBytes int) int {
	live := 0
	for t := n * j.record.ChunkSize; t < min((n+1)*j.record.ChunkSize, len(j.tasks)); t++ {
		if j.tasks[t] == taskLive {
			live++
		}
	}
	return max(0, TasksPerChunk(valueBytes)-live)
}

func (j *Job) waitingTasksIn(first int) (n int) {
	for _, s := range j.tasks[first:min(first+j.record.ChunkSize, len(j.tasks))] {
		if s == taskWaiting {
			n++
		}
	}
	return n
}
