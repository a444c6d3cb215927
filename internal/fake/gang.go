package fake

// Gangs: tasks on several machines that run, save checkpoints and complete together, by the platform's
// rules.

import (
	"math"
	"sync"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
)

// Gangs runs the gangs on the machines of a cloud. The members of an attempt wait until all have started,
// run and complete together, exit when one of them is gone, and save a checkpoint together or not at all.
//
// Locks are acquired in the order Agent.mu, Gangs.mu, InvariantChecker.mu, because an agent holds its lock
// while it calls a method of Gangs.
type Gangs struct {
	wait time.Duration // maximum time that a member waits for the others of its attempt to start
	// notice is the time after which members detect that another one is gone. It also limits the time
	// between the halts of the first and the last member: if they are further apart, no checkpoint is
	// saved.
	notice time.Duration

	mu     sync.Mutex // guards the fields below and those of gangJob, gangAttempt and gangMember
	jobs   map[string]*gangJob
	counts GangCounts
}

// GangCounts counts events of all gangs since the start.
type GangCounts struct {
	Began        int // attempts whose members all started
	Done         int // attempts that completed
	Checkpointed int // attempts that saved a checkpoint and stopped
	MembersGone  int // tasks that exited because a member was gone or a checkpoint failed
	Incomplete   int // tasks that exited because not all members started within Gangs.wait
}

// gangJob is a gang with all its attempts.
type gangJob struct {
	spec     *job.Spec
	progress time.Duration // saved runtime, from which the next attempt continues
	attempts map[uint64]*gangAttempt
}

// gangAttempt is an attempt to run a gang.
type gangAttempt struct {
	job        *gangJob
	members    map[string]*gangMember // by task
	beganAt    time.Time              // time at which all members had started; zero: some are missing
	haltedAt   time.Time              // time at which the first member was halted to checkpoint; zero: none was
	ended      bool
	rolledBack bool // whether the job's progress was reset to the last checkpoint
}

// gangMember is a task of an attempt on its machine.
type gangMember struct {
	machine       *Agent
	task          *machineTask // guarded by Agent.mu of the machine
	id            job.AttemptID
	attempt       *gangAttempt
	checkpointing bool // whether the member was halted and takes part in a checkpoint
	absent        bool // whether the member is gone or its machine hangs
}

func newGangs(wait, notice time.Duration) *Gangs {
	return &Gangs{wait: wait, notice: notice, jobs: map[string]*gangJob{}}
}

// Counts returns the counts of events so far.
func (g *Gangs) Counts() GangCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Progress returns the saved runtime from which a gang's next attempt continues. It is 0 for an unknown
// job.
func (g *Gangs) Progress(jobID string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gang := g.jobs[jobID]; gang != nil {
		return gang.progress
	}
	return 0
}

// join adds a waiting task to its attempt and begins the attempt once all members have joined. The caller
// holds the machine's lock.
func (g *Gangs) join(spec *job.Spec, machine *Agent, id job.AttemptID, task *machineTask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gang := g.jobs[spec.ID]
	if gang == nil {
		gang = &gangJob{spec: spec, attempts: map[uint64]*gangAttempt{}}
		g.jobs[spec.ID] = gang
	}
	attempt := gang.attempts[id.Number]
	if attempt == nil {
		attempt = &gangAttempt{job: gang, members: map[string]*gangMember{}}
		gang.attempts[id.Number] = attempt
	}
	member := &gangMember{machine: machine, task: task, id: id, attempt: attempt}
	attempt.members[id.Task] = member
	task.end = time.AfterFunc(g.wait, func() { g.exit(member, agent.CauseIncomplete) })
	task.member = member
	if len(attempt.members) == spec.Tasks && attempt.beganAt.IsZero() && !attempt.ended {
		g.begin(attempt)
	}
}

// begin sets all tasks of an attempt running, for the rest of the job's runtime. The caller holds mu.
func (g *Gangs) begin(attempt *gangAttempt) {
	attempt.beganAt = time.Now()
	g.counts.Began++
	for _, member := range attempt.members {
		go func() { // in a goroutine, as the caller holds the lock of one of the machines
			member.machine.mu.Lock()
			defer member.machine.mu.Unlock()
			if member.task.status == agent.StatusWaiting {
				member.task.end.Stop()
				member.task.status = agent.StatusRunning
				member.machine.signalChange()
			}
		}()
	}
	left := time.Duration(attempt.job.spec.ExpectS*float64(time.Second)) - attempt.job.progress
	time.AfterFunc(left, func() { g.complete(attempt) })
}

// complete completes an attempt at the end of its runtime, unless it has ended, one of its members was
// halted, or one is absent.
func (g *Gangs) complete(attempt *gangAttempt) {
	g.mu.Lock()
	if attempt.ended || !attempt.haltedAt.IsZero() || attempt.hasAbsentMember() {
		g.mu.Unlock()
		return
	}
	attempt.ended = true
	g.counts.Done++
	g.mu.Unlock()
	g.exitAll(attempt, agent.CauseDone)
}

// hasAbsentMember reports whether a member is gone or its machine hangs. The caller holds Gangs.mu.
func (a *gangAttempt) hasAbsentMember() bool {
	for _, member := range a.members {
		if member.absent {
			return true
		}
	}
	return false
}

// exitAll makes all tasks of an ended attempt exit. The caller holds no lock.
func (g *Gangs) exitAll(attempt *gangAttempt, cause agent.ExitCause) {
	for _, member := range attempt.members {
		g.exit(member, cause)
	}
}

