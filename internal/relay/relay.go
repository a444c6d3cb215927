// Package relay carries reports of workers that cannot reach the leader, and
// the leader's commands to them, through the state service, which reaches every
// zone. A node on the workers' side is the go-between: it writes their newest
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
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tulipshelf/internal/fleet"
	"tulipshelf/internal/statestore"
	"tulipshelf/internal/wire"
)

// UpPrefix is where reports are written; the leader watches it.
const (
	UpPrefix   = "relay/up/"
	downPrefix = "relay/down/"
)

// DownKey returns the key of the commands for a node's workers.
func DownKey(node string) string { return downPrefix + node }

// Mail is the value under an up key.
type Mail struct {
	Node    string         `cbor:"node"`
	Reports []fleet.Report `cbor:"reports"`
	Same    []Same         `cbor:"same"`
}

// Same stands for a report that says what the one before it said.
type Same struct {
	_       struct{} `cbor:",toarray"`
	Machine string
	Session uint64
	Before  uint64 // tick of a report that was passed on whole
	Tick    uint64
}

// Box is the value under a down key.
type Box struct {
	Term     uint64           `cbor:"term"`
	Machines map[string]Order `cbor:"machines"`
}

// Order is what one machine is to do in one of its sessions.
type Order struct {
	Session uint64        `cbor:"session"`
	Orders  []fleet.Order `cbor:"orders"`
}

// Lodger is the go-between's side.
type Lodger struct {
	Node       string
	Store      *statestore.Client
	ValueBytes int

	mu      sync.Mutex
	reports map[string]fleet.Report // newest not yet written, by machine
	passed  map[string]passed       // last passed on whole, by machine
	term    uint64                  // of the leader they were passed on to
	last    time.Time               // when a worker was last answered
	box     Box
}

// passed is a report that was passed on whole.
type passed struct {
	report fleet.Report
	at     time.Time
}

const (
	writeEvery = 1500 * time.Millisecond
	active     = 8 * time.Second // lodging is over when no worker has come for so long
)

// Answer takes the report of a worker that cannot reach the leader and returns
// the answer to it under the leader's term.
func (l *Lodger) Answer(r *fleet.Report, term uint64) fleet.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reports == nil {
		l.reports = map[string]fleet.Report{}
	}
	if l.term != term {
		l.term, l.passed = term, map[string]passed{} // another leader may know none of it
	}
	l.reports[r.Machine] = *r
	l.last = time.Now()
	a := fleet.Answer{Token: term}
	if o, ok := l.box.Machines[r.Machine]; ok && l.box.Term == term && o.Session == r.Session {
		a.Orders = o.Orders
	}
	return a
}

func (l *Lodger) lodging() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.last) < active
}

// Run writes reports and reads commands while workers are lodged, until ctx
// ends.
func (l *Lodger) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		l.receive(ctx)
	}()
	for wait(ctx, writeEvery) {
		var ops []statestore.Op
		var whole []fleet.Report
		for _, m := range l.mails(time.Now()) {
			whole = append(whole, m.Reports...)
			ops = append(ops, statestore.Op{Put: UpPrefix + l.Node + "/" + strconv.Itoa(len(ops)), Value: wire.Marshal(m)})
		}
		if len(ops) == 0 {
			continue
		}
		if _, err := l.Store.Txn(ctx, nil, ops, statestore.User); err != nil {
			slog.Debug("reports not relayed", "err", err)
			continue
		}
		l.passedOn(whole, time.Now())
	}
	wg.Wait()
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// maxMails bounds the changes of one write. A zone's reports took more than one
// value (8 KiB on kapana-orders): with one, machines were left out until they
// counted as silent and were given up.
const maxMails = 4

// Share is the part of a value's limit that is filled, as the state service counts
// a value by its JSON form, which is longer than what is written here.
const Share = 0.6

// repeatWhole is how often an unchanged report is passed on whole all the same, as
// room allows, for a leader that has missed it. Otherwise a few bytes stand for it:
// with whole ones alone, a zone of 130 machines did not fit, 68 of them counted as
// silent and were given up with 225 tasks (apart of kapana-orders-grown).
const repeatWhole = 10 * time.Second

// mails returns what has come and was not yet taken, as values for the up keys:
// first that machines are heard, then what is new, then what may have been missed.
func (l *Lodger) mails(now time.Time) []Mail {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Mail
	left := 0
	add := func(size int) *Mail {
		if size > left {
			if len(out) == maxMails {
				return nil
			}
			out = append(out, Mail{Node: l.Node})
			left = int(float64(l.ValueBytes)*Share) - 200
		}
		left -= size
		return &out[len(out)-1]
	}
	var news, again []string
	for name, r := range l.reports {
		p, ok := l.passed[name]
		if !ok || !same(&p.report, &r) {
			news = append(news, name)
			continue
		}
		if m := add(len(name) + 24); m != nil {
			m.Same = append(m.Same, Same{Machine: name, Session: r.Session, Before: p.report.Tick, Tick: r.Tick})
			delete(l.reports, name)
		}
		if now.Sub(p.at) >= repeatWhole {
			again = append(again, name)
		}
	}
	longest := func(a, b string) int {
		return cmp.Or(l.passed[a].at.Compare(l.passed[b].at), strings.Compare(a, b))
	}
	slices.SortFunc(news, longest)
	slices.SortFunc(again, longest)
	whole := func(r fleet.Report) bool {
		n := len(wire.Marshal(r))
		m := add(n)
		if m == nil {
			return false
		}
		m.Reports = append(m.Reports, r)
		return true
	}
	for _, name := range news {
		if !whole(l.reports[name]) {
			return out // its turn comes with the next mails
		}
		delete(l.reports, name)
	}
	for _, name := range again {
		if !whole(l.passed[name].report) {
			break
		}
	}
	return out
}

func same(a, b *fleet.Report) bool {
	return a.Session == b.Session && a.Token == b.Token && a.RecallS == nil && b.RecallS == nil && slices.Equal(a.Tasks, b.Tasks)
}

func (l *Lodger) passedOn(whole []fleet.Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range whole {
		l.passed[r.Machine] = passed{r, now}
	}
}

// receive follows the commands for this node's workers.
func (l *Lodger) receive(ctx context.Context) {
	var rev uint64
	for ctx.Err() == nil {
		if !l.lodging() {
			rev = 0
			if !wait(ctx, 500*time.Millisecond) {
				return
			}
			continue
		}
		if err := l.read(ctx, &rev); err != nil && !errors.Is(err, statestore.ErrNotFound) {
			slog.Debug("commands not relayed", "err", err)
			rev = 0
		}
		wait(ctx, 300*time.Millisecond)
	}
}

func (l *Lodger) read(ctx context.Context, rev *uint64) error {
	key := DownKey(l.Node)
	if *rev == 0 {
		it, err := l.Store.Get(ctx, key, statestore.Rest)
		if err != nil {
			return err
		}
		*rev = it.Rev
		return l.take(it.Value)
	}
	events, at, err := l.Store.Watch(ctx, key, *rev, 5*time.Second)
	if err != nil {
		return err
	}
	*rev = max(*rev, at)
	for _, e := range events {
		if e.Put == key {
			if err := l.take(e.Value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (l *Lodger) take(value []byte) error {
	var b Box
	if err := wire.Unmarshal(value, &b); err != nil {
		return fmt.Errorf("relay: commands: %w", err)
	}
	l.mu.Lock()
	l.box = b
	l.mu.Unlock()
	return nil
}
