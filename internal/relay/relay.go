// Package relay carries heartbeats of agents that cannot reach the leader, and the leader's
// commands to them, through the key-value store, which can be reached from every zone. A
// controller on the agents' side is the proxy: it writes their newest heartbeats under
// relay/up/NODE and hands out what the leader writes under relay/down/NODE.
//
// Safety needs nothing new. Heartbeats are told apart by incarnation and sequence number, however
// late they come. Commands are handed out only under the fencing token and in the incarnation
// that they were written for, and repeating one has no effect.
//
// This file holds the proxy and its answers to agents. Heartbeats are forwarded in forward.go,
// commands followed in commands.go and sent to agents in dispatch.go; messages.go and delta.go
// have what is stored. The leader's side is in package controller.
package relay

import (
	"context"
	"sync"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Proxy answers agents in the leader's place. The exported fields are set before Run and
// AnswerHeartbeat are called and never change; its methods may be called from any goroutine.
type Proxy struct {
	Node       string          // name of this controller
	Store      *kvstore.Client // that the heartbeats and commands go through
	Dial       wire.DialFunc   // how to connect to agents; nil: TCP
	ValueBytes int             // size in bytes that the store allows for a value
	TxnOps     int             // mutations that it allows in a transaction

	// mu guards the fields below. The maps are made by the first heartbeat and dropped by reset.
	mu           sync.Mutex
	leader       string                        // to which heartbeats are forwarded
	term         uint64                        // its term
	lastAnswered time.Time                     // when an agent was last answered
	pending      map[string]agent.Heartbeat    // newest heartbeat not yet forwarded, by machine
	forwarded    map[string]forwardedHeartbeat // last one forwarded to the leader, by machine
	addrs        map[string]string             // address of the agent, by machine
	batches      map[string]CommandBatch       // commands as last read, by key
}

// idleTimeout is for how long after the last heartbeat of an agent a proxy goes on. It outlasts the
// usual interval between two, so that the base of deltas is not lost from one to the next.
const idleTimeout = 8 * time.Second

// AnswerHeartbeat takes the heartbeat of an agent that cannot reach the leader, and returns the
// response under the leader's term. The heartbeat is forwarded later, by Run; the commands are
// those that the leader has written for the agent's incarnation in this term.
func (p *Proxy) AnswerHeartbeat(heartbeat *agent.Heartbeat, leader string, term uint64) agent.HeartbeatResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leader != leader {
		// What a delta would be based on is not known to another leader.
		p.leader, p.forwarded = leader, map[string]forwardedHeartbeat{}
	}
	p.term = term
	p.accept(heartbeat)
	p.lastAnswered = time.Now()
	response := agent.HeartbeatResponse{FencingToken: term}
	if commands := p.commandsFor(heartbeat.Machine); commands.Incarnation == heartbeat.Incarnation {
		response.Commands = commands.agentCommands()
	}
	return response
}

// accept keeps a heartbeat to be forwarded, if it is the newest of its machine. It is called with
// mu held.
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

// newer reports whether the first of two heartbeats of a machine was made after the second.
func newer(heartbeat, other *agent.Heartbeat) bool {
	if heartbeat.Incarnation != other.Incarnation {
		return heartbeat.Incarnation > other.Incarnation
	}
	return heartbeat.Sequence > other.Sequence
}

// commandsFor returns the commands that the leader has written for a machine in the present term,
// the zero value if none. It is called with mu held.
func (p *Proxy) commandsFor(machine string) MachineCommands {
	for _, batch := range p.batches {
		if commands, ok := batch.Machines[machine]; ok && batch.Term == p.term {
			return commands
		}
	}
	return MachineCommands{}
}

// active reports whether agents come to this controller.
func (p *Proxy) active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastAnswered) < idleTimeout
}

// reset drops what was kept for agents that have gone.
func (p *Proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader, p.pending, p.forwarded, p.addrs, p.batches = "", nil, nil, nil, nil
}

// Run forwards heartbeats and follows commands while agents come to this controller, until ctx
// ends. It is called once.
func (p *Proxy) Run(ctx context.Context) {
	var following sync.WaitGroup
	following.Go(func() { p.followCommands(ctx) })
	p.forwardHeartbeats(ctx)
	following.Wait()
}
