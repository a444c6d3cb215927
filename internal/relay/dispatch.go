// Sending commands to agents at once, rather than in the response to their next heartbeat.

package relay

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/wire"
)

const (
	// maxDispatches bounds the connections that commands take: a large zone has more agents than a
	// controller has sockets.
	maxDispatches = 40

	// dispatchTimeout bounds for how long an agent that hangs takes one of the connections: the
	// others' commands are left to the responses to their next heartbeats meanwhile.
	dispatchTimeout = 1500 * time.Millisecond
)

// directCommands are commands on their way to one agent.
type directCommands struct {
	machine string
	addr    string
	request agent.CommandRequest
}

// dispatcher sends commands to at most maxDispatches agents at the same time.
type dispatcher struct {
	proxy   *Proxy
	slots   chan struct{} // has an element for each that is being sent
	sending sync.WaitGroup
}

func newDispatcher(p *Proxy) *dispatcher {
	return &dispatcher{proxy: p, slots: make(chan struct{}, maxDispatches)}
}

// tryDispatch begins to send commands, unless too many are being sent: the agent gets them in the
// response to its next heartbeat then.
func (d *dispatcher) tryDispatch(ctx context.Context, commands directCommands) {
	select {
	case d.slots <- struct{}{}:
	default:
		return
	}
	d.sending.Go(func() {
		d.proxy.dispatch(ctx, commands)
		<-d.slots
	})
}

// wait returns once all that is being sent has been answered or has failed.
func (d *dispatcher) wait() { d.sending.Wait() }

// dispatch sends commands to an agent and takes its heartbeat in the response. For short tasks the
// wait for the agent's own next heartbeat would be a large part of their time.
func (p *Proxy) dispatch(ctx context.Context, commands directCommands) {
	ctx, cancel := context.WithTimeout(ctx, dispatchTimeout)
	defer cancel()
	client := wire.Client{Dial: p.Dial, Addr: commands.addr}
	defer client.CloseIdle()
	heartbeat, err := agent.Call(ctx, &client, wire.MethodPost, agent.CommandsPath, wire.Marshal(commands.request))
	if err != nil || heartbeat.Machine != commands.machine {
		slog.Debug("commands not answered", "machine", commands.machine, "err", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accept(&heartbeat)
}
