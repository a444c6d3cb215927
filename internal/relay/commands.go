// Following the commands that the leader writes for this controller's agents.

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
	// idlePollInterval is how often a proxy without agents looks whether any have come.
	idlePollInterval = 500 * time.Millisecond

	// minReadInterval is the least time between two reads of commands: what the leader writes in
	// between comes with one.
	minReadInterval = 200 * time.Millisecond

	// watchTimeout is how long one watch request waits for a change: it bounds for how long a proxy
	// whose agents have gone holds a connection to the store.
	watchTimeout = 5 * time.Second

	// commandPageSize is the size of the page in which the commands are listed. The leader writes as
	// many keys for one proxy as a transaction carries, which is far fewer, so one page has all.
	commandPageSize = 100
)

// followCommands reads the commands for this controller's agents and sends the agents those that
// have changed, while agents come, until ctx ends.
func (p *Proxy) followCommands(ctx context.Context) {
	dispatcher := newDispatcher(p)
	defer dispatcher.wait()
	var revision uint64 // up to which commands were read; 0: all are to be listed
	for ctx.Err() == nil {
		if !p.active() {
			revision = 0
			if !clock.Sleep(ctx, idlePollInterval) {
				return
			}
			continue
		}
		read, err := p.readCommands(ctx, revision)
		if err != nil {
			slog.Debug("commands not relayed", "err", err)
		}
		revision = read.revision
		for _, commands := range read.changed {
			dispatcher.tryDispatch(ctx, commands)
		}
		clock.Sleep(ctx, minReadInterval)
	}
}

// commandRead is the result of reading commands: the zero value after an error, so that all are
// listed again.
type commandRead struct {
	changed  []directCommands
	revision uint64 // from which to go on
}

// readCommands lists all commands if revision is 0, and waits for those that change after it
// otherwise.
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
			continue // a key that was deleted
		}
		changed, err := p.decodeCommands(event.Put, event.Value)
		if err != nil {
			return commandRead{}, err
		}
		read.changed = append(read.changed, changed...)
	}
	return read, nil
}

// decodeCommands keeps the commands under a key, and returns those of the present term that have
// changed and whose agents' addresses are known.
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
		request := agent.CommandRequest{FencingToken: batch.Term, Incarnation: commands.Incarnation, Commands: commands.agentCommands()}
		changed = append(changed, directCommands{machine: machine, addr: addr, request: request})
	}
	return changed, nil
}
