// This file counts the changes that wait to be written.

package jobstore

// Backlog is the number of changes of each kind that wait to be written.
type Backlog struct {
	Starts      int // unrecorded starts of attempts
	StartChunks int // chunks with starts that are in no batch
	Ends        int // unrecorded ends of jobs
}

// Backlog returns the number of changes that wait to be written. Starts in a batch that is in flight
// are counted in Starts, but their chunks are not counted in StartChunks. If the end of a job can be
// recorded, only the end of that job is counted.
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

// WaitingStarts returns the number of starts that no batch holds yet, also of attempts that have ended since. It looks
// at chunks alone, and not at each live attempt as Backlog does.
func (s *Store) WaitingStarts() int {
	starts := 0
	for job := range s.dirty {
		for _, chunk := range job.chunks {
			starts += chunk.unrecordedStarts
		}
	}
	return starts
}

// chunksWithStarts returns the number of the job's chunks with starts that are in no batch.
func (j *Job) chunksWithStarts() int {
	n := 0
	for _, c := range j.chunks {
		if c.dirty && c.unrecordedStarts > 0 {
			n++
		}
	}
	return n
}

// unrecordedStarts returns the number of the job's live attempts that are not recorded.
func (j *Job) unrecordedStarts() int {
	n := 0
	for _, attempt := range j.tasks.live {
		if !attempt.Recorded {
			n++
		}
	}
	return n
}
