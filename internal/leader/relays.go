package leader

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/job"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/relay"
	"tulipshelf/internal/wire"
)

// relayGateway is the leader's side of the relay: it applies heartbeats that other controllers forward
// through the key-value store, and writes the commands for the machines that sent them.
type relayGateway struct {
	*environment
	topology   *topology
	machines   *machineTable
	heartbeats *heartbeatHandler
	relays     map[string]*relayState // by name of the controller that relays
}

// relayState is the leader's state of one controller that relays. The commands for its machines are
// divided into parts, each written under a key of its own.
type relayState struct {
	lastWritten  [][]byte  // by part, the encoded commands last written; nil: none
	firstPart    int       // part with which the next write begins, so that each has its turn
	writing      bool      // a write of commands is in flight
	nextWrite    time.Time // earliest time of the next check for changed commands
	writeLimit   relay.WriteLimit
	lastReceived time.Time       // when its last batch of heartbeats was applied
	resendFull   map[string]bool // names of machines whose next heartbeat must be forwarded in full
}

// Times of the relay.
const (
	relayWatchTimeout = 20 * time.Second       // wait of one watch request for heartbeats
	relayWatchRetry   = time.Second            // delay after a failed request
	relayWatchPause   = 200 * time.Millisecond // delay between two watch requests

	// relayCheckInterval is the minimum time between two checks of whether a controller's commands have
	// changed, and relayWriteInterval the minimum time between two writes of them.
	relayCheckInterval = 250 * time.Millisecond
	relayWriteInterval = 500 * time.Millisecond
)

func newRelayGateway(env *environment, topology *topology, machines *machineTable, heartbeats *heartbeatHandler) *relayGateway {
	return &relayGateway{environment: env, topology: topology, machines: machines, heartbeats: heartbeats, relays: map[string]*relayState{}}
}

// watchHeartbeats watches the batches of heartbeats that other controllers write, until ctx ends. The
// watch begins at the store's current revision, so batches written earlier are skipped. If the store
// cannot return the changes since the last revision (kvstore.ErrCompacted), the watch begins again at
// the revision that is current then, and the batches in between are skipped.
func (g *relayGateway) watchHeartbeats(ctx context.Context) {
	var revision uint64
	for ctx.Err() == nil {
		if revision == 0 {
			page, err := g.Store.List(ctx, relay.UpPrefix, "", 1, kvstore.PriorityBackground)
			if err != nil {
				clock.Sleep(ctx, relayWatchRetry)
				continue
			}
			revision = page.Revision
		}
		changes, reached, err := g.Store.Watch(ctx, relay.UpPrefix, revision, relayWatchTimeout)
		if errors.Is(err, kvstore.ErrCompacted) {
			revision = 0
		}
		if err != nil {
			clock.Sleep(ctx, relayWatchRetry)
			continue
		}
		revision = max(revision, reached)
		g.loop.submit(heartbeatsRelayed{changes})
		clock.Sleep(ctx, relayWatchPause)
	}
}

// heartbeatsRelayed carries changes of the keys under which other controllers write batches of
// heartbeats.
type heartbeatsRelayed struct{ changes []kvstore.Event }

func (e heartbeatsRelayed) apply(l *Leader) {
	for i := range e.changes {
		var batch relay.HeartbeatBatch
		if err := wire.Unmarshal(e.changes[i].Value, &batch); err != nil {
			slog.Error("relayed heartbeats unreadable", "err", err)
			continue
		}
		l.relays.applyBatch(&batch, time.Now())
	}
}

// applyBatch applies one controller's batch of heartbeats. A delta whose base this leader does not have
// is dropped, and the machine's heartbeat requested in full.
func (g *relayGateway) applyBatch(batch *relay.HeartbeatBatch, now time.Time) {
	state := g.findOrAdd(batch.Node)
	state.lastReceived = now
	for i := range batch.Full {
		heartbeat := batch.Full[i].Heartbeat()
		g.applyHeartbeat(batch.Node, &heartbeat, now)
		delete(state.resendFull, heartbeat.Machine)
	}
	for i := range batch.Deltas {
		delta := &batch.Deltas[i]
		if g.machines.registry.WasReturned(delta.Machine) {
			continue
		}
		base, known := g.deltaBase(delta)
		if !known {
			state.resendFull[delta.Machine] = true
			continue
		}
		heartbeat := delta.Apply(base)
		g.applyHeartbeat(batch.Node, &heartbeat, now)
	}
}

