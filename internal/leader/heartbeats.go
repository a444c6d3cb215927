package leader

import (
	"context"
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// heartbeatHandler applies the heartbeats of worker agents to the leader's state, and answers them.
type heartbeatHandler struct {
	*environment
	topology *topology
	jobs     *jobTable
	machines *machineTable
	attempts *attemptTracker
	commands *commandSource
	trigger  *passTrigger
}

// HandleHeartbeat applies an agent's heartbeat and returns the response to it. If redirected is true,
// the response is empty and the agent has to be redirected to another controller. If this leader cannot
// answer now, for example while the event queue is full, the response asks the agent to retry. It is
// safe for concurrent use.
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

// unavailable returns the response that asks an agent to retry after one second.
func unavailable() wire.Response {
	return wire.Response{Status: wire.StatusServiceUnavailable, RetryAfter: 1}
}

func (h *heartbeatHandler) handle(heartbeat *agent.Heartbeat) (response wire.Response, redirected bool) {
	term := h.term.Number()
	if heartbeat.FencingToken > term {
		// The agent would discard any answer under the lower token, and not go to another controller.
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
		request := h.commands.requestFor(machine, now)
		answer = agent.HeartbeatResponse{FencingToken: request.FencingToken, Commands: request.Commands}
		machine.HeartbeatAnswered(answer.FencingToken, h.Settings.Workers.Lease, now)
	}
	return wire.Response{Status: wire.StatusOK, Body: wire.Marshal(answer)}, false
}

// isNewest reports whether a heartbeat is the newest that was applied to its machine. Only the newest
// may change RelayedBy: a late copy may arrive directly while newer heartbeats are relayed, or the
// reverse.
func isNewest(machine *agent.Machine, heartbeat *agent.Heartbeat) bool {
	return heartbeat.Incarnation == machine.Incarnation && heartbeat.Sequence == machine.Sequence
}

// reportHigherToken passes a token above this leader's to the election, which checks whether it belongs
// to a later term. It does not wait for the result.
func (h *heartbeatHandler) reportHigherToken(token uint64) {
	h.loop.start(func() { h.Node.ObserveToken(h.loop.ctx, token) })
}

// apply updates a machine and the attempts on it from a heartbeat, or from the status that an agent
// answers to a direct request. It returns the machine, or nil if it was returned to the cloud.
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

// logRunning logs the attempts that were first reported as running by the heartbeat applied at now.
func logRunning(machine *agent.Machine, now time.Time) {
	for _, assignment := range machine.Assignments {
		if assignment.RunningSince.Equal(now) {
			submitted := assignment.Job.SubmittedAt
			slog.Debug("attempt running", "task", assignment.TaskName(), "attempt", assignment.Number, "machine", machine.Name,
				"placed_s", assignment.AssignedAt.Sub(submitted).Seconds(), "running_s", now.Sub(submitted).Seconds())
		}
	}
}

// recordImages records which images a machine has, by its first heartbeat to this leader: those of the
// reported tasks that are running or done. Without it a new leader would know only the images of running
// tasks, and would place tasks on other machines, which fetch images that are present here.
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

// applyDirectAnswer applies the status that a machine answers to a direct request. LastHeartbeat keeps
// its value unless it was zero: the answer does not show that heartbeats still arrive, and without them
// the machine's lease expires.
func (h *heartbeatHandler) applyDirectAnswer(machine *agent.Machine, status *agent.Heartbeat, now time.Time) {
	lastHeartbeat := machine.LastHeartbeat
	h.apply(status, now)
	if machine.Registered && !lastHeartbeat.IsZero() {
		machine.LastHeartbeat = lastHeartbeat
	}
}
