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

	mu      sync.Mutex
	reports map[string]agent.Heartbeat // newest not yet written, by machine
	passed  map[string]passed          // last passed on, by machine
	addrs   map[string]string          // of machines
	leader  string                     // to which they were passed on
	term    uint64
	last    time.Time // when a worker was last answered
	batches map[string]CommandBatch
}

// passed is a report that was passed on, whole or by its changes.
type passed struct {
	report agent.Heartbeat
	at     time.Time
	whole  time.Time // when one of the machine was last passed on whole
}

const (
	writeEvery = 500 * time.Millisecond
	active     = 8 * time.Second // it is over when no worker has come for so long
)

// AnswerHeartbeat takes the report of a worker that cannot reach the leader and returns
// the answer to it under the leader's term.
func (l *Proxy) AnswerHeartbeat(r *agent.Heartbeat, leader string, term uint64) agent.HeartbeatResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != leader {
		l.leader, l.passed = leader, map[string]passed{} // another leader knows none of it
	}
	l.term = term
	l.take(r)
	l.last = time.Now()
	a := agent.HeartbeatResponse{FencingToken: term}
	if o := l.order(r.Machine); o.Incarnation == r.Incarnation {
		a.Commands = o.orders()
	}
	return a
}

// take keeps a report to be passed on, if it is the newest.
func (l *Proxy) take(r *agent.Heartbeat) {
	if l.reports == nil {
		l.reports, l.addrs = map[string]agent.Heartbeat{}, map[string]string{}
	}
	for _, old := range []agent.Heartbeat{l.reports[r.Machine], l.passed[r.Machine].report} {
		if old.Incarnation > r.Incarnation || old.Incarnation == r.Incarnation && old.Sequence >= r.Sequence {
			return
		}
	}
	l.reports[r.Machine], l.addrs[r.Machine] = *r, r.Addr
}

// order returns what the leader wants of a machine under the present term.
func (l *Proxy) order(machine string) MachineCommands {
	for _, b := range l.batches {
		if o, ok := b.Machines[machine]; ok && b.Term == l.term {
			return o
		}
	}
	return MachineCommands{}
}

func (l *Proxy) active() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.last) < active
}

// Run writes reports and reads commands while workers come to it, until ctx
// ends.
func (l *Proxy) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		l.receive(ctx)
	}()
	for clock.Sleep(ctx, writeEvery) {
		if !l.active() {
			l.forget()
			continue
		}
		var ops []kvstore.Mutation
		batches, sent := l.nextBatches(time.Now())
		for i, m := range batches {
			ops = append(ops, kvstore.Mutation{Put: UpPrefix + l.Node + "/" + strconv.Itoa(i), Value: wire.Marshal(m)})
		}
		if len(ops) == 0 {
			continue
		}
		if _, err := l.Store.Txn(ctx, nil, ops, kvstore.PriorityUser); err != nil {
			slog.Debug("reports not relayed", "err", err)
			continue
		}
		l.passedOn(sent)
	}
	wg.Wait()
}

// forget drops what was kept for workers that have gone.
func (l *Proxy) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader, l.reports, l.passed, l.addrs, l.batches = "", nil, nil, nil, nil
}

// wholeAgain is how long a whole report that was passed on may take to arrive.
const wholeAgain = 3 * time.Second

// nextBatches returns what has come and was not yet passed on, as values for the up keys, and
// the reports that it stands for: first that machines are heard, then what is new.
//
// Of a machine passed on before only the changes go: with whole reports, which list all
// tasks that the worker may not yet forget, a zone of 130 machines did not fit (apart of
// kapana-orders-grown: 68 counted as silent), and through one of 600 machines so little
// went that a quarter of the fleet stood idle while 97 jobs waited (loss of
// kapana-orders-fleet).
func (l *Proxy) nextBatches(now time.Time) (out []HeartbeatBatch, sent []passed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	value := UsableBytes(l.ValueBytes) - 200
	left, room := 0, UsableBytes(MaxWrite)
	add := func(size int) *HeartbeatBatch {
		if size > left {
			if len(out) == l.TxnOps || size > min(room, value) {
				return nil
			}
			out = append(out, HeartbeatBatch{Node: l.Node})
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
			sent = append(sent, passed{r, now, l.passed[r.Machine].whole})
		}
		return m != nil
	}
	full := func(r agent.Heartbeat) bool {
		w := whole(&r)
		m := add(len(wire.Marshal(w)))
		if m != nil {
			m.Full = append(m.Full, w)
			sent = append(sent, passed{r, now, now})
		}
		return m != nil
	}
	var news []string
	changes := map[string]HeartbeatDelta{}
	for name, r := range l.reports {
		p, ok := l.passed[name]
		if ok && p.report.Incarnation == r.Incarnation && r.TerminationNoticeS == nil && p.report.TerminationNoticeS == nil &&
			(now.Sub(p.whole) < wholeAgain || !l.order(name).ResendFull) {
			c := difference(&p.report, &r)
			if len(c.Tasks)+len(c.Removed) == 0 && c.FencingToken == p.report.FencingToken {
				change(r, c)
				continue
			}
			changes[name] = c
		}
		news = append(news, name)
	}
	slices.SortFunc(news, func(a, b string) int {
		return cmp.Or(l.passed[a].at.Compare(l.passed[b].at), strings.Compare(a, b))
	})
	for _, name := range news {
		// What finds no room has its turn with the next batches.
		if c, ok := changes[name]; ok {
			change(l.reports[name], c)
		} else {
			full(l.reports[name])
		}
	}
	return out, sent
}

