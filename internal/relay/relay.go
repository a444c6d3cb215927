// Package relay carries reports of workers that cannot reach the leader, and
// the leader's commands to them, through the state service, which reaches every
// zone. A node on the workers' side is the proxy: it writes their newest
// reports under up/NODE and hands out what the leader writes under down/NODE.
//
// Nothing new is needed for safety. Reports are told apart by session and tick
// however late they come. Commands are only handed out under the token they were
// written for, in the session they were written for, in answers to reports,
// which act within seconds or never; repeats of them have no effect.
package relay

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Proxy is the side of the controller that stands in for the leader.
type Proxy struct {
	Node       string
	Store      *kvstore.Client
	Dial       wire.DialFunc // to workers
	ValueBytes int
	TxnOps     int

	mu           sync.Mutex
	pending      map[string]agent.Heartbeat    // newest not yet written, by machine
	forwarded    map[string]forwardedHeartbeat // last passed on, by machine
	addrs        map[string]string             // of machines
	leader       string                        // to which they were passed on
	term         uint64
	lastAnswered time.Time // when a worker was last answered
	batches      map[string]CommandBatch
}

// forwardedHeartbeat is a report that was passed on, whole or by its changes.
type forwardedHeartbeat struct {
	heartbeat agent.Heartbeat
	at        time.Time
	fullAt    time.Time // when one of the machine was last passed on whole
}

const (
	writeInterval = 500 * time.Millisecond
	idleAfter     = 8 * time.Second // it is over when no worker has come for so long
)

// AnswerHeartbeat takes the report of a worker that cannot reach the leader and returns
// the answer to it under the leader's term.
func (p *Proxy) AnswerHeartbeat(r *agent.Heartbeat, leader string, term uint64) agent.HeartbeatResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leader != leader {
		p.leader, p.forwarded = leader, map[string]forwardedHeartbeat{} // another leader knows none of it
	}
	p.term = term
	p.accept(r)
	p.lastAnswered = time.Now()
	a := agent.HeartbeatResponse{FencingToken: term}
	if o := p.commandsFor(r.Machine); o.Incarnation == r.Incarnation {
		a.Commands = o.agentCommands()
	}
	return a
}

// accept keeps a report to be passed on, if it is the newest.
func (p *Proxy) accept(r *agent.Heartbeat) {
	if p.pending == nil {
		p.pending, p.addrs = map[string]agent.Heartbeat{}, map[string]string{}
	}
	for _, old := range []agent.Heartbeat{p.pending[r.Machine], p.forwarded[r.Machine].heartbeat} {
		if old.Incarnation > r.Incarnation || old.Incarnation == r.Incarnation && old.Sequence >= r.Sequence {
			return
		}
	}
	p.pending[r.Machine], p.addrs[r.Machine] = *r, r.Addr
}

// commandsFor returns what the leader wants of a machine under the present term.
func (p *Proxy) commandsFor(machine string) MachineCommands {
	for _, b := range p.batches {
		if o, ok := b.Machines[machine]; ok && b.Term == p.term {
			return o
		}
	}
	return MachineCommands{}
}

func (p *Proxy) active() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastAnswered) < idleAfter
}

// Run writes reports and reads commands while workers come to it, until ctx
// ends.
func (p *Proxy) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		p.followCommands(ctx)
	}()
	for clock.Sleep(ctx, writeInterval) {
		if !p.active() {
			p.forget()
			continue
		}
		var ops []kvstore.Mutation
		batches, sent := p.nextBatches(time.Now())
		for i, m := range batches {
			ops = append(ops, kvstore.Mutation{Put: UpPrefix + p.Node + "/" + strconv.Itoa(i), Value: wire.Marshal(m)})
		}
		if len(ops) == 0 {
			continue
		}
		if _, err := p.Store.Txn(ctx, nil, ops, kvstore.PriorityUser); err != nil {
			slog.Debug("reports not relayed", "err", err)
			continue
		}
		p.markForwarded(sent)
	}
	wg.Wait()
}

// forget drops what was kept for workers that have gone.
func (p *Proxy) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader, p.pending, p.forwarded, p.addrs, p.batches = "", nil, nil, nil, nil
}

// resendAfter is how long a whole report that was passed on may take to arrive.
const resendAfter = 3 * time.Second

