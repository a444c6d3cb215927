// This file counts what waits to be written.

package jobstore

// Backlog counts the changes that wait to be written.
type Backlog struct {
	Starts      int // of attempts
	StartChunks int // chunks with such starts
	Ends        int // of jobs
}

// Backlog counts the changes that wait to be written. Starts in a batch in flight count among
// Starts, but their chunks do not.
func (s *Store) Backlog() Backlog {
	var backlog Backlog
	for job := range s.dirty {
		if job.readyToEnd() {
			backlog.Ends++
			continue
		}
		backlog.StartChunks += job.chunksWithStarts()
		backlog.Starts += job.unrecordedStarts()
	}
	return backlog
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