// findOrAdd returns the state of the named controller, and adds it if there is none.
func (g *relayGateway) findOrAdd(node string) *relayState {
	state := g.relays[node]
	if state == nil {
		// As many parts of the maximum size as one transaction can carry, and at least one.
		parts := min(g.Settings.Store.TxnOps, max(1, relay.MaxWriteBytes/g.Settings.Store.ValueBytes))
		state = &relayState{lastWritten: make([][]byte, parts), resendFull: map[string]bool{}}
		g.relays[node] = state
	}
	return state
}

// deltaBase returns the heartbeat that a delta is relative to. It returns false if that is not the last
// one applied for the machine, or the machine's type or zone is unknown.
func (g *relayGateway) deltaBase(delta *relay.HeartbeatDelta) (base agent.Heartbeat, known bool) {
	machine := g.machines.registry.Machine(delta.Machine)
	if machine == nil || machine.Type == unknownIndex || machine.Zone == unknownIndex {
		return agent.Heartbeat{}, false
	}
	if machine.Incarnation != delta.Incarnation || machine.Sequence != delta.BaseSequence {
		return agent.Heartbeat{}, false
	}
	base = machine.LatestHeartbeat()
	base.Type, base.Zone = g.topology.types[machine.Type].Name, g.topology.zones[machine.Zone]
	return base, true
}

// applyHeartbeat applies a heartbeat that a controller has forwarded. It ignores one with a token above
// the leader's own.
func (g *relayGateway) applyHeartbeat(node string, heartbeat *agent.Heartbeat, now time.Time) {
	if heartbeat.FencingToken > g.term.Number() {
		return
	}
	machine := g.heartbeats.apply(heartbeat, now)
	if machine != nil && isNewest(machine, heartbeat) {
		machine.RelayedBy = node
		machine.MarkResponsive() // commands reach it through that controller
	}
}

// writeCommands writes the commands for machines whose heartbeats are relayed, where they have changed.
// It removes the state of controllers that have relayed nothing for the operator's UnhealthyAfter.
func (g *relayGateway) writeCommands(now time.Time) {
	if len(g.relays) == 0 || !g.term.Valid() {
		return
	}
	for node, state := range g.relays {
		if state.writing || now.Before(state.nextWrite) {
			continue
		}
		if now.Sub(state.lastReceived) > g.Operator.UnhealthyAfter {
			delete(g.relays, node) // the controller no longer relays, as after the end of a partition
			continue
		}
		state.nextWrite = now.Add(relayCheckInterval)
		g.writeParts(node, state, g.commandParts(node, state, now))
	}
}

// commandParts returns the commands for the machines whose heartbeats a controller relays, divided into
// the parts of the controller's state. It returns nil if there are neither such machines nor requests
// for full heartbeats.
func (g *relayGateway) commandParts(node string, state *relayState, now time.Time) []relay.CommandBatch {
	limit := min(g.Settings.Store.ValueBytes, state.writeLimit.Bytes()) - relay.BatchOverhead
	term := g.term.Number()
	parts := newCommandParts(len(state.lastWritten), term, limit)
	anyRelayed := false
	g.machines.registry.Each(func(machine *agent.Machine) {
		if machine.RelayedBy != node || now.Sub(machine.LastHeartbeat) > g.Operator.UnhealthyAfter {
			return
		}
		anyRelayed = true
		commands := relay.MachineCommands{
			Incarnation: machine.Incarnation,
			Commands:    relay.CompactCommands(relayedCommands(machine, term)),
			ResendFull:  state.resendFull[machine.Name],
		}
		if len(commands.Commands) > 0 || commands.ResendFull {
			parts.add(machine.Index%len(parts.batches), machine.Name, commands)
		}
	})
	for name := range state.resendFull {
		if machine := g.machines.registry.Machine(name); machine == nil || machine.RelayedBy != node {
			anyRelayed = true
			parts.add(0, name, relay.MachineCommands{ResendFull: true})
		}
	}
	if !anyRelayed {
		return nil
	}
	return parts.batches
}

