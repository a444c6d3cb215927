// Package relay carries heartbeats of agents that cannot reach the leader, and the leader's commands
// to them, through the key-value store, which is reachable from every zone. A controller that the
// agents can reach acts as the proxy: it writes their newest heartbeats under relay/up/NODE and
// delivers the commands that the leader writes under relay/down/NODE.
//
// The relay needs no safety rules of its own. Heartbeats are ordered by incarnation and sequence
// number, however late they arrive. Commands are delivered only under the fencing token and to the
// incarnation that they were written for, and repeating one has no effect.
//
// This file defines the proxy and its answers to agents. Heartbeats are forwarded in forward.go,
// commands are read in commands.go and sent to agents in dispatch.go, and the stored values are
// defined in messages.go and delta.go. The leader's side is in package leader.
package relay

import (
	"context"
	"sync"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Proxy answers agents in place of the leader. The exported fields must be set before Run and
// AnswerHeartbeat are called and never changed afterwards. The methods may be called from any
// goroutine.
type Proxy struct {
	Node       string          // name of this controller
	Store      *kvstore.Client // client of the key-value store that carries heartbeats and commands
	Dial       wire.DialFunc   // opens connections to agents; nil: TCP
	ValueBytes int             // the store's limit for the size of a value, in bytes
	TxnOps     int             // the store's limit for the number of mutations in a transaction

	IsCancelled func(jobID string) bool // whether this controller knows that a job is cancelled; nil: of none

	// mu guards the fields below. The maps are created on first use and dropped by reset.
	mu           sync.Mutex
	leader       string                        // name of the leader to which heartbeats are forwarded
	term         uint64                        // term of the leader
	lastAnswered time.Time                     // time of the last answer to an agent
	activation   context.Context               // ends with reset; nil while the proxy is not active
	deactivate   context.CancelFunc            // ends activation
	pending      map[string]agent.Heartbeat    // newest heartbeat not yet forwarded, by machine
	forwarded    map[string]forwardedHeartbeat // heartbeat last forwarded to the leader, by machine
	addrs        map[string]string             // address of the agent, by machine
	batches      map[string]CommandBatch       // commands as last read, by key

	writeLimit WriteLimit // used only by forwardHeartbeats
}

// idleTimeout is the period after the last heartbeat of an agent in which a proxy remains active. It is
// longer than the usual interval between heartbeats, so that the base of the next delta is kept.
const idleTimeout = 8 * time.Second

// AnswerHeartbeat accepts the heartbeat of an agent that cannot reach the leader, and returns the
// response under the leader's term. Run forwards the heartbeat later. The response contains the
// commands that the leader has written for the agent's incarnation in this term.
func (p *Proxy) AnswerHeartbeat(heartbeat *agent.Heartbeat, leader string, term uint64) agent.HeartbeatResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leader != leader {
		// Another leader does not have the bases of deltas.
		p.leader, p.forwarded = leader, map[string]forwardedHeartbeat{}
	}
	p.term = term
	p.accept(heartbeat)
	p.lastAnswered = time.Now()
	if p.activation == nil {
		p.activation, p.deactivate = context.WithCancel(context.Background())
	}
	response := agent.HeartbeatResponse{FencingToken: term}
	if commands := p.commandsFor(heartbeat.Machine); commands.Incarnation == heartbeat.Incarnation {
		response.Commands = p.agentCommands(&commands)
	}
	return response
}

// accept queues a heartbeat for forwarding if it is the newest of its machine. The caller holds mu.
func (p *Proxy) accept(heartbeat *agent.Heartbeat) {
	machine := heartbeat.Machine
	if p.pending == nil {
		p.pending, p.addrs = map[string]agent.Heartbeat{}, map[string]string{}
	}
	pending, forwarded := p.pending[machine], p.forwarded[machine].heartbeat
	if !newer(heartbeat, &pending) || !newer(heartbeat, &forwarded) {
		return
	}
	p.pending[machine], p.addrs[machine] = *heartbeat, heartbeat.Addr
}

// newer reports whether heartbeat was created after other. Both must be of the same machine.
func newer(heartbeat, other *agent.Heartbeat) bool {
	if heartbeat.Incarnation != other.Incarnation {
		return heartbeat.Incarnation > other.Incarnation
	}
	return heartbeat.Sequence > other.Sequence
}

// commandsFor returns the commands that the leader has written for a machine in the current term, the
// zero value if there are none. The caller holds mu.
func (p *Proxy) commandsFor(machine string) MachineCommands {
	for _, batch := range p.batches {
		if commands, ok := batch.Machines[machine]; ok && batch.Term == p.term {
			return commands
		}
	}
	return MachineCommands{}
}

// agentCommands returns a machine's commands in the form that agents receive, without starts of jobs that this
// controller knows to be cancelled.
//
// Guards against tasks that run again after their job was cancelled: the leader withdraws its commands later than this
// controller may learn of the cancellation.
func (p *Proxy) agentCommands(machine *MachineCommands) (commands []agent.Command) {
	for _, command := range machine.Commands {
		if command.Verb == agent.VerbRun && p.ofCancelledJob(command.Task) {
			continue
		}
		commands = append(commands, agent.Command{Verb: command.Verb, Task: command.Task, Attempt: command.Attempt, GracePeriodS: command.GracePeriodS})
	}
	return commands
}

func (p *Proxy) ofCancelledJob(task string) bool {
	jobID, _, ok := job.ParseTaskName(task)
	return ok && p.IsCancelled != nil && p.IsCancelled(jobID)
}

// resetIfIdle reports whether no agent was answered within idleTimeout. If so, the proxy is no longer
// active: resetIfIdle drops the state kept for agents and ends the reading of commands, which begins
// anew with the next heartbeat.
func (p *Proxy) resetIfIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.lastAnswered) < idleTimeout {
		return false
	}
	p.leader, p.pending, p.forwarded, p.addrs, p.batches = "", nil, nil, nil, nil
	if p.deactivate != nil {
		p.deactivate()
	}
	p.activation, p.deactivate = nil, nil
	return true
}

// currentActivation returns a context that ends when the proxy is no longer active, or nil if it is not
// active now.
func (p *Proxy) currentActivation() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.activation
}

// Run forwards heartbeats and delivers commands while the proxy is active, until ctx ends. It must be
// called at most once.
func (p *Proxy) Run(ctx context.Context) {
	var following sync.WaitGroup
	following.Go(func() { p.followCommands(ctx) })
	p.forwardHeartbeats(ctx)
	following.Wait()
}