func (l *Proxy) passedOn(sent []passed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.passed == nil {
		return // forgotten meanwhile
	}
	for _, p := range sent {
		name := p.report.Machine
		l.passed[name] = p
		if r := l.reports[name]; r.Incarnation == p.report.Incarnation && r.Sequence == p.report.Sequence {
			delete(l.reports, name)
		}
	}
}

// receive follows the commands for this node's workers.
func (l *Proxy) receive(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxPushes)
	var rev uint64
	for ctx.Err() == nil {
		if !l.active() {
			rev = 0
			if !clock.Sleep(ctx, 500*time.Millisecond) {
				return
			}
			continue
		}
		fresh, err := l.read(ctx, &rev)
		if err != nil {
			slog.Debug("commands not relayed", "err", err)
			rev = 0
		}
		for _, p := range fresh {
			select {
			case slots <- struct{}{}:
			default:
				continue // it gets them in the answer to its next report
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				l.push(ctx, p)
				<-slots
			}()
		}
		clock.Sleep(ctx, 200*time.Millisecond)
	}
}

// read waits for commands and returns those that have changed.
func (l *Proxy) read(ctx context.Context, rev *uint64) ([]push, error) {
	prefix := downPrefix + l.Node + "/"
	var fresh []push
	if *rev == 0 {
		page, err := l.Store.List(ctx, prefix, "", 100, kvstore.PriorityBackground)
		if err != nil {
			return nil, err
		}
		for _, it := range page.Items {
			if fresh, err = l.open(it.Key, it.Value, fresh); err != nil {
				return nil, err
			}
		}
		*rev = page.Revision
		return fresh, nil
	}
	events, at, err := l.Store.Watch(ctx, prefix, *rev, 5*time.Second)
	if err != nil {
		return nil, err
	}
	*rev = max(*rev, at)
	for _, e := range events {
		if e.Put != "" {
			if fresh, err = l.open(e.Put, e.Value, fresh); err != nil {
				return nil, err
			}
		}
	}
	return fresh, nil
}

// open takes a part of the commands and adds what has changed to fresh.
func (l *Proxy) open(key string, value []byte, fresh []push) ([]push, error) {
	var b CommandBatch
	if err := wire.Unmarshal(value, &b); err != nil {
		return nil, fmt.Errorf("relay: commands: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.batches == nil {
		l.batches = map[string]CommandBatch{}
	}
	old := l.batches[key]
	l.batches[key] = b
	if b.Term != l.term {
		return fresh, nil
	}
	for name, o := range b.Machines {
		addr := l.addrs[name]
		if len(o.Commands) == 0 || addr == "" || old.Term == b.Term && slices.EqualFunc(o.Commands, old.Machines[name].Commands, Command.same) {
			continue
		}
		fresh = append(fresh, push{name, addr, agent.CommandRequest{FencingToken: b.Term, Incarnation: o.Incarnation, Commands: o.orders()}})
	}
	return fresh, nil
}

// push is commands for one machine, on their way.
type push struct {
	machine, addr string
	commands      agent.CommandRequest
}

// Bounds of pushing to workers.
const (
	maxPushes   = 40
	pushTimeout = 1500 * time.Millisecond
)

// push sends commands directly, which saves a worker's next report: of a task of 25 s
// the way through the state service and back otherwise takes 7.
func (l *Proxy) push(ctx context.Context, p push) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	c := wire.Client{Dial: l.Dial, Addr: p.addr}
	defer c.CloseIdle()
	r, err := agent.Call(ctx, &c, "POST", "/commands", wire.Marshal(p.commands))
	if err != nil || r.Machine != p.machine {
		slog.Debug("commands not answered", "machine", p.machine, "err", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(&r)
}