// commandParts is the commands for one controller's machines, divided into batches of bounded size.
type commandParts struct {
	batches   []relay.CommandBatch // by part
	bytesLeft []int                // by part, the size that commands may still take, in bytes of JSON
}

func newCommandParts(count int, term uint64, limitBytes int) commandParts {
	parts := commandParts{make([]relay.CommandBatch, count), make([]int, count)}
	for i := range parts.batches {
		parts.batches[i] = relay.CommandBatch{Term: term, Machines: map[string]relay.MachineCommands{}}
		parts.bytesLeft[i] = limitBytes
	}
	return parts
}

// add adds a machine's commands to a part if they fit. Otherwise they are left out until the commands of
// other machines have been carried out.
func (p commandParts) add(part int, machineName string, commands relay.MachineCommands) {
	size := len(`"":,`) + len(machineName) + wire.JSONSize(wire.Marshal(commands))
	if size <= p.bytesLeft[part] {
		p.bytesLeft[part] -= size
		p.batches[part].Machines[machineName] = commands
	}
}

// writeParts starts a write of the parts that have changed, as many as fit into one transaction and the
// write rate allows now, and at least one. The next call begins with the first part that did not fit.
func (g *relayGateway) writeParts(node string, state *relayState, parts []relay.CommandBatch) {
	var mutations []kvstore.Mutation
	values := map[int][]byte{}
	size, maxParts := 0, g.Store.WriteBudget(kvstore.PriorityUser)
	for i := range parts {
		part := (state.firstPart + i) % len(parts)
		value := wire.Marshal(parts[part])
		emptyAndUnwritten := len(parts[part].Machines) == 0 && state.lastWritten[part] == nil
		if bytes.Equal(value, state.lastWritten[part]) || emptyAndUnwritten {
			continue
		}
		size += wire.JSONSize(value) + relay.BatchOverhead
		full := size > state.writeLimit.Bytes() || len(mutations) >= maxParts
		if full && len(mutations) > 0 {
			state.firstPart = part
			break
		}
		values[part] = value
		g.markSent(&parts[part], time.Now())
		mutations = append(mutations, kvstore.Mutation{Put: relay.DownKey(node, part), Value: value})
	}
	if len(mutations) == 0 {
		return
	}
	state.writing, state.nextWrite = true, time.Now().Add(relayWriteInterval)
	fence := g.term.Fence()
	g.loop.start(func() {
		_, err := g.Store.Txn(g.loop.ctx, []kvstore.Compare{fence}, mutations, kvstore.PriorityUser)
		g.loop.submit(commandsRelayed{node: node, state: state, values: values, err: err})
	})
}

// markSent marks the starts in a batch that is about to be written as sent.
//
// Guards against starts that count as sent although they were left out: their attempts could be ended only
// by proof that they are gone, and machines that did not list them would count as unresponsive
// (docs/incidents/relayed-starts-left-out.md).
func (g *relayGateway) markSent(batch *relay.CommandBatch, now time.Time) {
	for name, commands := range batch.Machines {
		machine := g.machines.registry.Machine(name)
		if machine == nil {
			continue
		}
		for _, command := range commands.Commands {
			if command.Verb == agent.VerbRun {
				machine.MarkStartSent(job.AttemptID{Task: command.Task, Number: command.Attempt}, now)
			}
		}
	}
}

// commandsRelayed reports the outcome of a write of commands.
type commandsRelayed struct {
	node   string
	state  *relayState
	values map[int][]byte // by part, the encoded commands written
	err    error
}

func (e commandsRelayed) apply(*Leader) {
	e.state.writing = false
	e.state.writeLimit.Observe(e.err)
	if e.err != nil {
		slog.Debug("commands not relayed", "through", e.node, "err", e.err)
		return
	}
	for part, value := range e.values {
		e.state.lastWritten[part] = value
	}
}
