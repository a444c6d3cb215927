// Reading of the commands that the leader writes for this controller's agents.

package relay

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

const (
	// idlePollInterval is the interval at which an inactive proxy checks whether it has become active.
	idlePollInterval = 500 * time.Millisecond

	// minReadInterval is the minimum time between two reads of commands. One read returns all commands
	// that the leader writes in between.
	minReadInterval = 200 * time.Millisecond

	// watchTimeout is the time that one watch request waits for a change.
	watchTimeout = 5 * time.Second

	// commandPageSize is the page size, in keys, for listing the commands. One page contains them all:
	// the leader writes at most as many keys for one proxy as a transaction carries, which is far
	// fewer.
	commandPageSize = 100
)

// followCommands reads the commands for this controller's agents and dispatches those that have
// changed, while the proxy is active, until ctx ends.
func (p *Proxy) followCommands(ctx context.Context) {
	dispatcher := newDispatcher(p)
	defer dispatcher.wait()
	for ctx.Err() == nil {
		if activation := p.currentActivation(); activation != nil {
			p.followDuring(ctx, activation, dispatcher)
		}
		clock.Sleep(ctx, idlePollInterval)
	}
}

// followDuring reads and dispatches commands until ctx or activation ends. It begins with a list of all
// commands.
//
// Guards against commands that are lost: the proxy drops the commands that it has read when it is no
// longer active. If it continued a watch from before, it would not read them again until the leader
// changes them (docs/incidents/relayed-commands-lost.md).
func (p *Proxy) followDuring(ctx, activation context.Context, dispatcher *dispatcher) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(activation, cancel)()
	var revision uint64 // revision up to which commands have been read; 0: list all
	for readCtx.Err() == nil {
		read, err := p.readCommands(readCtx, revision)
		if err != nil {
			slog.Debug("commands not relayed", "err", err)
		}
		revision = read.revision
		for _, commands := range read.changed {
			dispatcher.tryDispatch(ctx, commands)
		}
		clock.Sleep(readCtx, minReadInterval)
	}
}

// commandRead is the result of reading commands. It is the zero value after an error, so that the next
// read lists all commands again.
type commandRead struct {
	changed  []directCommands
	revision uint64 // revision after which the next read continues; 0: list all
}

// readCommands lists all commands if revision is 0. Otherwise it waits for commands that change after
// revision, at most for watchTimeout.
func (p *Proxy) readCommands(ctx context.Context, revision uint64) (commandRead, error) {
	if revision == 0 {
		return p.listCommands(ctx)
	}
	return p.watchCommands(ctx, revision)
}

func (p *Proxy) listCommands(ctx context.Context) (commandRead, error) {
	page, err := p.Store.List(ctx, downNodePrefix(p.Node), "", commandPageSize, kvstore.PriorityBackground)
	if err != nil {
		return commandRead{}, err
	}
	read := commandRead{revision: page.Revision}
	for _, item := range page.Items {
		changed, err := p.decodeCommands(item.Key, item.Value)
		if err != nil {
			return commandRead{}, err
		}
		read.changed = append(read.changed, changed...)
	}
	return read, nil
}

func (p *Proxy) watchCommands(ctx context.Context, after uint64) (commandRead, error) {
	events, revision, err := p.Store.Watch(ctx, downNodePrefix(p.Node), after, watchTimeout)
	if err != nil {
		return commandRead{}, err
	}
	read := commandRead{revision: max(after, revision)}
	for _, event := range events {
		if event.Put == "" {
			p.dropCommands(event.Delete)
			continue
		}
		changed, err := p.decodeCommands(event.Put, event.Value)
		if err != nil {
			return commandRead{}, err
		}
		read.changed = append(read.changed, changed...)
	}
	return read, nil
}

// dropCommands drops the batch of commands under a key that was deleted.
func (p *Proxy) dropCommands(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.batches, key)
}

// decodeCommands decodes and stores the batch of commands under a key. It returns those commands that
// have changed, if they are of the current term and the agent's address is known.
func (p *Proxy) decodeCommands(key string, value []byte) ([]directCommands, error) {
	var batch CommandBatch
	if err := wire.Unmarshal(value, &batch); err != nil {
		return nil, fmt.Errorf("relay: decode commands of %s: %w", key, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.batches == nil {
		p.batches = map[string]CommandBatch{}
	}
	previous := p.batches[key]
	p.batches[key] = batch
	if batch.Term != p.term {
		return nil, nil
	}
	var changed []directCommands
	for machine, commands := range batch.Machines {
		addr := p.addrs[machine]
		unchanged := previous.Term == batch.Term && slices.EqualFunc(commands.Commands, previous.Machines[machine].Commands, Command.equal)
		if len(commands.Commands) == 0 || addr == "" || unchanged {
			continue
		}
		request := agent.CommandRequest{FencingToken: batch.Term, Incarnation: commands.Incarnation, Commands: p.agentCommands(&commands)}
		if len(request.Commands) == 0 {
			continue
		}
		changed = append(changed, directCommands{machine: machine, addr: addr, request: request})
	}
	return changed, nil
}
