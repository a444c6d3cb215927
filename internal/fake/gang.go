package fake

// Gangs: tasks on several machines that run, save and complete together, by the platform's rules.

import (
	"math"
	"sync"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
)

// Gangs runs the gangs on the machines of a cloud. The tasks of an attempt wait for each other, run and
// complete together, notice when one of them is gone, and save a checkpoint together or not at all.
//
// A method that an agent calls holds that agent's lock, so locks are taken in the order agent, Gangs,
// InvariantChecker.
type Gangs struct {
	wait   time.Duration // for which a task waits for the others of its attempt
	notice time.Duration // within which tasks notice that one is gone, and all must be halted to save

	mu     sync.Mutex // guards all below, and gangJob, gangAttempt and gangMember
	jobs   map[string]*gangJob
	counts GangCounts
}

// GangCounts is what has happened to gangs so far.
type GangCounts struct {
	Began        int // attempts that began to run
	Done         int // attempts that completed
	Checkpointed int // attempts that saved and stopped
	MembersGone  int // tasks that ended because another one of their attempt was gone
	Incomplete   int // tasks that gave up waiting for the others
}

// gangJob is one gang over all its attempts.
type gangJob struct {
	spec     *job.Spec
	progress time.Duration // that the next attempt continues from
	attempts map[uint64]*gangAttempt
}

// gangAttempt is one attempt of a gang.
type gangAttempt struct {
	job        *gangJob
	members    map[string]*gangMember // by task
	beganAt    time.Time              // zero: tasks wait for each other
	haltedAt   time.Time              // when the first task was halted to save; zero: none was
	ended      bool
	rolledBack bool // the job's progress is that of the last checkpoint
}

// gangMember is one task of an attempt on its machine.
type gangMember struct {
	machine       *Agent
	task          *machineTask // guarded by the machine's lock
	id            job.AttemptID
	attempt       *gangAttempt
	checkpointing bool // it was halted and saves
	absent        bool // it is gone, or its machine hangs
}

func newGangs(wait, notice time.Duration) *Gangs {
	return &Gangs{wait: wait, notice: notice, jobs: map[string]*gangJob{}}
}

// Counts returns what has happened so far.
func (g *Gangs) Counts() GangCounts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Progress returns the saved progress that a gang's next attempt continues from.
func (g *Gangs) Progress(jobID string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gang := g.jobs[jobID]; gang != nil {
		return gang.progress
	}
	return 0
}

// join adds a task that waits to its attempt, and begins the attempt if it is the last. The caller holds
// the machine's lock.
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

// begin lets all tasks of an attempt run, for what is left of the job's runtime. The caller holds mu.
func (g *Gangs) begin(attempt *gangAttempt) {
	attempt.beganAt = time.Now()
	g.counts.Began++
	for _, member := range attempt.members {
		go func() { // later, as the caller holds another machine's lock
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

// complete ends an attempt whose runtime is over, unless it was stopped or a task is missing.
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

// hasAbsentMember reports whether a task is gone or its machine hangs. The caller holds mu.
func (a *gangAttempt) hasAbsentMember() bool {
	for _, member := range a.members {
		if member.absent {
			return true
		}
	}
	return false
}

// exitAll ends all tasks of an attempt that is over. The caller holds no lock.
func (g *Gangs) exitAll(attempt *gangAttempt, cause agent.ExitCause) {
	for _, member := range attempt.members {
		g.exit(member, cause)
	}
}

// exit ends a task on its machine; on one that hangs, once it goes on. The caller holds no lock.
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

// countExit counts a task that ends, and removes it from an attempt that has not begun.
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

// memberHalted is called when a task is halted. The task saves first, and its status says so, if
// the grace period allows it and the gang can save whole. The caller holds the machine's lock.
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

// memberKilled is called when a task is killed with all others on its machine. The caller holds the
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

// memberGone makes the other tasks notice that one is gone. The caller holds mu.
func (g *Gangs) memberGone(member *gangMember) {
	member.absent = true
	member.attempt.rollBack()
	time.AfterFunc(g.notice, func() { g.fail(member.attempt) })
}

// memberHung is called when a task's machine hangs or goes on. The caller holds the machine's lock.
func (g *Gangs) memberHung(member *gangMember, hung bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	member.absent = hung
	if hung && !member.attempt.beganAt.IsZero() && !member.attempt.ended {
		time.AfterFunc(g.notice, func() { g.fail(member.attempt) })
	}
}

// rollBack returns the gang to its last checkpoint, once in an attempt. The caller holds Gangs.mu.
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

// checkpoint saves and stops an attempt if all of its tasks were halted in time; otherwise it fails.
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

// fail ends an attempt of which a task is gone, or that could not save whole: the others notice, and the
// gang returns to its last checkpoint. A machine that hung and went on in time fails nothing.
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
