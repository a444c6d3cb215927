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

	"tulipshelf/internal/fleet"
	"tulipshelf/internal/pause"
	"tulipshelf/internal/statestore"
	"tulipshelf/internal/wire"
)

// UpPrefix is where reports are written; the leader watches it.
const (
	UpPrefix   = "relay/up/"
	downPrefix = "relay/down/"
)

// DownKey returns the key of one part of the commands for a node's workers.
func DownKey(node string, part int) string { return downPrefix + node + "/" + strconv.Itoa(part) }

// ReportBatch is the value under an up key.
type ReportBatch struct {
	Node    string         `cbor:"node"`
	Reports []FullReport   `cbor:"reports"`
	Changes []ReportChange `cbor:"changes"`
}

// FullReport is a report in short.
type FullReport struct {
	_                         struct{} `cbor:",toarray"`
	Machine, Addr, Type, Zone string
	Spot                      bool
	Session, Tick, Token      uint64
	RecallS                   *float64
	Tasks                     []Task
}

// Report returns the report that w stands for.
func (w *FullReport) Report() fleet.Report {
	return fleet.Report{Machine: w.Machine, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot,
		Session: w.Session, Tick: w.Tick, Token: w.Token, RecallS: w.RecallS, Tasks: appendTasks(nil, w.Tasks)}
}

func whole(r *fleet.Report) FullReport {
	w := FullReport{Machine: r.Machine, Addr: r.Addr, Type: r.Type, Zone: r.Zone, Spot: r.Spot,
		Session: r.Session, Tick: r.Tick, Token: r.Token, RecallS: r.RecallS}
	for _, t := range r.Tasks {
		w.Tasks = append(w.Tasks, brief(t))
	}
	return w
}

func brief(t fleet.TaskReport) Task {
	return Task{Task: t.Task, Try: t.Try, Status: t.Status, Cause: t.Cause}
}

func appendTasks(out []fleet.TaskReport, tasks []Task) []fleet.TaskReport {
	for _, t := range tasks {
		out = append(out, fleet.TaskReport{Task: t.Task, Try: t.Try, Status: t.Status, Cause: t.Cause})
	}
	return out
}

// ReportChange stands for a report by what differs from the one of the machine that was
// passed on before.
type ReportChange struct {
	_       struct{} `cbor:",toarray"`
	Machine string
	Session uint64
	Before  uint64 // tick of the report passed on before
	Tick    uint64
	Token   uint64
	Tasks   []Task // new or changed
	Gone    []Task // no longer listed
}

// Task is a task of a report, in short.
type Task struct {
	_      struct{} `cbor:",toarray"`
	Task   string
	Try    uint64
	Status string
	Cause  string
}

// Apply returns the report that a change stands for, given the one before it.
func (c *ReportChange) Apply(before fleet.Report) fleet.Report {
	r := before
	r.Tick, r.Token, r.Tasks = c.Tick, c.Token, nil
	out := map[attempt]bool{}
	for _, t := range slices.Concat(c.Tasks, c.Gone) {
		out[attempt{t.Task, t.Try}] = true
	}
	for _, t := range before.Tasks {
		if !out[attempt{t.Task, t.Try}] {
			r.Tasks = append(r.Tasks, t)
		}
	}
	r.Tasks = appendTasks(r.Tasks, c.Tasks)
	return r
}

type attempt struct {
	task string
	try  uint64
}

// difference returns what makes b of a, reports of one session.
func difference(a, b *fleet.Report) ReportChange {
	c := ReportChange{Machine: b.Machine, Session: b.Session, Before: a.Tick, Tick: b.Tick, Token: b.Token}
	had := make(map[attempt]fleet.TaskReport, len(a.Tasks))
	for _, t := range a.Tasks {
		had[attempt{t.Task, t.Try}] = t
	}
	for _, t := range b.Tasks {
		k := attempt{t.Task, t.Try}
		if old, ok := had[k]; !ok || old != t {
			c.Tasks = append(c.Tasks, brief(t))
		}
		delete(had, k)
	}
	for _, t := range a.Tasks {
		if _, ok := had[attempt{t.Task, t.Try}]; ok {
			c.Gone = append(c.Gone, Task{Task: t.Task, Try: t.Try})
		}
	}
	return c
}

// CommandBatch is the value under a down key.
type CommandBatch struct {
	Term     uint64           `cbor:"term"`
	Machines map[string]Order `cbor:"machines"`
}

// Order is what one machine is to do in one of its sessions.
type Order struct {
	_        struct{} `cbor:",toarray"`
	Session  uint64
	Commands []Command
	Whole    bool // its report is wanted whole
}

// Command is a command in short.
type Command struct {
	_        struct{} `cbor:",toarray"`
	Verb     string
	Task     string
	Try      uint64
	WindDown *float64
}

// Brief returns commands in short.
func Brief(orders []fleet.Order) (out []Command) {
	for _, o := range orders {
		out = append(out, Command{Verb: o.Verb, Task: o.Task, Try: o.Try, WindDown: o.WindDown})
	}
	return out
}

func (c Command) same(other Command) bool {
	return c.Verb == other.Verb && c.Task == other.Task && c.Try == other.Try
}

func (o *Order) orders() (out []fleet.Order) {
	for _, c := range o.Commands {
		out = append(out, fleet.Order{Verb: c.Verb, Task: c.Task, Try: c.Try, WindDown: c.WindDown})
	}
	return out
}

