package leader

import (
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// attemptTracker ends attempts: what proof of an attempt's end means for its job and its machine,
// and which attempts have to be halted.
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

// reconcile withdraws what is left of cancelled jobs and of gangs that have lost a part.
func (t *attemptTracker) reconcile(now time.Time) {
	t.jobs.store.Each(func(j *jobstore.Job) {
		t.withdrawIncompleteGang(j, now)
		if j.Cancelled {
			t.stopAttempts(j, now)
		} else if t.Node.IsCancelled(j.Spec.ID) {
			t.cancelJobs([]string{j.Spec.ID}, now) // the news found the event queue full
		}
	})
}

// cancelJobs takes the word of other controllers that jobs are cancelled. The records say so too,
// but the key-value store may be away for longer than their tasks may go on.
func (t *attemptTracker) cancelJobs(ids []string, now time.Time) {
	for _, id := range ids {
		if j := t.jobs.store.MarkCancelled(id, now); j != nil {
			t.trigger.request()
			t.stopAttempts(j, now)
		}
	}
}

// stopAttempts stops what is left of a job: starts that were never sent are taken back, the others
// are halted. What this controller has learned to be gone, by itself or from the others, is so
// whoever led when it was reported.
//
// The latter guards against machines returned by a new leader for tasks that had long gone, where
// the ends of their jobs could not be recorded in time (docs/incidents/inc-b469.md).
func (t *attemptTracker) stopAttempts(stopped *jobstore.Job, now time.Time) {
	if !t.writer.busy {
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

// recordedButNeverSent reports whether this leader has recorded the start and never sent it.
func (t *attemptTracker) recordedButNeverSent(assignment *agent.Assignment) bool {
	return assignment.FirstSent.IsZero() && assignment.ID().Term() >= t.firstTerm
}

// withdrawIncompleteGang withdraws an attempt to run a gang of which a part is gone: what is left
// only holds room and waits, or ends by itself a little later. The gang starts anew once all of it
// is proven gone.
//
// It guards against gangs that nobody completes: a leader that ends while it records or sends the
// starts of one, a machine that dies before the others have begun.
func (t *attemptTracker) withdrawIncompleteGang(j *jobstore.Job, now time.Time) {
	if !j.IsGang() || j.Cancelled {
		return
	}
	begun := j.LiveTasks() > 0 && j.DoneTasks() == 0
	if begun && !j.GangComplete() {
		t.stopAttempts(j, now)
	}
}

// checkpointGang lets a gang save a checkpoint and stop, if all of its machines can be reached in
// time; otherwise none is halted, as a part would only lose the progress of all.
func (t *attemptTracker) checkpointGang(gang *jobstore.Job, now time.Time) {
	reachable := true
	gang.EachAttempt(func(attempt *jobstore.Attempt) {
		machine := t.machines.findOrAdd(attempt.Machine, now)
		reachable = reachable && machine.AssignmentOf(attempt) != nil && t.reachable(machine, now)
	})
	if !reachable || gang.DoneTasks() > 0 || !gang.GangComplete() {
		slog.Debug("gang not halted for a checkpoint: a machine is unreachable, a task is done or the gang is incomplete", "job", gang.Spec.ID)
		return
	}
	gang.EachAttempt(func(attempt *jobstore.Attempt) {
		machine := t.machines.findOrAdd(attempt.Machine, now)
		machine.Stop(machine.AssignmentOf(attempt), gang.Spec.SaveS)
	})
}

// reachable reports whether a machine was heard from lately and gets the commands sent to it.
func (t *attemptTracker) reachable(machine *agent.Machine, now time.Time) bool {
	present := machine.Registered && !machine.Gone && !machine.Failed
	direct := machine.RelayedBy == "" && !machine.ProbeFailed && !machine.RequestInFlight && machine.UnresponsiveSince.IsZero()
	return present && direct && now.Sub(machine.LastHeartbeat) < t.Settings.Workers.HeartbeatOverdue()
}

// checkpointMargin is how long before a termination notice runs out tasks are halted to save a
// checkpoint, beside the time that they need for it: the command has to reach them.
const checkpointMargin = 8 * time.Second

// drain empties a machine under a termination notice. Services stop at once, since they cannot
// start elsewhere before they are gone here; tasks with checkpoints go on for as long as they can;
// the others may yet be done in time.
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

// A machine is quarantined once tasks of so many jobs have failed on it with none done in between,
// or so many tasks of a job that does well elsewhere.
const (
	quarantineAfterJobs     = 2
	quarantineAfterAttempts = 2
)

// attemptEnded takes the proof that an attempt on a machine is gone.
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

// attemptDone learns the run time and clears what failures were blamed on.
func (t *attemptTracker) attemptDone(machine *agent.Machine, assignment *agent.Assignment, state *jobState, now time.Time) {
	spec := assignment.Job.Spec
	if !assignment.RunningSince.IsZero() {
		t.forecast.runtimes.Add(spec.Class, spec.ExpectS, now.Sub(assignment.RunningSince).Seconds())
	}
	machine.Images.Fetched(spec.Image)
	machine.FailedAttempts = 0
	clear(machine.FailedJobs)
	state.attemptDone()
}

// attemptFailed blames the failure on the job if it fails everywhere, and else on the machine.
func (t *attemptTracker) attemptFailed(machine *agent.Machine, j *jobstore.Job, state *jobState, now time.Time) {
	if state.attemptFailed(machine.Name, now) {
		t.clearJobFailures(j)
		return
	}
	machine.FailedAttempts++
	machine.FailedJobs[j.Spec.ID] = struct{}{}
	severalJobs := len(machine.FailedJobs) >= quarantineAfterJobs
	succeedsElsewhere := j.DoneTasks() > 0 && machine.FailedAttempts >= quarantineAfterAttempts
	if (severalJobs || succeedsElsewhere) && !machine.Quarantined {
		machine.Quarantined = true
		slog.Info("machine quarantined", "machine", machine.Name, "errors", machine.FailedAttempts)
	}
}

// clearJobFailures no longer holds the failures of a job against the machines that ran it.
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

// jobEnded drops what the leader holds of a job whose end is recorded.
func (t *attemptTracker) jobEnded(j *jobstore.Job) {
	t.trigger.request()
	delete(t.jobs.states, j)
	j.EachAttempt(func(attempt *jobstore.Attempt) {
		t.machines.findOrAdd(attempt.Machine, time.Now()).Release(attempt)
	})
	t.writer.addGarbage(j.GarbageMutations(maxGarbageOfJob)...)
}

// maxGarbageOfJob is more than the chunks of any job.
const maxGarbageOfJob = 1 << 20

// renumberUnsent gives attempts that were never sent numbers of the term that has just begun.
func (t *attemptTracker) renumberUnsent(now time.Time) {
	t.jobs.store.RenumberUnrecorded(t.term.Number(), func(renumbered jobstore.Renumbered) {
		attempt := renumbered.Attempt
		t.machines.findOrAdd(attempt.Machine, now).Renumber(attempt, renumbered.PreviousNumber)
	})
}

// jobsCancelled is the news from this controller or another that jobs are cancelled.
type jobsCancelled struct{ jobIDs []string }

func (e jobsCancelled) apply(l *Leader) { l.attempts.cancelJobs(e.jobIDs, time.Now()) }

// JobsCancelled takes the news that jobs are cancelled. It is safe for concurrent use. News that
// finds the event queue full comes again with the next look at all jobs.
func (l *Leader) JobsCancelled(jobIDs []string) { l.loop.trySubmit(jobsCancelled{jobIDs}) }
