// Dispatch of commands directly to agents, ahead of the responses to their next heartbeats.

package relay

import (
	"context"
	"log/slog"
	"sync"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/wire"
)

const (
	// maxDispatches is the maximum number of concurrent connections for direct commands: a large zone
	// has more agents than a controller has sockets.
	maxDispatches = 40

	// dispatchTimeout limits how long an agent that hangs occupies one of the connections. While none is
	// free, other agents receive their commands only in the responses to their next heartbeats.
	dispatchTimeout = agent.RequestTimeout
)

// directCommands holds commands to be sent directly to one agent.
type directCommands struct {
	machine string
	addr    string
	request agent.CommandRequest
}

// dispatcher sends commands to at most maxDispatches agents at the same time.
type dispatcher struct {
	proxy   *Proxy
	slots   chan struct{} // contains one element for each dispatch in flight
	sending sync.WaitGroup
}

func newDispatcher(p *Proxy) *dispatcher {
	return &dispatcher{proxy: p, slots: make(chan struct{}, maxDispatches)}
}

// tryDispatch begins to send commands, unless maxDispatches are already in flight. In that case the
// agent receives the commands in the response to its next heartbeat.
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

// wait waits until all dispatches in flight have been answered or have failed.
func (d *dispatcher) wait() { d.sending.Wait() }

// dispatch sends commands to an agent and accepts the heartbeat in its response. Waiting for the
// agent's own next heartbeat instead would take a large part of the total time of short tasks.
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