// Proxy is the side of the controller that stands in for the leader.
type Proxy struct {
	Node       string
	Store      *statestore.Client
	Dial       wire.DialFunc // to workers
	ValueBytes int
	TxnOps     int

	mu      sync.Mutex
	reports map[string]fleet.Report // newest not yet written, by machine
	passed  map[string]passed       // last passed on, by machine
	addrs   map[string]string       // of machines
	leader  string                  // to which they were passed on
	term    uint64
	last    time.Time // when a worker was last answered
	batches map[string]CommandBatch
}

// passed is a report that was passed on, whole or by its changes.
type passed struct {
	report fleet.Report
	at     time.Time
	whole  time.Time // when one of the machine was last passed on whole
}

const (
	writeEvery = 500 * time.Millisecond
	active     = 8 * time.Second // it is over when no worker has come for so long
)

// Answer takes the report of a worker that cannot reach the leader and returns
// the answer to it under the leader's term.
func (l *Proxy) Answer(r *fleet.Report, leader string, term uint64) fleet.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leader != leader {
		l.leader, l.passed = leader, map[string]passed{} // another leader knows none of it
	}
	l.term = term
	l.take(r)
	l.last = time.Now()
	a := fleet.Answer{Token: term}
	if o := l.order(r.Machine); o.Session == r.Session {
		a.Orders = o.orders()
	}
	return a
}

// take keeps a report to be passed on, if it is the newest.
func (l *Proxy) take(r *fleet.Report) {
	if l.reports == nil {
		l.reports, l.addrs = map[string]fleet.Report{}, map[string]string{}
	}
	for _, old := range []fleet.Report{l.reports[r.Machine], l.passed[r.Machine].report} {
		if old.Session > r.Session || old.Session == r.Session && old.Tick >= r.Tick {
			return
		}
	}
	l.reports[r.Machine], l.addrs[r.Machine] = *r, r.Addr
}

// order returns what the leader wants of a machine under the present term.
func (l *Proxy) order(machine string) Order {
	for _, b := range l.batches {
		if o, ok := b.Machines[machine]; ok && b.Term == l.term {
			return o
		}
	}
	return Order{}
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
	for pause.For(ctx, writeEvery) {
		if !l.active() {
			l.forget()
			continue
		}
		var ops []statestore.Op
		batches, sent := l.nextBatches(time.Now())
		for i, m := range batches {
			ops = append(ops, statestore.Op{Put: UpPrefix + l.Node + "/" + strconv.Itoa(i), Value: wire.Marshal(m)})
		}
		if len(ops) == 0 {
			continue
		}
		if _, err := l.Store.Txn(ctx, nil, ops, statestore.User); err != nil {
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

// Fill returns how much of a limit to fill: the state service counts by the JSON form,
// which is longer than what is written here.
func Fill(limit int) int { return limit * 6 / 10 }

// MaxWrite is how much one transaction may carry: the state service's limit is 64 KiB.
const MaxWrite = 48 << 10

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
func (l *Proxy) nextBatches(now time.Time) (out []ReportBatch, sent []passed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	value := Fill(l.ValueBytes) - 200
	left, room := 0, Fill(MaxWrite)
	add := func(size int) *ReportBatch {
		if size > left {
			if len(out) == l.TxnOps || size > min(room, value) {
				return nil
			}
			out = append(out, ReportBatch{Node: l.Node})
			left = min(room, value)
		}
		left -= size
		room -= size
		return &out[len(out)-1]
	}
	change := func(r fleet.Report, c ReportChange) bool {
		m := add(len(wire.Marshal(c)))
		if m != nil {
			m.Changes = append(m.Changes, c)
			sent = append(sent, passed{r, now, l.passed[r.Machine].whole})
		}
		return m != nil
	}
	full := func(r fleet.Report) bool {
		w := whole(&r)
		m := add(len(wire.Marshal(w)))
		if m != nil {
			m.Reports = append(m.Reports, w)
			sent = append(sent, passed{r, now, now})
		}
		return m != nil
	}
	var news []string
	changes := map[string]ReportChange{}
	for name, r := range l.reports {
		p, ok := l.passed[name]
		if ok && p.report.Session == r.Session && r.RecallS == nil && p.report.RecallS == nil &&
			(now.Sub(p.whole) < wholeAgain || !l.order(name).Whole) {
			c := difference(&p.report, &r)
			if len(c.Tasks)+len(c.Gone) == 0 && c.Token == p.report.Token {
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
		if r := l.reports[name]; r.Session == p.report.Session && r.Tick == p.report.Tick {
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
			if !pause.For(ctx, 500*time.Millisecond) {
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
		pause.For(ctx, 200*time.Millisecond)
	}
}

// read waits for commands and returns those that have changed.
func (l *Proxy) read(ctx context.Context, rev *uint64) ([]push, error) {
	prefix := downPrefix + l.Node + "/"
	var fresh []push
	if *rev == 0 {
		page, err := l.Store.List(ctx, prefix, "", 100, statestore.Rest)
		if err != nil {
			return nil, err
		}
		for _, it := range page.Items {
			if fresh, err = l.open(it.Key, it.Value, fresh); err != nil {
				return nil, err
			}
		}
		*rev = page.Rev
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
		fresh = append(fresh, push{name, addr, fleet.Commands{Token: b.Term, Session: o.Session, Orders: o.orders()}})
	}
	return fresh, nil
}

// push is commands for one machine, on their way.
type push struct {
	machine, addr string
	commands      fleet.Commands
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
	r, err := fleet.Ask(ctx, &c, "POST", "/commands", wire.Marshal(p.commands))
	if err != nil || r.Machine != p.machine {
		slog.Debug("commands not answered", "machine", p.machine, "err", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(&r)
}
