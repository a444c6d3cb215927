// Package ledger keeps the records of jobs and of attempts to run their tasks:
// the leader's copy in memory and the batches of conditional writes that make
// it durable.
//
// Keys: job/ID is the job while it is unfinished; job/ID/NNNNNN a chunk of its
// tasks, with those done and the live attempts; end/ID its final state.
package ledger

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// Prefixes of the keys of this slice.
const (
	JobPrefix = "job/"
	endPrefix = "end/"
)

// JobKey returns the key of an unfinished job.
func JobKey(id string) string { return JobPrefix + id }

// EndKey returns the key of a finished job's state.
func EndKey(id string) string { return endPrefix + id }

func chunkKey(id string, n int) string { return fmt.Sprintf("%s%s/%06d", JobPrefix, id, n) }

// SplitKey takes apart a key under JobPrefix; chunk is -1 for the job itself.
func SplitKey(key string) (id string, chunk int, ok bool) {
	id, rest, found := strings.Cut(strings.TrimPrefix(key, JobPrefix), "/")
	if !job.ValidID(id) {
		return "", 0, false
	}
	if !found {
		return id, -1, true
	}
	n, err := strconv.Atoi(rest)
	return id, n, err == nil
}

// Record is the value under a job's key.
type Record struct {
	Spec        *job.Spec `cbor:"spec"`
	AtMS        int64     `cbor:"at_ms"`                  // submission, time of day
	Arrival     uint64    `cbor:"arrival,omitempty"`      // first revision, kept when cancelled
	CancelledMS int64     `cbor:"cancelled_ms,omitempty"` // 0: not cancelled
	Chunk       int       `cbor:"chunk"`                  // tasks in one chunk
	Base        int       `cbor:"base,omitempty"`         // number of the first chunk; not 0: laid out anew
	Was         int       `cbor:"was,omitempty"`          // tasks in one chunk before that
}

// Final is the value under a finished job's key.
type Final struct {
	Status string `cbor:"status"` // Done or Cancelled
	Tasks  int    `cbor:"tasks"`
}

// Final states, in the protocol's words since users are told them verbatim.
const (
	Done      = "done"
	Cancelled = "withdrawn"
)

// chunkValue is the value of one chunk. An attempt is a list of task number,
// attempt, machine and session.
type chunkValue struct {
	Done string         `cbor:"done"` // ranges such as "0-5,9", from the chunk's first task
	Live []attemptValue `cbor:"live"`
}

type attemptValue struct {
	_       struct{} `cbor:",toarray"`
	Task    int
	Try     uint64
	Machine string
	Session uint64
}

// Sizes of a chunk's value, counted in JSON as the state service does.
const (
	attemptBytes = 56 // one attempt with long names and numbers; a task that is done takes far less
	restBytes    = 64
)

// ChunkSize returns how many tasks fit into one chunk with all of them live. Should names
// be so long that they do not, fewer of them are live at once (Job.Startable).
func ChunkSize(valueBytes int) int {
	return max(1, min(1024, (valueBytes-restBytes)/attemptBytes))
}

// size returns the length of a chunk's value in JSON.
func (v *chunkValue) size() int {
	n := len(`{"done":"","live":[]}`) + len(v.Done)
	for i := range v.Live {
		a := &v.Live[i]
		n += len(`[,,"",],`) + len(a.Machine) + digits(uint64(a.Task)) + digits(a.Try) + digits(a.Session)
	}
	return n
}

func digits(n uint64) int { return len(strconv.FormatUint(n, 10)) }

const termShift = 24

// TryTerm returns the term under which an attempt was made. Attempts are
// numbered within a term, so that no number is ever used twice.
func TryTerm(try uint64) uint64 { return try >> termShift }

// State of a task.
type State uint8

