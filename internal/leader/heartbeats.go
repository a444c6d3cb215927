package leader

import (
	"context"
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// heartbeatHandler applies what worker agents say, and answers their heartbeats.
type heartbeatHandler struct {
	*environment
	topology *topology
	jobs     *jobTable
	machines *machineTable
	attempts *attemptTracker
	commands *commandSource
	trigger  *passTrigger
}

// HandleHeartbeat applies an agent's heartbeat and returns the answer to it; redirected is true if
// the agent has to go to another controller. It is safe for concurrent use.
func (l *Leader) HandleHeartbeat(ctx context.Context, heartbeat *agent.Heartbeat) (response wire.Response, redirected bool) {
	received := &heartbeatReceived{heartbeat: heartbeat}
	if !l.loop.call(ctx, received) {
		return unavailable(), false
	}
	return received.response, received.redirected
}

type heartbeatReceived struct {
	heartbeat  *agent.Heartbeat
	response   wire.Response
	redirected bool
}

func (e *heartbeatReceived) apply(l *Leader) {
	if !l.recovery.loaded.Load() {
		e.response = unavailable()
		return
	}
	e.response, e.redirected = l.heartbeats.handle(e.heartbeat)
}

// unavailable is the answer to an agent that has to come back.
func unavailable() wire.Response {
	return wire.Response{Status: wire.StatusServiceUnavailable, RetryAfter: 1}
}

func (h *heartbeatHandler) handle(heartbeat *agent.Heartbeat) (response wire.Response, redirected bool) {
	term := h.term.Number()
	if heartbeat.FencingToken > term {
		// The agent would drop whatever this leader answers, and stay here.
		h.reportHigherToken(heartbeat.FencingToken)
		return wire.Response{}, true
	}
	now := time.Now()
	machine := h.apply(heartbeat, now)
	if machine == nil || !h.Node.MayExtendLeases() {
		return unavailable(), false
	}
	answer := agent.HeartbeatResponse{FencingToken: term}
	if isNewest(machine, heartbeat) {
		machine.RelayedBy = ""
		machine.HeartbeatAnswered(term, h.Settings.Workers.Lease, now)
		answer.Commands = h.commands.forMachine(machine, now)
	}
	return wire.Response{Status: wire.StatusOK, Body: wire.Marshal(answer)}, false
}

// isNewest reports whether a heartbeat that was applied is the newest of its machine. A late copy
// says nothing of the way that newer ones take.
func isNewest(machine *agent.Machine, heartbeat *agent.Heartbeat) bool {
	return heartbeat.Incarnation == machine.Incarnation && heartbeat.Sequence == machine.Sequence
}

// reportHigherToken has the election find out whether a token above this leader's is a later term's.
func (h *heartbeatHandler) reportHigherToken(token uint64) {
	h.loop.start(func() { h.Node.ObserveToken(h.loop.ctx, token) })
}

// apply learns from a heartbeat, or from the same status in the answer to a direct request. It
// returns nil if the machine was returned to the cloud.
func (h *heartbeatHandler) apply(heartbeat *agent.Heartbeat, now time.Time) *agent.Machine {
	if h.machines.registry.Add(heartbeat.Machine, now) == nil {
		return nil
	}
	machine := h.machines.findOrAdd(heartbeat.Machine, now)
	machine.Type, machine.Zone = h.topology.resolve(heartbeat.Type, heartbeat.Zone)
	previousVersion := machine.Version
	wasSilent := !machine.Registered || now.Sub(machine.LastHeartbeat) >= h.Operator.UnhealthyAfter
	if !machine.Registered {
		h.recordImages(machine, heartbeat, now)
	}
	outcomes, fresh := machine.ApplyHeartbeat(heartbeat, h.Settings.Workers.Lease, now)
	if !fresh {
		return machine
	}
	if wasSilent || machine.Version != previousVersion {
		h.trigger.request()
	}
	for _, outcome := range outcomes {
		h.attempts.attemptEnded(machine, outcome, now)
	}
	logRunning(machine, now)
	return machine
}

// logRunning logs the attempts that this heartbeat was the first to show running.
func logRunning(machine *agent.Machine, now time.Time) {
	for _, assignment := range machine.Assignments {
		if assignment.RunningSince.Equal(now) {
			submitted := assignment.Job.SubmittedAt
			slog.Debug("attempt running", "task", assignment.TaskName(), "attempt", assignment.Number, "machine", machine.Name,
				"placed_s", assignment.AssignedAt.Sub(submitted).Seconds(), "running_s", now.Sub(submitted).Seconds())
		}
	}
}

// recordImages takes from a machine's first heartbeat to this leader which images it has: those of
// the tasks that run or have run there. Without it a new leader knows only of what runs, and sends
// work elsewhere to fetch what is here.
func (h *heartbeatHandler) recordImages(machine *agent.Machine, heartbeat *agent.Heartbeat, now time.Time) {
	if machine.Type == unknownIndex {
		return
	}
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		hasRun := task.Status == agent.StatusRunning || task.Cause == agent.CauseDone
		jobID, _, _ := job.ParseTaskName(task.Task)
		if j := h.jobs.store.Job(jobID); j != nil && hasRun {
			machine.Images.Use(j.Spec.Image, j.Spec.ImageGB, h.topology.types[machine.Type].Disk, now)
			machine.Images.Fetched(j.Spec.Image)
		}
	}
}

// applyDirectAnswer learns from what a machine answers to a direct request. It is no sign that its
// heartbeats still arrive, and without them its lease runs out.
func (h *heartbeatHandler) applyDirectAnswer(machine *agent.Machine, status *agent.Heartbeat, now time.Time) {
	lastHeartbeat := machine.LastHeartbeat
	h.apply(status, now)
	if machine.Registered && !lastHeartbeat.IsZero() {
		machine.LastHeartbeat = lastHeartbeat
	}
}
