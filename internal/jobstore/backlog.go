// This file counts what waits to be written.

package jobstore

// Backlog returns how many starts wait to be written and in how many chunks, and how many ends of jobs.
func (s *Store) Backlog() (starts, chunks, ends int) {
	for job := range s.dirty {
		if job.readyToEnd() {
			ends++
			continue
		}
		chunks += job.chunksWithStarts()
		starts += job.unrecordedStarts()
	}
	return starts, chunks, ends
}

// chunksWithStarts returns how many chunks have starts that no batch holds.
func (j *Job) chunksWithStarts() int {
	n := 0
	for _, c := range j.chunks {
		if c.dirty && c.unrecordedStarts > 0 {
			n++
		}
	}
	return n
}

// unrecordedStarts returns how many live attempts are not recorded.
func (j *Job) unrecordedStarts() int {
	n := 0
	for _, attempt := range j.tasks.live {
		if !attempt.Recorded {
			n++
		}
	}
	return n
}
