package leader

import (
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// attemptTracker halts attempts that must not go on, and applies the proof that an attempt is gone to its
// job and its machine.
type attemptTracker struct {
	*environment
	jobs     *jobTable
	machines *machineTable
	writer   *recordWriter
	forecast *forecast
	trigger  *passTrigger
}

func newAttemptTracker(env *environment, jobs *jobTable, machines *machineTable, writer *recordWriter, forecast *forecast, trigger *passTrigger) *attemptTracker {
	return &attemptTracker{environment: env, jobs: jobs, machines: machines, writer: writer, forecast: forecast, trigger: trigger}
}

// stopObsolete stops the live attempts of cancelled jobs and of incomplete gangs.
func (t *attemptTracker) stopObsolete(now time.Time) {
	t.jobs.store.Each(func(j *jobstore.Job) {
		t.withdrawIncompleteGang(j, now)
		if j.Cancelled {
			t.stopAttempts(j, now)
		} else if t.Node.IsCancelled(j.Spec.ID) {
			t.cancelJobs([]string{j.Spec.ID}, now) // JobsCancelled dropped the report
		}
	})
}

// cancelJobs marks jobs as cancelled that this controller or another has reported as cancelled, and stops
// their attempts. It ignores jobs that have ended or are marked already. The records show cancellations
// too, but an outage of the key-value store may last for longer than tasks of cancelled jobs may run.
func (t *attemptTracker) cancelJobs(ids []string, now time.Time) {
	for _, id := range ids {
		if j := t.jobs.store.MarkCancelled(id, now); j != nil {
			t.trigger.request()
			t.stopAttempts(j, now)
		}
	}
}

// stopAttempts stops all live attempts of a job:
//
//   - Unrecorded attempts are withdrawn, as their starts were never sent. While the writer is busy they
//     are left, since a write in flight may record them; stopObsolete calls stopAttempts again.
//   - Recorded attempts whose starts were never sent are ended.
//   - Attempts of a cancelled job that are confirmed gone (Node.ConfirmedGone) are ended.
//   - All others are halted without a grace period.
//
// Attempts may have been confirmed gone under an earlier leader that could not record the end of their
// job in time. A new leader reads them from the records as live. Without the third rule, cancelOverdue
// would find that their machines still hold the cancelled tasks, and the machines would be retired and
// returned (docs/incidents/inc-b469.md).
func (t *attemptTracker) stopAttempts(stopped *jobstore.Job, now time.Time) {
	if !t.writer.requestPending {
		for _, attempt := range t.jobs.store.WithdrawUnrecorded(stopped, now) {
			t.machines.findOrAdd(attempt.Machine, now).Release(attempt)
		}
	}
	var gone []*jobstore.Attempt
	stopped.EachAttempt(func(attempt *jobstore.Attempt) {
		machine := t.machines.findOrAdd(attempt.Machine, now)
		assignment := machine.AssignmentOf(attempt)
		switch {
		case assignment == nil || !attempt.Recorded:
		case stopped.Cancelled && t.Node.ConfirmedGone(attempt.ID()):
			gone = append(gone, attempt)
		case t.recordedButNeverSent(assignment):
			gone = append(gone, attempt)
		default:
			machine.Stop(assignment, 0)
		}
	})
	for _, attempt := range gone {
		t.machines.findOrAdd(attempt.Machine, now).Release(attempt)
		t.jobs.store.EndAttempt(attempt, false, now)
	}
}

// recordedButNeverSent reports whether the start of a recorded attempt was recorded by this leader and
// never sent.
func (t *attemptTracker) recordedButNeverSent(assignment *agent.Assignment) bool {
	return assignment.FirstSent.IsZero() && assignment.ID().Term() >= t.firstTerm
}

// withdrawIncompleteGang stops the live attempts of a gang that is not complete: such attempts only hold
// resources and wait, or end by themselves a little later. The gang starts anew once all of them are
// proven gone. A cancelled or unreadable gang, or one with a done task, is left as it is.
//
// Guards against gangs that nobody completes: a leader ends while it records or sends the starts of the
// members, or a machine dies before the other members have begun.
func (t *attemptTracker) withdrawIncompleteGang(j *jobstore.Job, now time.Time) {
	if !j.IsGang() || j.Cancelled || j.Unreadable() {
		return
	}
	begun := j.LiveTasks() > 0 && j.DoneTasks() == 0
	if begun && !j.GangComplete() {
		t.stopAttempts(j, now)
	}
}

// checkpointGang halts all members of a gang, with a grace period in which they save a checkpoint. If a
// machine of the gang is not reachable, none is halted: to halt only some members would lose the
// progress of all. A gang that is incomplete, or has a done task, is not halted either. checkpointGang
// reports whether the members are halted.
func (t *attemptTracker) checkpointGang(gang *jobstore.Job, now time.Time) (halted bool) {
	reachable := true
	gang.EachAttempt(func(attempt *jobstore.Attempt) {
		machine := t.machines.findOrAdd(attempt.Machine, now)
		reachable = reachable && machine.AssignmentOf(attempt) != nil && t.reachable(machine, now)
	})
	if !reachable || gang.DoneTasks() > 0 || !gang.GangComplete() {
		slog.Debug("gang not halted for a checkpoint: a machine is unreachable, a task is done or the gang is incomplete", "job", gang.Spec.ID)
		return false
	}
	gang.EachAttempt(func(attempt *jobstore.Attempt) {
		machine := t.machines.findOrAdd(attempt.Machine, now)
		machine.Stop(machine.AssignmentOf(attempt), gang.Spec.SaveS)
	})
	return true
}

// reachable reports whether commands sent to a machine can be expected to arrive: its heartbeats are
// direct and not overdue, no request to it is in flight, and it has not failed, left a probe unanswered
// or become unresponsive.
func (t *attemptTracker) reachable(machine *agent.Machine, now time.Time) bool {
	present := machine.Registered && !machine.Gone && !machine.Failed
	direct := machine.RelayedBy == "" && !machine.ProbeFailed && !machine.RequestInFlight && machine.UnresponsiveSince.IsZero()
	return present && direct && now.Sub(machine.LastHeartbeat) < t.Settings.Workers.HeartbeatOverdue()
}

// checkpointMargin is the time allowed for a halt to reach a task before a termination notice expires, in
// addition to the time that the task needs to save a checkpoint.
const checkpointMargin = 8 * time.Second

// drain halts tasks on a machine that has a termination notice. Services are halted at once, since they
// cannot start elsewhere before they are gone here. Tasks with checkpoints run until the time left is
// only enough to halt them and save one. Other tasks are not halted, as they may be done in time.
func (t *attemptTracker) drain(machine *agent.Machine, now time.Time) {
	if machine.TerminationAt.IsZero() {
		return
	}
	left := machine.TerminationAt.Sub(now)
	for _, assignment := range machine.SortedAssignments() {
		spec := assignment.Job.Spec
		needed := time.Duration(spec.SaveS*float64(time.Second)) + checkpointMargin
		switch {
		case spec.Shape == job.Service:
			machine.Stop(assignment, spec.SaveS)
		case spec.CheckpointS > 0 && assignment.Job.IsGang():
			if left < needed+t.Settings.Workers.GangNotice {
				t.checkpointGang(assignment.Job, now)
			}
		case spec.CheckpointS > 0 && left < needed:
			machine.Stop(assignment, spec.SaveS)
		}
	}
}

// Limits of failures on a machine, counted since a task was last done there. The machine is quarantined
// once attempts of quarantineAfterJobs jobs have failed on it. It is also quarantined once
// quarantineAfterAttempts attempts have failed and the job of the latest one has a done task: that job
// succeeds on other machines.
const (
	quarantineAfterJobs     = 2
	quarantineAfterAttempts = 2
)

// attemptEnded applies the proof that an attempt on a machine is gone.
func (t *attemptTracker) attemptEnded(machine *agent.Machine, outcome agent.Outcome, now time.Time) {
	attempt := outcome.Assignment.Attempt
	done := outcome.Cause == agent.CauseDone
	slog.Debug("attempt ended", "task", attempt.TaskName(), "attempt", attempt.Number, "machine", machine.Name, "cause", outcome.Cause)
	t.jobs.store.EndAttempt(attempt, done, now)
	t.trigger.request()
	if !done {
		t.withdrawIncompleteGang(attempt.Job, now)
	}
	state := t.jobs.states[attempt.Job]
	if state == nil {
		return
	}
	switch outcome.Cause {
	case agent.CauseDone:
		t.attemptDone(machine, outcome.Assignment, state, now)
	case agent.CauseError:
		t.attemptFailed(machine, attempt.Job, state, now)
	case agent.CauseNoRoom, agent.CauseInUse, agent.CauseUnknownJob:
		state.notBefore = now.Add(time.Second)
	}
}

// attemptDone records the run time of a done attempt for the forecast, and resets the failure counts of
// its machine and its job.
func (t *attemptTracker) attemptDone(machine *agent.Machine, assignment *agent.Assignment, state *jobState, now time.Time) {
	spec := assignment.Job.Spec
	if !assignment.RunningSince.IsZero() {
		t.forecast.runtimes.Add(spec.Class, spec.ExpectS, now.Sub(assignment.RunningSince).Seconds())
	}
	machine.Images.Fetched(spec.Image)
	clear(machine.FailedJobs)
	state.attemptSucceeded()
}

// endBackoffs ends the backoff of failing jobs of which an attempt has run well.
//
// Guards against replicas that start minutes apart although the machine that failed them is well again: only a done
// task would end the backoff, which doubles with each start, and tasks of a service are never done
// (docs/incidents/replicas-start-minutes-apart.md).
func (t *attemptTracker) endBackoffs(now time.Time) {
	for j, state := range t.jobs.states {
		if !state.isFailing() {
			continue
		}
		j.EachAttempt(func(attempt *jobstore.Attempt) {
			machine := t.machines.registry.Machine(attempt.Machine)
			if machine == nil {
				return
			}
			assignment := machine.AssignmentOf(attempt)
			if assignment != nil && !assignment.RunningSince.IsZero() && state.runsWell(assignment.RunningSince, now) {
				state.attemptSucceeded()
				state.notBefore = time.Time{}
				t.trigger.request()
			}
		})
	}
}

// attemptFailed attributes a failure to the job if the job now counts as failing on every machine,
// otherwise to the machine, which it may quarantine.
func (t *attemptTracker) attemptFailed(machine *agent.Machine, j *jobstore.Job, state *jobState, now time.Time) {
	if state.attemptFailed(machine.Name, now) {
		t.clearJobFailures(j)
		return
	}
	machine.FailedJobs[j.Spec.ID]++
	severalJobs := len(machine.FailedJobs) >= quarantineAfterJobs
	succeedsElsewhere := j.DoneTasks() > 0 && machine.FailedAttempts() >= quarantineAfterAttempts
	if (severalJobs || succeedsElsewhere) && !machine.Quarantined {
		machine.Quarantined = true
		slog.Info("machine quarantined", "machine", machine.Name, "errors", machine.FailedAttempts())
	}
}

// clearJobFailures removes the failures of a job from the machines that ran it, and ends the quarantine
// of those that are not retired and have too few failed jobs left.
func (t *attemptTracker) clearJobFailures(j *jobstore.Job) {
	t.machines.registry.Each(func(machine *agent.Machine) {
		if _, failedHere := machine.FailedJobs[j.Spec.ID]; !failedHere {
			return
		}
		delete(machine.FailedJobs, j.Spec.ID)
		beingRetired := machine.RetireReason != agent.NotRetired
		machine.Quarantined = machine.Quarantined && (beingRetired || len(machine.FailedJobs) >= quarantineAfterJobs)
	})
}

// jobEnded drops the leader's state of a job whose end is recorded, and queues the deletion of its
// chunks.
func (t *attemptTracker) jobEnded(j *jobstore.Job) {
	t.trigger.request()
	delete(t.jobs.states, j)
	j.EachAttempt(func(attempt *jobstore.Attempt) {
		t.machines.findOrAdd(attempt.Machine, time.Now()).Release(attempt)
	})
	t.writer.addGarbage(j.GarbageMutations(maxGarbageOfJob)...)
}

// maxGarbageOfJob is a limit above the number of chunks of any job.
const maxGarbageOfJob = 1 << 20

// renumberUnrecorded gives new numbers, of the term that has just begun, to attempts that were never sent
// because they are not recorded.
func (t *attemptTracker) renumberUnrecorded(now time.Time) {
	t.jobs.store.RenumberUnrecorded(t.term.Number(), func(renumbered jobstore.Renumbered) {
		attempt := renumbered.Attempt
		t.machines.findOrAdd(attempt.Machine, now).Renumber(attempt, renumbered.PreviousNumber)
	})
}

// jobsCancelled is a report, from this controller or another, that jobs are cancelled.
type jobsCancelled struct{ jobIDs []string }

func (e jobsCancelled) apply(l *Leader) { l.attempts.cancelJobs(e.jobIDs, time.Now()) }

// JobsCancelled queues a report that jobs are cancelled. It is safe for concurrent use. If the event
// queue is full, the report is dropped, and stopObsolete finds the cancelled jobs later.
func (l *Leader) JobsCancelled(jobIDs []string) { l.loop.trySubmit(jobsCancelled{jobIDs}) }
