// This file says how many tasks may start while the values of their chunks are limited in size.
//
// That matters only for jobs whose chunks were made for larger values than the key-value store
// takes by now: of such a chunk no more tasks are live at once than fit.

package jobstore

// StartableTasks returns how many of the waiting tasks may start now, if the key-value store takes
// values of so many bytes: those whose chunks have room for their attempts.
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

// NextStartable returns the first task at or after from that may start if the key-value store
// takes values of so many bytes, or -1.
func (j *Job) NextStartable(from, valueBytes int) int {
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

// freeSlots returns how many more attempts may be live in a chunk where at most limit may be.
func (j *Job) freeSlots(index, limit int) int {
	live := j.tasks.count(j.chunkTasks(index), taskLive)
	return max(0, limit-live)
}
