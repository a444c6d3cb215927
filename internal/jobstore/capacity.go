// This file limits the starts of tasks so that the values of their chunks fit into the key-value store.
//
// The limit matters only for jobs whose chunks were sized for larger values than the key-value store now
// accepts. In such a chunk, no more tasks may be live at once than fit into a value.

package jobstore

// StartableTasks returns the number of waiting tasks that may start now, which are those whose attempts
// fit into their chunks. The largest value that the key-value store accepts is valueBytes, in bytes.
func (j *Job) StartableTasks(valueBytes int) int {
	limit := TasksPerChunk(valueBytes)
	if j.record.ChunkSize <= limit {
		return j.WaitingTasks()
	}
	startable := 0
	for index := range j.chunkCount() {
		waiting := j.tasks.count(j.chunkTasks(index), taskWaiting)
		startable += min(j.freeSlots(index, limit), waiting)
	}
	return min(startable, j.WaitingTasks())
}

// NextStartable returns the first task at or after from that may start now, or -1 if there is none. The
// largest value that the key-value store accepts is valueBytes, in bytes.
func (j *Job) NextStartable(from, valueBytes int) int {
	if j.unreadable {
		return -1
	}
	limit := TasksPerChunk(valueBytes)
	task := j.tasks.nextWaiting(from)
	if j.record.ChunkSize <= limit {
		return task
	}
	for task >= 0 && j.freeSlots(j.chunkOf(task), limit) == 0 {
		firstOfNextChunk := j.chunkTasks(j.chunkOf(task) + 1).first
		task = j.tasks.nextWaiting(firstOfNextChunk)
	}
	return task
}

// freeSlots returns the number of further attempts that may be live in the chunk with an index, if at
// most limit may be live in it.
func (j *Job) freeSlots(index, limit int) int {
	live := j.tasks.count(j.chunkTasks(index), taskLive)
	return max(0, limit-live)
}
