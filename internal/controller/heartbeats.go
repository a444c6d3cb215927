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

// handleHeartbeat answers the heartbeat of a worker agent. If this controller leads, the leader handles
// it. Otherwise this controller answers in the place of a leader that it cannot reach (relayHeartbeat),
// extends the lease without a leader (mayExtendWithoutLeader), or redirects the agent. The answer to a
// malformed heartbeat is wire.StatusBadRequest.
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

// redirection is the body of a response that redirects an agent to another controller.
type redirection struct {
	Leader string `cbor:"foreman,omitempty"` // name of the leader; empty if unknown
}

// redirect returns the response that redirects an agent. It names the leader if another controller is
// the last known leader.
func (n *Node) redirect() wire.Response {
	name, _ := n.candidate.Leader()
	if name == n.settings.Node {
		name = ""
	}
	return wire.Response{Status: wire.StatusMisdirectedRequest, Body: wire.Marshal(redirection{Leader: name})}
}

// leaderConfirmedWithin limits the age of the last read of the key-value store that named another
// controller as the leader. If that read is older, this controller does not answer agents in place of
// the leader. With the default lease, the key of a crashed leader expires in less time than this.
const leaderConfirmedWithin = 8 * time.Second

// relayHeartbeat answers an agent in the place of a leader that this controller, and so probably the
// agent, cannot reach. The response carries the leader's fencing token, so that the agent's lease and its
// tasks outlive a network partition between zones. It also carries the commands that the leader has
// written to the key-value store for this agent, and halts of cancelled tasks.
//
// ok is false if this controller may not answer: the leader is not confirmed or is this controller, the
// lease may not be extended (mayExtendLeases), the agent has seen a token above the leader's term, or the
// leader has answered this controller within leader.RelayAfterSilence. The last case sends agents back
// to the leader after a partition.
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

// storeUnreachableAfter is the time after which leaderUnconfirmed counts the key-value store as
// unreachable if the store has not served this controller.
const storeUnreachableAfter = 3 * time.Second

// leaderUnconfirmed reports whether neither source confirms to this controller who leads: the key-value
// store is unreachable, and the last known leader has not said within leader.RelayAfterSilence that it
// leads. The controller may be partitioned from both, or the store may be in an outage.
func (n *Node) leaderUnconfirmed() bool {
	name, _ := n.candidate.Leader()
	return !n.store.ServedWithin(storeUnreachableAfter) && !n.peers.LeadingWithin(name, leader.RelayAfterSilence)
}

// mayExtendWithoutLeader reports whether this controller extends an agent's lease although it cannot
// confirm who leads. If so it records the machine in n.extended. The response repeats the agent's own
// fencing token and carries no commands of a leader, so that the lease and the tasks last until a leader
// can be reached again. The agent's next heartbeat is redirected, so that the agent contacts the leader
// if it can. An agent that cannot reach the leader sends a heartbeat to this controller again before its
// lease expires.
//
// Guards against the loss of all running tasks in two cases: controllers restart in an outage of the
// key-value store that outlasts the leases, or a zone with a controller is partitioned from everything
// else (docs/incidents/inc-008f.md). No rule depends on the expiry of a lease, except that tasks of
// cancelled jobs end in time, which mayExtendLeases ensures.
func (n *Node) mayExtendWithoutLeader(heartbeat *agent.Heartbeat) bool {
	if heartbeat.FencingToken == 0 || !n.leaderUnconfirmed() || !n.mayExtendLeases() {
		return false
	}
	return n.extended.addIfAbsent(heartbeat.Machine, time.Now())
}

// agentRetryRound is the time that an agent spends on a controller that does not answer: its wait for the
// response, and the pause before it tries the next controller.
const agentRetryRound = 5 * time.Second

// redirectedCount returns the number of machines that recently sent heartbeats to this controller while
// it did not lead. Recently means within HeartbeatOverdue plus agentRetryRound: an agent still counts
// while it tries a controller that does not answer.
func (n *Node) redirectedCount() int { return n.redirected.count(time.Now()) }

// haltCancelled returns commands that halt, without a grace period, the tasks in a heartbeat whose jobs
// this controller knows to be cancelled, at most agent.MaxCommands. A controller that does not lead adds
// them to its responses. The commands are correct whichever controller leads.
//
// Guards against tasks that outlive the cancellation deadline: in an outage there may be no leader for
// longer than that.
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
