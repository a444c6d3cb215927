package fake

// The tasks on an agent's machine: they are started and halted by commands, and exit at the end of their
// runtime.

import (
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
)

// FailingClass is the class of the jobs whose tasks fail as soon as they start, on every machine.
const FailingClass = "mistaken"

// serviceRuntime is the runtime of a service's tasks, longer than any test runs.
const serviceRuntime = 1000 * time.Hour

// machineTask is an attempt of a task on a machine. Agent.mu guards its fields.
type machineTask struct {
	status agent.TaskStatus
	cause  agent.ExitCause
	end    *time.Timer // timer of the runtime or, for a gang's task, of Gangs.wait; nil if it failed to start
	member *gangMember // nil if the task does not belong to a gang
}

// execute executes commands in order and ignores those that do not apply to the attempt's status. The
// caller holds mu.
func (a *Agent) execute(commands []agent.Command) {
	for _, command := range commands {
		attempt := job.AttemptID{Task: command.Task, Number: command.Attempt}
		task := a.tasks[attempt]
		switch {
		case command.Verb == agent.VerbRun && task == nil:
			a.started[attempt] = struct{}{}
			a.tasks[attempt] = a.startTask(attempt)
			a.signalChange()
		case command.Verb == agent.VerbHalt && task != nil && task.status != agent.StatusExited:
			a.haltTask(attempt, task, command.GracePeriodS)
		case command.Verb == agent.VerbForget && task != nil && task.status == agent.StatusExited:
			delete(a.tasks, attempt)
		}
	}
}

// haltTask stops a task. If its gang can save a checkpoint within the grace period, the task stays on
// the machine while the checkpoint is saved. A nil grace period means 0. The caller holds mu.
func (a *Agent) haltTask(attempt job.AttemptID, task *machineTask, gracePeriodS *float64) {
	if task.member != nil {
		gracePeriod := 0.0
		if gracePeriodS != nil {
			gracePeriod = *gracePeriodS
		}
		a.cloud.Gangs.memberHalted(task.member, gracePeriod)
		if task.status == agent.StatusCheckpointing && gracePeriod > 0 {
			a.signalChange()
			return
		}
	}
	task.end.Stop()
	a.exitTask(attempt, task, agent.CauseStopped)
}

// exitTask marks a task as exited and reports this to the invariant checker. The caller holds mu.
func (a *Agent) exitTask(attempt job.AttemptID, task *machineTask, cause agent.ExitCause) {
	task.status, task.cause = agent.StatusExited, cause
	a.cloud.invariants.taskEnded(attempt.Task, a.Name, cause == agent.CauseDone)
	a.signalChange()
}

// startTask starts an attempt. The returned task has already exited if another attempt of the task is on
// the machine, if the job's specification is unknown, or if FailTasks or FailingClass makes it fail. The
// caller holds mu.
func (a *Agent) startTask(attempt job.AttemptID) *machineTask {
	for other, task := range a.tasks {
		if other.Task == attempt.Task && task.status != agent.StatusExited {
			return &machineTask{status: agent.StatusExited, cause: agent.CauseInUse}
		}
	}
	spec := a.cloud.invariants.taskStarted(attempt.Task, placement{a.Name, a.Zone, attempt.Number})
	if spec == nil {
		return &machineTask{status: agent.StatusExited, cause: agent.CauseUnknownJob}
	}
	if a.faults.FailTasks || spec.Class == FailingClass {
		a.cloud.invariants.taskEnded(attempt.Task, a.Name, false)
		a.signalChange()
		return &machineTask{status: agent.StatusExited, cause: agent.CauseError}
	}
	if spec.Shape == job.Gang {
		task := &machineTask{status: agent.StatusWaiting}
		a.cloud.Gangs.join(spec, a, attempt, task)
		return task
	}
	runtime := time.Duration(spec.ExpectS * float64(time.Second))
	if spec.Shape == job.Service {
		runtime = serviceRuntime
	}
	task := &machineTask{status: agent.StatusRunning}
	task.end = time.AfterFunc(runtime, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if task.status == agent.StatusRunning {
			a.exitTask(attempt, task, agent.CauseDone)
		}
	})
	return task
}

// killTasks kills and removes all tasks, so that heartbeats no longer list them. The caller holds mu.
func (a *Agent) killTasks() {
	for attempt, task := range a.tasks {
		if task.status != agent.StatusExited {
			task.end.Stop()
			if task.member != nil {
				a.cloud.Gangs.memberKilled(task.member)
			}
			a.cloud.invariants.taskEnded(attempt.Task, a.Name, false)
		}
	}
	clear(a.tasks)
}
