package leader

import (
	"context"
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/wire"
)

// dispatcher sends direct requests to worker agents: commands that should not wait for the next
// heartbeat, and probes of machines whose heartbeats are late. A machine has one request in flight.
type dispatcher struct {
	*environment
	registry *agent.Registry
	commands *commandSource
	clients  map[string]*wire.Client // by machine

	commandsInFlight int // machines with a request for commands in flight
	probesInFlight   int // machines with a probe in flight
}

// Limits of direct requests.
const (
	// socketDivisor bounds the machines that are sent commands, or probed, at once: one socket in so
	// many. A burst of starts on hundreds of machines must not take the sockets of agents.
	socketDivisor = 20

	// probeInterval is how often one machine is probed.
	probeInterval = 5 * time.Second

	// idleConnectionAge is how long a connection to an agent is kept unused. One kept for each
	// machine would take a third of all sockets.
	idleConnectionAge = 2 * time.Second
)

func newDispatcher(env *environment, registry *agent.Registry, commands *commandSource) *dispatcher {
	return &dispatcher{environment: env, registry: registry, commands: commands, clients: map[string]*wire.Client{}}
}

func (d *dispatcher) maxInFlight() int { return d.Settings.Resources.MaxSockets / socketDivisor }

// sendUrgent sends commands that should not wait for a heartbeat. Machines beyond the bound have
// their turn when others are done, or with their next heartbeat.
func (d *dispatcher) sendUrgent(now time.Time) {
	d.registry.Each(func(machine *agent.Machine) {
		if !machine.Urgent() || d.commandsInFlight >= d.maxInFlight() {
			return
		}
		if now.Sub(machine.LastHeartbeat) >= d.Operator.UnhealthyAfter {
			return
		}
		if commands := d.commands.forMachine(machine, now); len(commands) > 0 {
			d.send(machine, commands)
		}
	})
}

func (d *dispatcher) send(machine *agent.Machine, commands []agent.Command) {
	machine.RequestInFlight = true
	d.commandsInFlight++
	client := d.client(machine)
	body := encodeCommands(d.term.Number(), machine.Incarnation, commands)
	d.loop.start(func() {
		ctx, cancel := context.WithTimeout(d.loop.ctx, agent.RequestTimeout)
		defer cancel()
		status, err := agent.Call(ctx, client, wire.MethodPost, agent.CommandsPath, body)
		d.loop.submit(commandsAnswered{machine, status, err})
	})
}

func encodeCommands(term, incarnation uint64, commands []agent.Command) []byte {
	return wire.Marshal(agent.CommandRequest{FencingToken: term, Incarnation: incarnation, Commands: commands})
}

// commandsAnswered is the answer to commands, or the lack of one.
type commandsAnswered struct {
	machine *agent.Machine
	status  agent.Heartbeat
	err     error
}

func (e commandsAnswered) apply(l *Leader) {
	l.dispatcher.commandsInFlight--
	l.handleDirectAnswer(e.machine, &e.status, e.err)
}

// handleDirectAnswer takes the answer to a direct request. Without one it is unknown whether commands
// were carried out, or yet will be; heartbeats tell.
func (l *Leader) handleDirectAnswer(machine *agent.Machine, status *agent.Heartbeat, err error) {
	machine.RequestInFlight = false
	if err != nil {
		slog.Debug("commands not answered", "machine", machine.Name, "err", err)
		return
	}
	if machine.Gone || status.Machine != machine.Name {
		return
	}
	if status.FencingToken > l.term.Number() {
		l.heartbeats.reportHigherToken(status.FencingToken)
		return
	}
	machine.MarkResponsive()
	l.heartbeats.applyDirectAnswer(machine, status, time.Now())
}

// probeSilent brings this leader's token to machines that it does not hear from. They may still
// send heartbeats to an earlier leader that is cut off from the key-value store and from the other
// controllers but not from them; once they show it the higher token it turns them away. A machine
// that seems unresponsive is probed too: one that answers is not. One that does not answer is
// replaced sooner.
func (d *dispatcher) probeSilent(now time.Time) {
	d.registry.Each(func(machine *agent.Machine) {
		if d.needsProbe(machine, now) && d.probesInFlight < d.maxInFlight() {
			d.probe(machine, now)
		}
	})
}

func (d *dispatcher) needsProbe(machine *agent.Machine, now time.Time) bool {
	lastContact := d.startedAt
	if machine.Registered {
		lastContact = machine.LastHeartbeat
	}
	if now.Sub(lastContact) < d.Settings.Workers.HeartbeatOverdue() && machine.UnresponsiveSince.IsZero() {
		return false
	}
	direct := machine.Addr != "" && machine.RelayedBy == "" && !machine.RequestInFlight
	active := machine.RetireReason == agent.NotRetired && !machine.Booting
	return direct && active && now.Sub(machine.LastProbe) >= probeInterval
}

func (d *dispatcher) probe(machine *agent.Machine, now time.Time) {
	machine.LastProbe, machine.RequestInFlight = now, true
	d.probesInFlight++
	client, term := d.client(machine), d.term.Number()
	d.loop.start(func() {
		ctx, cancel := context.WithTimeout(d.loop.ctx, agent.RequestTimeout)
		defer cancel()
		status, err := agent.Call(ctx, client, wire.MethodGet, agent.StatusPath, nil)
		if err == nil && status.FencingToken < term {
			body := encodeCommands(term, status.Incarnation, []agent.Command{})
			status, err = agent.Call(ctx, client, wire.MethodPost, agent.CommandsPath, body)
		}
		d.loop.submit(probeAnswered{machine, status, err})
	})
}

// probeAnswered is the answer to a probe, or the lack of one.
type probeAnswered struct {
	machine *agent.Machine
	status  agent.Heartbeat
	err     error
}

func (e probeAnswered) apply(l *Leader) {
	l.dispatcher.probesInFlight--
	e.machine.ProbeFailed = e.err != nil
	l.handleDirectAnswer(e.machine, &e.status, e.err)
}

// client returns the client for direct requests to a machine.
func (d *dispatcher) client(machine *agent.Machine) *wire.Client {
	client := d.clients[machine.Name]
	if client == nil || client.Addr != machine.Addr {
		client = &wire.Client{Dial: d.Dial, Addr: machine.Addr, MaxIdle: 1}
		d.clients[machine.Name] = client
	}
	return client
}

// forget drops the client of a machine that was returned.
func (d *dispatcher) forget(machineName string) { delete(d.clients, machineName) }

func (d *dispatcher) trimConnections() {
	for _, client := range d.clients {
		client.Trim(idleConnectionAge)
	}
}