// exit makes a task exit, on a hung machine only after the machine has resumed. It does nothing if the
// task has exited or was killed, or if cause is CauseIncomplete and the task no longer waits. The caller
// holds no lock.
func (g *Gangs) exit(member *gangMember, cause agent.ExitCause) {
	machine, task := member.machine, member.task
	machine.mu.Lock()
	defer machine.mu.Unlock()
	if task.status == agent.StatusExited || machine.tasks[member.id] != task {
		return
	}
	if cause == agent.CauseIncomplete && task.status != agent.StatusWaiting {
		return
	}
	if machine.faults.Hung {
		const retry = time.Second
		time.AfterFunc(retry, func() { g.exit(member, cause) })
		return
	}
	g.countExit(member, cause)
	task.end.Stop()
	machine.exitTask(member.id, task, cause)
}

// countExit counts the exit of a task by its cause, and removes the task from an attempt that has not
// begun.
func (g *Gangs) countExit(member *gangMember, cause agent.ExitCause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch cause {
	case agent.CauseIncomplete:
		g.counts.Incomplete++
	case agent.CauseMembersGone:
		g.counts.MembersGone++
	}
	if member.attempt.members[member.id.Task] == member && member.attempt.beganAt.IsZero() {
		delete(member.attempt.members, member.id.Task)
	}
}

// memberHalted handles the halt of a task with a grace period in seconds, 0 if the task must stop at once.
// Before the attempt has begun, it removes the task from the attempt. Afterwards it sets a running task to
// StatusCheckpointing if the job takes checkpoints, the grace period is at least SaveS and no member is
// absent; otherwise the member counts as gone. It ignores halts after the end of the attempt and repeated
// halts with a grace period. The caller holds the machine's lock.
func (g *Gangs) memberHalted(member *gangMember, gracePeriodS float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := member.attempt
	spec := attempt.job.spec
	switch {
	case attempt.beganAt.IsZero():
		delete(attempt.members, member.id.Task) // the others keep waiting
		return
	case attempt.ended, member.checkpointing && gracePeriodS > 0:
		return
	}
	canCheckpoint := spec.CheckpointS > 0 && gracePeriodS >= spec.SaveS && !attempt.hasAbsentMember()
	if member.task.status == agent.StatusRunning && canCheckpoint {
		member.checkpointing = true
		member.task.status = agent.StatusCheckpointing
		if attempt.haltedAt.IsZero() {
			attempt.haltedAt = time.Now()
			time.AfterFunc(g.notice, func() { g.checkpoint(attempt) })
		}
		return
	}
	g.memberGone(member)
}

// memberKilled handles the kill of a task together with all others on its machine. The caller holds the
// machine's lock.
func (g *Gangs) memberKilled(member *gangMember) {
	g.mu.Lock()
	defer g.mu.Unlock()
	attempt := member.attempt
	switch {
	case attempt.beganAt.IsZero():
		delete(attempt.members, member.id.Task) // the others keep waiting
	case !attempt.ended:
		g.memberGone(member)
	}
}

// memberGone marks a member as absent, rolls the gang back to its last checkpoint and makes the attempt
// fail after Gangs.notice. The caller holds mu.
func (g *Gangs) memberGone(member *gangMember) {
	member.absent = true
	member.attempt.rollBack()
	time.AfterFunc(g.notice, func() { g.fail(member.attempt) })
}

// memberHung handles that a task's machine has hung or resumed. The caller holds the machine's lock.
func (g *Gangs) memberHung(member *gangMember, hung bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	member.absent = hung
	if hung && !member.attempt.beganAt.IsZero() && !member.attempt.ended {
		time.AfterFunc(g.notice, func() { g.fail(member.attempt) })
	}
}

// rollBack sets the gang's progress to the last periodic checkpoint, at most once per attempt: the
// runtime reached so far is rounded down to a multiple of CheckpointS. Without periodic checkpoints the
// progress stays as it is. The caller holds Gangs.mu.
func (a *gangAttempt) rollBack() {
	if a.rolledBack {
		return
	}
	a.rolledBack = true
	if interval := a.job.spec.CheckpointS; interval > 0 {
		reached := (a.job.progress + time.Since(a.beganAt)).Seconds()
		a.job.progress = time.Duration(math.Floor(reached/interval) * interval * float64(time.Second))
	}
}

// checkpoint saves a checkpoint and stops an attempt if all its members were halted within Gangs.notice
// and none is absent; otherwise the attempt fails.
func (g *Gangs) checkpoint(attempt *gangAttempt) {
	g.mu.Lock()
	if attempt.ended {
		g.mu.Unlock()
		return
	}
	for _, member := range attempt.members {
		if !member.checkpointing || member.absent {
			g.mu.Unlock()
			g.fail(attempt)
			return
		}
	}
	attempt.ended = true
	attempt.job.progress += attempt.haltedAt.Sub(attempt.beganAt)
	g.counts.Checkpointed++
	checkpointDuration := time.Duration(attempt.job.spec.SaveS * float64(time.Second))
	left := time.Until(attempt.haltedAt.Add(checkpointDuration))
	g.mu.Unlock()
	time.Sleep(left)
	g.exitAll(attempt, agent.CauseStopped)
}

// fail ends an attempt that has an absent member or whose checkpoint failed. Its tasks exit with
// CauseMembersGone, and the gang is rolled back to its last checkpoint. A machine that hung but
// resumed within Gangs.notice does not make the attempt fail, unless a member was halted to checkpoint.
func (g *Gangs) fail(attempt *gangAttempt) {
	g.mu.Lock()
	if attempt.ended || !attempt.hasAbsentMember() && attempt.haltedAt.IsZero() {
		g.mu.Unlock()
		return
	}
	attempt.ended = true
	attempt.rollBack()
	g.mu.Unlock()
	g.exitAll(attempt, agent.CauseMembersGone)
}
