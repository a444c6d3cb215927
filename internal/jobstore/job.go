package jobstore

import (
	"strconv"
	"strings"
	"time"

	"tulipshelf/internal/job"
)

// TaskState of a task.
type TaskState uint8

// States of a task.
const (
	TaskWaiting TaskState = iota
	TaskLive
	TaskDone
)

// answer is what was worked out, or that nothing was since the last change.
type answer uint8

const (
	unknown answer = iota
	yes
	no
)

// Job is an unfinished job.
type Job struct {
	Spec        *job.Spec
	Revision    uint64 // of its record
	Arrival     uint64
	SubmittedAt time.Time
	Cancelled   bool
	CancelledAt time.Time
	Team        int // dense, set by the controller

	record  Record
	tasks   []TaskState
	live    map[int]*Attempt
	done    int
	next    int // no waiting task below it
	chunks  map[int]*chunk
	old     []int // numbers of the chunks of the layout before
	orphans []int // numbers of chunks to delete after the end is recorded

	sendable answer // whether all of a gang is recorded, as its attempts are

	unwritten map[int]uint64 // tasks whose last end is not yet recorded, with its number
	overSince time.Time      // since when its end waits to be recorded
}

// DoneTasks returns how many tasks are done.
func (j *Job) DoneTasks() int { return j.done }

// LiveTasks returns how many tasks have an attempt that is not proven gone.
func (j *Job) LiveTasks() int { return len(j.live) }

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
		n += min(j.room(first/j.record.ChunkSize, valueBytes), j.waitingIn(first))
	}
	return min(n, j.WaitingTasks())
}

// room returns for how many more live attempts a chunk's value has room.
func (j *Job) room(n, valueBytes int) int {
	live := 0
	for t := n * j.record.ChunkSize; t < min((n+1)*j.record.ChunkSize, len(j.tasks)); t++ {
		if j.tasks[t] == TaskLive {
			live++
		}
	}
	return max(0, TasksPerChunk(valueBytes)-live)
}

func (j *Job) waitingIn(first int) (n int) {
	for _, s := range j.tasks[first:min(first+j.record.ChunkSize, len(j.tasks))] {
		if s == TaskWaiting {
			n++
		}
	}
	return n
}

// NextStartable returns the first task at or after from that may start, or -1.
func (j *Job) NextStartable(from, valueBytes int) int {
	t := j.NextWaiting(from)
	for t >= 0 && j.record.ChunkSize > TasksPerChunk(valueBytes) && j.room(t/j.record.ChunkSize, valueBytes) == 0 {
		t = j.NextWaiting((t/j.record.ChunkSize + 1) * j.record.ChunkSize)
	}
	return t
}

// WaitingTasks returns how many tasks wait for a machine.
func (j *Job) WaitingTasks() int {
	if j.Cancelled {
		return 0
	}
	return len(j.tasks) - j.done - len(j.live)
}

// NextWaiting returns the first waiting task at or after from, or -1.
func (j *Job) NextWaiting(from int) int {
	for t := max(from, j.next); t < len(j.tasks); t++ {
		if j.tasks[t] == TaskWaiting {
			return t
		}
	}
	return -1
}

// EachAttempt calls f for each live attempt.
func (j *Job) EachAttempt(f func(*Attempt)) {
	for _, a := range j.live {
		f(a)
	}
}

// LiveAttempt returns the live attempt of a task, or nil.
func (j *Job) LiveAttempt(task int) *Attempt { return j.live[task] }

// Attempt is one try to run a task on one machine in one of its sessions. It
// is live until there is proof that it is gone.
type Attempt struct {
	Job         *Job
	Task        int
	Number      uint64
	Machine     string
	Incarnation uint64
	Recorded    bool // durable: only then may the start be sent
}

// ID returns what tells the attempt from all others.
func (a *Attempt) ID() job.AttemptID {
	return job.AttemptID{Task: job.TaskName(a.Job.Spec.ID, a.Task), Number: a.Number}
}

// TaskName returns the name of the attempt's task.
func (a *Attempt) TaskName() string { return job.TaskName(a.Job.Spec.ID, a.Task) }

type chunk struct {
	n      int
	rev    uint64
	dirty  bool
	since  time.Time // when it became dirty
	starts int       // that it holds and that are not yet recorded
}

func (j *Job) finish(task int) {
	j.tasks[task] = TaskDone
	j.done++
}

// IsGang tells whether the job's tasks run together or not at all.
func (j *Job) IsGang() bool { return j.Spec.Shape == job.Gang }

// GangComplete tells whether an attempt to run a gang is complete: each of its tasks has a live
// attempt, and all share one number.
func (j *Job) GangComplete() bool {
	if len(j.live) != len(j.tasks) {
		return false
	}
	for _, a := range j.live {
		if a.Number != j.live[0].Number {
			return false
		}
	}
	return true
}

// Dispatchable tells whether the start of an attempt may be sent: it is recorded, and so are
// those of the whole gang if it is of one.
//
// It guards against a gang of which only a part is known to whoever leads next.
func (a *Attempt) Dispatchable() bool {
	if !a.Recorded || !a.Job.IsGang() {
		return a.Recorded
	}
	if a.Job.sendable == unknown {
		a.Job.sendable = no
		if a.Job.recorded() && a.Job.GangComplete() {
			a.Job.sendable = yes
		}
	}
	return a.Job.sendable == yes
}

// recorded tells whether all live attempts are.
func (j *Job) recorded() bool {
	for _, a := range j.live {
		if !a.Recorded {
			return false
		}
	}
	return true
}

// over tells whether a job's end can be recorded: all tasks done, or cancelled
// and no attempt left. It is worked out anew each time: a new leader reads a
// cancelled job before the attempts that are still live.
func (j *Job) over() bool {
	return j.done == len(j.tasks) || j.Cancelled && len(j.live) == 0
}

func (j *Job) chunkValue(n int) *chunkValue {
	first := n * j.record.ChunkSize
	last := min(first+j.record.ChunkSize, len(j.tasks))
	var v chunkValue
	var sb strings.Builder
	for t := first; t < last; t++ {
		if j.tasks[t] != TaskDone {
			continue
		}
		end := t
		for end+1 < last && j.tasks[end+1] == TaskDone {
			end++
		}
		if sb.Len() > 0 {
			sb.WriteByte(',')
		}
		sb.WriteString(strconv.Itoa(t - first))
		if end > t {
			sb.WriteByte('-')
			sb.WriteString(strconv.Itoa(end - first))
		}
		t = end
	}
	v.Done = sb.String()
	for t := first; t < last; t++ {
		if a := j.live[t]; a != nil {
			v.Live = append(v.Live, attemptValue{Task: t, Try: a.Number, Machine: a.Machine, Session: a.Incarnation})
		}
	}
	return &v
}
