package leader

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/relay"
	"tulipshelf/internal/wire"
)

// relayGateway is the leader's side of the relay: it takes heartbeats that other controllers
// forward through the key-value store, and writes the commands for the machines behind them.
type relayGateway struct {
	*environment
	topology   *topology
	machines   *machineTable
	heartbeats *heartbeatHandler
	relays     map[string]*relayState // by controller
}

// relayState is what the leader holds of one controller that relays.
type relayState struct {
	lastWritten  [][]byte // by part, the last commands written for its machines
	firstPart    int      // part to begin with, so that each has its turn
	writing      bool
	nextWrite    time.Time
	lastReceived time.Time       // its last batch of heartbeats
	resendFull   map[string]bool // machines whose full heartbeats are needed
}

// Times of the relay.
const (
	relayWatchTimeout = 20 * time.Second
	relayWatchRetry   = time.Second
	relayWatchPause   = 200 * time.Millisecond

	// relayCheckInterval is how often it is checked whether commands have changed, and
	// relayWriteInterval the least time between two writes of them.
	relayCheckInterval = 250 * time.Millisecond
	relayWriteInterval = 500 * time.Millisecond
)

// batchOverheadBytes is what a batch of commands takes beside the commands.
const batchOverheadBytes = 200

func newRelayGateway(env *environment, topology *topology, machines *machineTable, heartbeats *heartbeatHandler) *relayGateway {
	return &relayGateway{environment: env, topology: topology, machines: machines, heartbeats: heartbeats, relays: map[string]*relayState{}}
}

// watchHeartbeats follows the batches of heartbeats that other controllers write.
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

// heartbeatsRelayed is batches of heartbeats as they were written to the key-value store.
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

func (g *relayGateway) findOrAdd(node string) *relayState {
	state := g.relays[node]
	if state == nil {
		// As many parts as one write can carry.
		parts := min(g.Settings.Store.TxnOps, max(1, relay.MaxWrite/g.Settings.Store.ValueBytes))
		state = &relayState{lastWritten: make([][]byte, parts), resendFull: map[string]bool{}}
		g.relays[node] = state
	}
	return state
}

// deltaBase returns the heartbeat that a delta is relative to, if this leader has it.
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

func (g *relayGateway) applyHeartbeat(node string, heartbeat *agent.Heartbeat, now time.Time) {
	if heartbeat.FencingToken > g.term.Number() {
		return
	}
	machine := g.heartbeats.apply(heartbeat, now)
	if machine != nil && isNewest(machine, heartbeat) {
		machine.RelayedBy = node
		machine.MarkResponsive() // what goes through the controller reaches it
	}
}

// writeCommands writes the commands for machines that are heard through others, where they have
// changed.
func (g *relayGateway) writeCommands(now time.Time) {
	if len(g.relays) == 0 || !g.term.Valid() {
		return
	}
	for node, state := range g.relays {
		if state.writing || now.Before(state.nextWrite) {
			continue
		}
		if now.Sub(state.lastReceived) > g.Operator.UnhealthyAfter {
			delete(g.relays, node) // the partition is over
			continue
		}
		state.nextWrite = now.Add(relayCheckInterval)
		g.writeParts(node, state, g.commandParts(node, state, now))
	}
}

// commandParts returns the commands for the machines heard through a controller, in as many parts as
// are written; nil: there are no such machines.
func (g *relayGateway) commandParts(node string, state *relayState, now time.Time) []relay.CommandBatch {
	limit := relay.UsableBytes(min(g.Settings.Store.ValueBytes, relay.MaxWrite)) - batchOverheadBytes
	parts := newCommandParts(len(state.lastWritten), g.term.Number(), limit)
	anyRelayed := false
	g.machines.registry.Each(func(machine *agent.Machine) {
		if machine.RelayedBy != node || now.Sub(machine.LastHeartbeat) > g.Operator.UnhealthyAfter {
			return
		}
		anyRelayed = true
		commands := relay.MachineCommands{
			Incarnation: machine.Incarnation,
			Commands:    relay.CompactCommands(g.heartbeats.commands.forRelayedMachine(machine, now)),
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

// commandParts is batches of commands of a bounded size each.
type commandParts struct {
	batches   []relay.CommandBatch
	bytesLeft []int
}

func newCommandParts(count int, term uint64, limitBytes int) commandParts {
	parts := commandParts{make([]relay.CommandBatch, count), make([]int, count)}
	for i := range parts.batches {
		parts.batches[i] = relay.CommandBatch{Term: term, Machines: map[string]relay.MachineCommands{}}
		parts.bytesLeft[i] = limitBytes
	}
	return parts
}

// add puts a machine's commands into a part, if it has room; otherwise their turn comes once other
// machines were served.
func (p commandParts) add(part int, machineName string, commands relay.MachineCommands) {
	const keyOverheadBytes = 2
	size := len(machineName) + len(wire.Marshal(commands)) + keyOverheadBytes
	if size <= p.bytesLeft[part] {
		p.bytesLeft[part] -= size
		p.batches[part].Machines[machineName] = commands
	}
}

// writeParts writes the parts that have changed, as many as one write can carry.
func (g *relayGateway) writeParts(node string, state *relayState, parts []relay.CommandBatch) {
	var mutations []kvstore.Mutation
	values := map[int][]byte{}
	size := 0
	for i := range parts {
		part := (state.firstPart + i) % len(parts)
		value := wire.Marshal(parts[part])
		emptyAndUnwritten := len(parts[part].Machines) == 0 && state.lastWritten[part] == nil
		if bytes.Equal(value, state.lastWritten[part]) || emptyAndUnwritten {
			continue
		}
		size += len(value)
		if size > relay.UsableBytes(relay.MaxWrite) && len(mutations) > 0 {
			state.firstPart = part
			break
		}
		values[part] = value
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

// commandsRelayed is the answer to a write of commands, or the lack of one.
type commandsRelayed struct {
	node   string
	state  *relayState
	values map[int][]byte // by part
	err    error
}

func (e commandsRelayed) apply(*Leader) {
	e.state.writing = false
	if e.err != nil {
		slog.Debug("commands not relayed", "through", e.node, "err", e.err)
		return
	}
	for part, value := range e.values {
		e.state.lastWritten[part] = value
	}
}
