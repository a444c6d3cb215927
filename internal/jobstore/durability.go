// This file answers what is durable and what still waits to be written.

package jobstore

// ResultDurable tells whether the last end of the job's task is recorded. It is asked for
// each task: a chunk as a whole is hardly ever clean while a large array runs, and
// machines that had done their part of it could not be returned (66 to 85 of 260 in
// the tail of steady of omaruru-fares-grown).
func (j *Job) ResultDurable(task int) bool {
	_, unwritten := j.unrecordedEnds[task]
	c := j.chunks[task/j.record.ChunkSize]
	return !unwritten && c != nil && c.revision != 0
}

// Backlog returns how many starts wait to be written and in how many chunks, and how
// many ends of jobs do.
func (b *Store) Backlog() (starts, chunks, ends int) {
	for j := range b.dirty {
		if j.readyToEnd() {
			ends++
			continue
		}
		for _, c := range j.chunks {
			if c.dirty && c.unrecordedStarts > 0 {
				chunks++
			}
		}
		for _, a := range j.live {
			if !a.Recorded {
				starts++
			}
		}
	}
	return starts, chunks, ends
}
