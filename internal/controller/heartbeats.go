package controller

import (
	"context"
	"fmt"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/leader"
	"tulipshelf/internal/wire"
)

// handleHeartbeat answers a worker agent: as the leader, in the place of a leader that cannot be
// reached, or by sending it on.
func (n *Node) handleHeartbeat(ctx context.Context, body []byte) wire.Response {
	var heartbeat agent.Heartbeat
	if err := wire.Unmarshal(body, &heartbeat); err != nil || heartbeat.Machine == "" || heartbeat.Incarnation == 0 {
		problem := wire.Problem{Error: fmt.Sprint("malformed report: ", err)}
		return wire.Response{Status: wire.StatusBadRequest, Body: wire.Marshal(problem)}
	}
	n.gone.observeHeartbeat(&heartbeat)
	l := n.leader.Load()
	if l == nil {
		return n.answerWithoutLeading(&heartbeat)
	}
	response, redirected := l.HandleHeartbeat(ctx, &heartbeat)
	if redirected {
		return n.redirect()
	}
	return response
}

func (n *Node) answerWithoutLeading(heartbeat *agent.Heartbeat) wire.Response {
	n.redirected.add(heartbeat.Machine, time.Now())
	if response, ok := n.relayHeartbeat(heartbeat); ok {
		return response
	}
	if n.mayExtendWithoutLeader(heartbeat) {
		answer := agent.HeartbeatResponse{FencingToken: heartbeat.FencingToken, Commands: n.haltCancelled(heartbeat)}
		return wire.Response{Status: wire.StatusOK, Body: wire.Marshal(answer)}
	}
	return n.redirect()
}

// redirection is the body of an answer that sends an agent to another controller.
type redirection struct {
	Leader string `cbor:"foreman,omitempty"` // empty: none is known
}

// redirect sends an agent to the leader, if another controller is known to lead.
func (n *Node) redirect() wire.Response {
	name, _ := n.candidate.Leader()
	if name == n.settings.Node {
		name = ""
	}
	return wire.Response{Status: wire.StatusMisdirectedRequest, Body: wire.Marshal(redirection{Leader: name})}
}

// leaderConfirmedWithin is how recently the key-value store must have named the leader for another
// controller to answer in its place. A leader that has died loses its key sooner than that.
const leaderConfirmedWithin = 8 * time.Second

// relayHeartbeat answers an agent in the place of a leader that this controller, and so probably the
// agent, cannot reach: with the leader's token, so that the agent's lease and its tasks outlive a
// partition between zones, and with the commands that come through the key-value store. Once the
// leader is heard again the agent is sent back to it. It returns false where it may not answer.
func (n *Node) relayHeartbeat(heartbeat *agent.Heartbeat) (response wire.Response, ok bool) {
	name, term, confirmed := n.candidate.ConfirmedLeader(leaderConfirmedWithin)
	if !confirmed || !n.mayExtendLeases() || name == n.settings.Node {
		return wire.Response{}, false
	}
	if heartbeat.FencingToken > term || n.peers.ReachableWithin(name, leader.RelayAfterSilence) {
		return wire.Response{}, false
	}
	answer := n.proxy.AnswerHeartbeat(heartbeat, name, term)
	answer.Commands = append(answer.Commands, n.haltCancelled(heartbeat)...)
	return wire.Response{Status: wire.StatusOK, Body: wire.Marshal(answer)}, true
}

// storeUnreachableAfter is for how long the key-value store must not have served a controller before it
// counts as isolated.
const storeUnreachableAfter = 3 * time.Second

// leaderUnconfirmed reports whether this controller can learn from nobody who leads: not from the key-value
// store, nor from the leader last known.
func (n *Node) leaderUnconfirmed() bool {
	name, _ := n.candidate.Leader()
	return !n.store.ServedWithin(storeUnreachableAfter) && !n.peers.LeadingWithin(name, leader.RelayAfterSilence)
}

// mayExtendWithoutLeader reports whether an isolated controller answers an agent. It answers one under
// the token that the agent has itself, without commands, so that its lease and its tasks last until
// a leader can be reached again; and turns it away with its next heartbeat, so that one that can
// reach the leader does so. One that cannot is back in time.
//
// It guards against the loss of all that runs where controllers come back in an outage of the
// key-value store that outlasts the leases, or where a zone with a controller is cut off from
// everything (docs/incidents/inc-008f.md). No rule depends on a lease's end.
func (n *Node) mayExtendWithoutLeader(heartbeat *agent.Heartbeat) bool {
	if heartbeat.FencingToken == 0 || !n.leaderUnconfirmed() || !n.mayExtendLeases() {
		return false
	}
	return n.extended.addIfAbsent(heartbeat.Machine, time.Now())
}

// agentRetryRound is the agents' wait for a response, and the pause behind it.
const agentRetryRound = 5 * time.Second

// redirectedCount returns how many machines have lately sent heartbeats to this controller though
// it does not lead: within the time that an agent takes to come back from one that does not answer.
func (n *Node) redirectedCount() int { return n.redirected.count(time.Now()) }

// haltCancelled returns the commands that end tasks of cancelled jobs on a machine, as far as this
// controller knows of the cancellations: for an agent that it answers without leading for certain.
// They are right whoever leads, and nobody may in an outage that outlasts the time in which such
// tasks must be gone.
func (n *Node) haltCancelled(heartbeat *agent.Heartbeat) (commands []agent.Command) {
	gracePeriod := 0.0
	for i := range heartbeat.Tasks {
		task := &heartbeat.Tasks[i]
		jobID, _, _ := job.ParseTaskName(task.Task)
		if task.Status != agent.StatusExited && len(commands) < agent.MaxCommands && n.cancelled.Contains(jobID) {
			commands = append(commands, agent.Command{Verb: agent.VerbHalt, Task: task.Task, Attempt: task.Attempt, GracePeriodS: &gracePeriod})
		}
	}
	return commands
}
