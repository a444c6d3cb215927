package leader

import (
	"context"
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/wire"
)

// dispatcher sends direct requests to worker agents: commands that should not wait for the next
// heartbeat, and probes of machines that are unresponsive or whose heartbeats are overdue. A machine
// has at most one request in flight.
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
	// socketDivisor is the divisor of MaxSockets that gives the maximum number of machines with commands
	// in flight, and of machines with a probe in flight. Guards against heartbeats that find no free
	// socket: a burst of starts on hundreds of machines would take too many.
	socketDivisor = 20

	// probeInterval is the minimum time between two probes of one machine.
	probeInterval = 5 * time.Second

	// idleConnectionAge is the maximum time for which an unused connection to an agent is kept. One kept
	// for each machine would take a third of all sockets.
	idleConnectionAge = 2 * time.Second
)

func newDispatcher(env *environment, registry *agent.Registry, commands *commandSource) *dispatcher {
	return &dispatcher{environment: env, registry: registry, commands: commands, clients: map[string]*wire.Client{}}
}

// maxInFlight returns the maximum number of machines with commands in flight, which is also that of
// machines with a probe in flight.
func (d *dispatcher) maxInFlight() int { return d.Settings.Resources.MaxSockets / socketDivisor }

// sendUrgent sends commands that should not wait for the next heartbeat. Machines beyond maxInFlight are
// sent theirs once other requests have ended, or in the response to their next heartbeat. Silent
// machines are left out.
func (d *dispatcher) sendUrgent(now time.Time) {
	d.registry.Each(func(machine *agent.Machine) {
		if !machine.Urgent() || d.commandsInFlight >= d.maxInFlight() {
			return
		}
		if now.Sub(machine.LastHeartbeat) >= d.Operator.UnhealthyAfter {
			return
		}
		if request := d.commands.requestFor(machine, now); len(request.Commands) > 0 {
			d.send(machine, request)
		}
	})
}

func (d *dispatcher) send(machine *agent.Machine, request agent.CommandRequest) {
	machine.RequestInFlight = true
	d.commandsInFlight++
	client := d.client(machine)
	body := wire.Marshal(request)
	d.loop.start(func() {
		ctx, cancel := context.WithTimeout(d.loop.ctx, agent.RequestTimeout)
		defer cancel()
		status, err := agent.Call(ctx, client, wire.MethodPost, agent.CommandsPath, body)
		d.loop.submit(commandsAnswered{machine, status, err})
	})
}

// commandsAnswered is the end of a request that sent commands: the status that the agent answered, or
// the error of the request.
type commandsAnswered struct {
	machine *agent.Machine
	status  agent.Heartbeat
	err     error
}

func (e commandsAnswered) apply(l *Leader) {
	l.dispatcher.commandsInFlight--
	l.handleDirectAnswer(e.machine, &e.status, e.err)
}

// handleDirectAnswer applies the status that an agent answered to a direct request. If err is not nil,
// it is unknown whether commands have been executed or will be; later heartbeats show it. An answer is
// ignored if the machine is gone, or if another machine has sent the answer. If its token is above this
// leader's, only the token is reported to the election.
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

// probeSilent probes machines whose heartbeats are overdue and passes them this leader's fencing token.
// Their agents may still send heartbeats to an earlier leader that is partitioned from the key-value
// store and from the other controllers, but not from the machines. That leader redirects an agent whose
// heartbeat carries the higher token.
//
// Machines marked as unresponsive are probed too, and an answer removes the mark. A silent machine that
// does not answer is replaced sooner.
func (d *dispatcher) probeSilent(now time.Time) {
	d.registry.Each(func(machine *agent.Machine) {
		if d.needsProbe(machine, now) && d.probesInFlight < d.maxInFlight() {
			d.probe(machine, now)
		}
	})
}

// needsProbe reports whether a machine is to be probed now: its heartbeats are overdue or it is
// unresponsive, it can take a direct request, it is neither booting nor retired, and it was not
// probed within probeInterval.
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
			request := agent.CommandRequest{FencingToken: term, Incarnation: status.Incarnation, Commands: []agent.Command{}}
			status, err = agent.Call(ctx, client, wire.MethodPost, agent.CommandsPath, wire.Marshal(request))
		}
		d.loop.submit(probeAnswered{machine, status, err})
	})
}

// probeAnswered is the end of a probe: the status that the agent answered, or the error of the request.
type probeAnswered struct {
	machine *agent.Machine
	status  agent.Heartbeat
	err     error
}

// apply counts an answer of another machine, which has taken over the address, as a failed probe.
func (e probeAnswered) apply(l *Leader) {
	l.dispatcher.probesInFlight--
	e.machine.ProbeFailed = e.err != nil || e.status.Machine != e.machine.Name
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

// dropClient drops the client of a machine that was returned.
func (d *dispatcher) dropClient(machineName string) { delete(d.clients, machineName) }

func (d *dispatcher) trimConnections() {
	for _, client := range d.clients {
		client.Trim(idleConnectionAge)
	}
}