// States of a task.
const (
	Waiting State = iota
	Live
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
	Rev         uint64 // of its record
	Arrival     uint64
	At          time.Time
	Cancelled   bool
	CancelledAt time.Time
	Team        int // dense, set by the controller

	record  Record
	tasks   []State
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

// Startable returns how many of the waiting tasks may start now: those whose chunks have
// room for their attempts. All have, but in jobs whose chunks were laid out for larger
// values than the state service takes by now: as many as fit are live at once, and what
// is stored larger is written again once it fits. It takes the bytes of a value.
func (j *Job) Startable(valueBytes int) int {
	if j.record.Chunk <= ChunkSize(valueBytes) {
		return j.WaitingTasks()
	}
	n := 0
	for first := 0; first < len(j.tasks); first += j.record.Chunk {
		n += min(j.room(first/j.record.Chunk, valueBytes), j.waitingIn(first))
	}
	return min(n, j.WaitingTasks())
}

// room returns for how many more live attempts a chunk's value has room.
func (j *Job) room(n, valueBytes int) int {
	live := 0
	for t := n * j.record.Chunk; t < min((n+1)*j.record.Chunk, len(j.tasks)); t++ {
		if j.tasks[t] == Live {
			live++
		}
	}
	return max(0, ChunkSize(valueBytes)-live)
}

func (j *Job) waitingIn(first int) (n int) {
	for _, s := range j.tasks[first:min(first+j.record.Chunk, len(j.tasks))] {
		if s == Waiting {
			n++
		}
	}
	return n
}

// NextStartable returns the first task at or after from that may start, or -1.
func (j *Job) NextStartable(from, valueBytes int) int {
	t := j.NextWaiting(from)
	for t >= 0 && j.record.Chunk > ChunkSize(valueBytes) && j.room(t/j.record.Chunk, valueBytes) == 0 {
		t = j.NextWaiting((t/j.record.Chunk + 1) * j.record.Chunk)
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
		if j.tasks[t] == Waiting {
			return t
		}
	}
	return -1
}

// Attempts calls f for each live attempt.
func (j *Job) Attempts(f func(*Attempt)) {
	for _, a := range j.live {
		f(a)
	}
}

// LiveAttempt returns the live attempt of a task, or nil.
func (j *Job) LiveAttempt(task int) *Attempt { return j.live[task] }

// Attempt is one try to run a task on one machine in one of its sessions. It
// is live until there is proof that it is gone.
type Attempt struct {
	Job      *Job
	Task     int
	Try      uint64
	Machine  string
	Session  uint64
	Recorded bool // durable: only then may the start be sent
}

// Name returns the protocol's name of the attempt's task.
func (a *Attempt) Name() string { return taskName(a.Job.Spec.ID, a.Task) }

func taskName(id string, task int) string { return id + "/" + strconv.Itoa(task) }

type chunk struct {
	n      int
	rev    uint64
	dirty  bool
	since  time.Time // when it became dirty
	starts int       // that it holds and that are not yet recorded
}

// Jobs is the leader's copy of all unfinished jobs.
type Jobs struct {
	jobs  map[string]*Job
	dirty map[*Job]struct{}
	ended map[string]struct{} // until the watch has seen them go
	seq   uint64
	ends  uint64 // of attempts, so far
}

// NewJobs returns an empty list.
func NewJobs() *Jobs {
	return &Jobs{jobs: map[string]*Job{}, dirty: map[*Job]struct{}{}, ended: map[string]struct{}{}}
}

// Job returns an unfinished job, or nil.
func (b *Jobs) Job(id string) *Job { return b.jobs[id] }

// Jobs calls f for each unfinished job, in no order.
func (b *Jobs) Jobs(f func(*Job)) {
	for _, j := range b.jobs {
		f(j)
	}
}

// Len returns how many jobs are unfinished.
func (b *Jobs) Len() int { return len(b.jobs) }

// DecodeRecord reads the value of a job's key.
func DecodeRecord(value []byte) (Record, error) {
	var r Record
	if err := wire.Unmarshal(value, &r); err != nil || r.Spec == nil || r.Chunk < 1 {
		return r, fmt.Errorf("ledger: job record: %w", err)
	}
	return r, nil
}

// ReadRecord reads from the value of a job's key whether it is cancelled, and the number of
// the first chunk that counts.
func ReadRecord(value []byte) (cancelled bool, base int, err error) {
	var r struct {
		CancelledMS int64 `cbor:"cancelled_ms"`
		Base        int   `cbor:"base"`
	}
	if err := wire.Unmarshal(value, &r); err != nil {
		return false, 0, fmt.Errorf("ledger: job record: %w", err)
	}
	return r.CancelledMS != 0, r.Base, nil
}

// PutJob takes a job's record as read at rev. It returns the job and whether
// it is new or newly cancelled.
func (b *Jobs) PutJob(value []byte, rev uint64) (*Job, bool, error) {
	rec, err := DecodeRecord(value)
	if err != nil {
		return nil, false, err
	}
	if _, over := b.ended[rec.Spec.ID]; over {
		return nil, false, nil // the watch is behind our own write
	}
	j := b.jobs[rec.Spec.ID]
	if j != nil && rev <= j.Rev {
		return j, false, nil
	}
	fresh := j == nil
	if fresh {
		j = &Job{Spec: rec.Spec, Arrival: rev, At: time.UnixMilli(rec.AtMS),
			tasks: make([]State, rec.Spec.Tasks), live: map[int]*Attempt{}, chunks: map[int]*chunk{}, unwritten: map[int]uint64{}}
		b.jobs[rec.Spec.ID] = j
	}
	if rec.Arrival != 0 {
		j.Arrival = rec.Arrival
	}
	newlyCancelled := rec.CancelledMS != 0 && !j.Cancelled
	if !fresh && rec.Chunk != j.record.Chunk {
		b.layOut(j, rec.Chunk, j.At) // an unanswered write of ours was applied
	}
	j.record, j.Rev = rec, rev
	if newlyCancelled {
		j.Cancelled, j.CancelledAt = true, time.UnixMilli(rec.CancelledMS)
		b.checkEnd(j)
	}
	return j, fresh || newlyCancelled, nil
}

// Cancel takes the word of another node that a job is cancelled, durably, and returns
// the job if that is news. The revision of its record is learnt later: until then what is
// written of the job meets a conflict.
func (b *Jobs) Cancel(id string, now time.Time) *Job {
	j := b.jobs[id]
	if j == nil || j.Cancelled {
		return nil
	}
	j.Cancelled, j.CancelledAt = true, now
	b.checkEnd(j)
	return j
}

// PutChunk takes a chunk's value as a new leader reads it.
func (b *Jobs) PutChunk(id string, n int, value []byte, rev uint64) error {
	j := b.jobs[id]
	if j == nil {
		return fmt.Errorf("ledger: chunk %s/%d without a job", id, n)
	}
	var v chunkValue
	if err := wire.Unmarshal(value, &v); err != nil {
		return fmt.Errorf("ledger: chunk %s/%d: %w", id, n, err)
	}
	size := j.record.Chunk
	first := (n - j.record.Base) * size
	if n >= j.record.Base {
		n -= j.record.Base
		j.chunks[n] = &chunk{n: n, rev: rev}
	} else {
		size = j.record.Was // it stands until the one of the new layout is read
		first = n * size
		j.old = append(j.old, n)
	}
	last := min(first+size, len(j.tasks))
	for t := first; t < last; t++ {
		if j.tasks[t] == TaskDone {
			j.done--
		}
		j.tasks[t] = Waiting
		delete(j.live, t)
	}
	j.sendable = unknown
	err := eachInRanges(v.Done, func(i int) error {
		if first+i >= last {
			return fmt.Errorf("ledger: chunk %s/%d: task out of range", id, n)
		}
		if j.tasks[first+i] != TaskDone {
			j.tasks[first+i] = TaskDone
			j.done++
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, a := range v.Live {
		if a.Task < first || a.Task >= last || j.tasks[a.Task] != Waiting {
			return fmt.Errorf("ledger: chunk %s/%d: attempt of task %d", id, n, a.Task)
		}
		j.tasks[a.Task] = Live
		j.live[a.Task] = &Attempt{Job: j, Task: a.Task, Try: a.Try, Machine: a.Machine, Session: a.Session, Recorded: true}
	}
	return nil
}

// Loaded is called once a new leader has read everything; it ends jobs of
// which nothing is left to do.
func (b *Jobs) Loaded() {
	for _, j := range b.jobs {
		if j.record.Base != 0 {
			j.layAll(j.At)
			b.dirty[j] = struct{}{}
		}
		if j.Gang() && j.done > 0 {
			for t, s := range j.tasks {
				if s == Waiting {
					j.finish(t)
				}
			}
		}
		b.checkEnd(j)
	}
}

// NextTry returns an attempt number never used before. The tasks of a gang that
// start together share one; of a task, no two attempts have the same.
func (b *Jobs) NextTry(term uint64) uint64 {
	b.seq++
	return term<<termShift | b.seq
}

// Start makes an attempt. It must not be sent before a batch has recorded it.
func (b *Jobs) Start(j *Job, task int, try uint64, machine string, session uint64, now time.Time) *Attempt {
	if j.tasks[task] != Waiting || j.Cancelled {
		panic(fmt.Sprintf("ledger: start of %s/%d in state %d", j.Spec.ID, task, j.tasks[task]))
	}
	a := &Attempt{Job: j, Task: task, Try: try, Machine: machine, Session: session}
	j.tasks[task] = Live
	j.live[task] = a
	j.sendable = unknown
	for j.next < len(j.tasks) && j.tasks[j.next] != Waiting {
		j.next++
	}
	c := b.touch(j, task, now)
	c.starts++
	return a
}

// Renumber gives attempts that are not yet recorded, and so were never sent, numbers of
// a new term, and tells of each with the number it had. It guards against starts that
// wait to be written when the leader takes a new term: under their old numbers they
// would never be sent, and hold room until that is known (inc-bc39).
func (b *Jobs) Renumber(term uint64, told func(a *Attempt, was uint64)) {
	for j := range b.dirty {
		j.sendable = unknown
		tries := map[uint64]uint64{} // the tasks of a gang share one
		for _, a := range j.live {
			if a.Recorded {
				continue
			}
			was := a.Try
			if tries[was] == 0 {
				tries[was] = b.NextTry(term)
			}
			a.Try = tries[was]
			told(a, was)
		}
	}
}

// End takes an attempt that is proven gone: done, or its task waits again.
func (b *Jobs) End(a *Attempt, done bool, now time.Time) {
	j := a.Job
	if j.live[a.Task] != a {
		return
	}
	delete(j.live, a.Task)
	j.sendable = unknown
	if done || j.Gang() && j.done > 0 {
		j.finish(a.Task)
	} else {
		j.tasks[a.Task] = Waiting
		j.next = min(j.next, a.Task)
	}
	b.ends++
	j.unwritten[a.Task] = b.ends
	b.touch(j, a.Task, now)
	if done && j.Gang() {
		// The tasks of a gang complete together: those that were proven gone before the
		// first was reported done are done too.
		for t, s := range j.tasks {
			if s == Waiting {
				j.finish(t)
				b.touch(j, t, now)
			}
		}
	}
	b.checkEnd(j)
}

func (j *Job) finish(task int) {
	j.tasks[task] = TaskDone
	j.done++
}

// Gang tells whether the job's tasks run together or not at all.
func (j *Job) Gang() bool { return j.Spec.Shape == job.Gang }

// Whole tells whether an attempt to run a gang is complete: each of its tasks has a live
// attempt, and all share one number.
func (j *Job) Whole() bool {
	if len(j.live) != len(j.tasks) {
		return false
	}
	for _, a := range j.live {
		if a.Try != j.live[0].Try {
			return false
		}
	}
	return true
}

// Sendable tells whether the start of an attempt may be sent: it is recorded, and so are
// those of the whole gang if it is of one.
//
// It guards against a gang of which only a part is known to whoever leads next.
func (a *Attempt) Sendable() bool {
	if !a.Recorded || !a.Job.Gang() {
		return a.Recorded
	}
	if a.Job.sendable == unknown {
		a.Job.sendable = no
		if a.Job.recorded() && a.Job.Whole() {
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

func (b *Jobs) touch(j *Job, task int, now time.Time) *chunk {
	n := task / j.record.Chunk
	c := j.chunks[n]
	if c == nil {
		c = &chunk{n: n}
		j.chunks[n] = c
	}
	if !c.dirty {
		c.dirty, c.since = true, now
	}
	b.dirty[j] = struct{}{}
	return c
}

// over tells whether a job's end can be recorded: all tasks done, or cancelled
// and no attempt left. It is worked out anew each time: a new leader reads a
// cancelled job before the attempts that are still live.
func (j *Job) over() bool {
	return j.done == len(j.tasks) || j.Cancelled && len(j.live) == 0
}

func (b *Jobs) checkEnd(j *Job) {
	if j.over() {
		b.dirty[j] = struct{}{}
	}
}

func (j *Job) chunkValue(n int) *chunkValue {
	first := n * j.record.Chunk
	last := min(first+j.record.Chunk, len(j.tasks))
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
			v.Live = append(v.Live, attemptValue{Task: t, Try: a.Try, Machine: a.Machine, Session: a.Session})
		}
	}
	return &v
}

// Place is a live attempt by its record.
type Place struct {
	Task    string // the protocol's name
	Try     uint64
	Machine string
	Session uint64
}

// ReadChunk returns how many tasks a chunk's value says are done, and its live attempts.
func ReadChunk(id string, value []byte) (done int, live []Place, err error) {
	var v chunkValue
	if err := wire.Unmarshal(value, &v); err != nil {
		return 0, nil, fmt.Errorf("ledger: chunk: %w", err)
	}
	for _, a := range v.Live {
		live = append(live, Place{taskName(id, a.Task), a.Try, a.Machine, a.Session})
	}
	err = eachInRanges(v.Done, func(int) error { done++; return nil })
	return done, live, err
}

// eachInRanges calls f for each number of a text such as "0-5,9".
func eachInRanges(s string, f func(int) error) error {
	if s == "" {
		return nil
	}
	for _, part := range strings.Split(s, ",") {
		from, to, pair := strings.Cut(part, "-")
		a, err := strconv.Atoi(from)
		b := a
		if err == nil && pair {
			b, err = strconv.Atoi(to)
		}
		if err != nil || a < 0 || b < a || b > job.MaxTasks {
			return fmt.Errorf("ledger: bad range %q", part)
		}
		for i := a; i <= b; i++ {
			if err := f(i); err != nil {
				return err
			}
		}
	}
	return nil
}