// nextBatches returns what has come and was not yet passed on, as values for the up keys, and
// the reports that it stands for: first that machines are heard, then what is new.
//
// Of a machine passed on before only the changes go: with whole reports, which list all
// tasks that the worker may not yet forget, a zone of 130 machines did not fit (apart of
// kapana-orders-grown: 68 counted as silent), and through one of 600 machines so little
// went that a quarter of the fleet stood idle while 97 jobs waited (loss of
// kapana-orders-fleet).
func (p *Proxy) nextBatches(now time.Time) (out []HeartbeatBatch, sent []forwardedHeartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	value := UsableBytes(p.ValueBytes) - 200
	left, room := 0, UsableBytes(MaxWrite)
	add := func(size int) *HeartbeatBatch {
		if size > left {
			if len(out) == p.TxnOps || size > min(room, value) {
				return nil
			}
			out = append(out, HeartbeatBatch{Node: p.Node})
			left = min(room, value)
		}
		left -= size
		room -= size
		return &out[len(out)-1]
	}
	change := func(r agent.Heartbeat, c HeartbeatDelta) bool {
		m := add(len(wire.Marshal(c)))
		if m != nil {
			m.Deltas = append(m.Deltas, c)
			sent = append(sent, forwardedHeartbeat{r, now, p.forwarded[r.Machine].fullAt})
		}
		return m != nil
	}
	full := func(r agent.Heartbeat) bool {
		w := newFullHeartbeat(&r)
		m := add(len(wire.Marshal(w)))
		if m != nil {
			m.Full = append(m.Full, w)
			sent = append(sent, forwardedHeartbeat{r, now, now})
		}
		return m != nil
	}
	var news []string
	changes := map[string]HeartbeatDelta{}
	for name, r := range p.pending {
		last, ok := p.forwarded[name]
		if ok && last.heartbeat.Incarnation == r.Incarnation && r.TerminationNoticeS == nil && last.heartbeat.TerminationNoticeS == nil &&
			(now.Sub(last.fullAt) < resendAfter || !p.commandsFor(name).ResendFull) {
			c := newDelta(&last.heartbeat, &r)
			if len(c.Tasks)+len(c.Removed) == 0 && c.FencingToken == last.heartbeat.FencingToken {
				change(r, c)
				continue
			}
			changes[name] = c
		}
		news = append(news, name)
	}
	slices.SortFunc(news, func(a, b string) int {
		return cmp.Or(p.forwarded[a].at.Compare(p.forwarded[b].at), strings.Compare(a, b))
	})
	for _, name := range news {
		// What finds no room has its turn with the next batches.
		if c, ok := changes[name]; ok {
			change(p.pending[name], c)
		} else {
			full(p.pending[name])
		}
	}
	return out, sent
}

func (p *Proxy) markForwarded(sent []forwardedHeartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forwarded == nil {
		return // forgotten meanwhile
	}
	for _, one := range sent {
		name := one.heartbeat.Machine
		p.forwarded[name] = one
		if r := p.pending[name]; r.Incarnation == one.heartbeat.Incarnation && r.Sequence == one.heartbeat.Sequence {
			delete(p.pending, name)
		}
	}
}

// followCommands follows the commands for this node's workers.
func (p *Proxy) followCommands(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxDispatches)
	var rev uint64
	for ctx.Err() == nil {
		if !p.active() {
			rev = 0
			if !clock.Sleep(ctx, 500*time.Millisecond) {
				return
			}
			continue
		}
		fresh, err := p.readCommands(ctx, &rev)
		if err != nil {
			slog.Debug("commands not relayed", "err", err)
			rev = 0
		}
		for _, one := range fresh {
			select {
			case slots <- struct{}{}:
			default:
				continue // it gets them in the answer to its next report
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				p.dispatch(ctx, one)
				<-slots
			}()
		}
		clock.Sleep(ctx, 200*time.Millisecond)
	}
}

// readCommands waits for commands and returns those that have changed.
func (p *Proxy) readCommands(ctx context.Context, rev *uint64) ([]directCommands, error) {
	prefix := downPrefix + p.Node + "/"
	var fresh []directCommands
	if *rev == 0 {
		page, err := p.Store.List(ctx, prefix, "", 100, kvstore.PriorityBackground)
		if err != nil {
			return nil, err
		}
		for _, it := range page.Items {
			if fresh, err = p.decodeCommands(it.Key, it.Value, fresh); err != nil {
				return nil, err
			}
		}
		*rev = page.Revision
		return fresh, nil
	}
	events, at, err := p.Store.Watch(ctx, prefix, *rev, 5*time.Second)
	if err != nil {
		return nil, err
	}
	*rev = max(*rev, at)
	for _, e := range events {
		if e.Put != "" {
			if fresh, err = p.decodeCommands(e.Put, e.Value, fresh); err != nil {
				return nil, err
			}
		}
	}
	return fresh, nil
}

// decodeCommands takes a part of the commands and adds what has changed to fresh.
func (p *Proxy) decodeCommands(key string, value []byte, fresh []directCommands) ([]directCommands, error) {
	var b CommandBatch
	if err := wire.Unmarshal(value, &b); err != nil {
		return nil, fmt.Errorf("relay: commands: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.batches == nil {
		p.batches = map[string]CommandBatch{}
	}
	old := p.batches[key]
	p.batches[key] = b
	if b.Term != p.term {
		return fresh, nil
	}
	for name, o := range b.Machines {
		addr := p.addrs[name]
		if len(o.Commands) == 0 || addr == "" || old.Term == b.Term && slices.EqualFunc(o.Commands, old.Machines[name].Commands, Command.equal) {
			continue
		}
		fresh = append(fresh, directCommands{name, addr, agent.CommandRequest{FencingToken: b.Term, Incarnation: o.Incarnation, Commands: o.agentCommands()}})
	}
	return fresh, nil
}

// directCommands is commands for one machine, on their way.
type directCommands struct {
	machine, addr string
	commands      agent.CommandRequest
}

// Bounds of pushing to workers.
const (
	maxDispatches   = 40
	dispatchTimeout = 1500 * time.Millisecond
)

// dispatch sends commands directly, which saves a worker's next report: of a task of 25 s
// the way through the state service and back otherwise takes 7.
func (p *Proxy) dispatch(ctx context.Context, one directCommands) {
	ctx, cancel := context.WithTimeout(ctx, dispatchTimeout)
	defer cancel()
	c := wire.Client{Dial: p.Dial, Addr: one.addr}
	defer c.CloseIdle()
	r, err := agent.Call(ctx, &c, "POST", "/commands", wire.Marshal(one.commands))
	if err != nil || r.Machine != one.machine {
		slog.Debug("commands not answered", "machine", one.machine, "err", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accept(&r)
}
