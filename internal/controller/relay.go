package controller

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"time"

	"tulipshelf/internal/fleet"
	"tulipshelf/internal/relay"
	"tulipshelf/internal/statestore"
	"tulipshelf/internal/wire"
)

// relayed is what the leader holds of one go-between.
type relayed struct {
	written []byte // last commands written for its workers
	writing bool
	next    time.Time
}

// How often it is looked whether commands for a go-between have changed, and the
// least time between two writes of them.
const (
	relayEvery   = 250 * time.Millisecond
	relayWritten = time.Second
)

// followRelay takes reports that come through the state service.
func (l *lead) followRelay(ctx context.Context) {
	var rev uint64
	for ctx.Err() == nil {
		if rev == 0 {
			page, err := l.n.store.List(ctx, relay.UpPrefix, "", 1, statestore.Rest)
			if err != nil {
				sleep(ctx, time.Second)
				continue
			}
			rev = page.Rev
		}
		events, at, err := l.n.store.Watch(ctx, relay.UpPrefix, rev, 20*time.Second)
		if errors.Is(err, statestore.ErrCompacted) {
			rev = 0
		}
		if err != nil {
			sleep(ctx, time.Second)
			continue
		}
		rev = max(rev, at)
		l.post(func() {
			for i := range events {
				var m relay.Mail
				if err := wire.Unmarshal(events[i].Value, &m); err != nil {
					slog.Error("relayed reports unreadable", "err", err)
					continue
				}
				l.takeMail(&m)
			}
		})
		sleep(ctx, 200*time.Millisecond)
	}
}

func (l *lead) takeMail(mail *relay.Mail) {
	now := time.Now()
	if l.relays[mail.Node] == nil {
		l.relays[mail.Node] = &relayed{}
	}
	take := func(r *fleet.Report) {
		if r.Token > l.reign.Term() {
			return
		}
		if m := l.take(r, now); m != nil && m.Session == r.Session && m.Tick == r.Tick {
			m.Via = mail.Node
		}
	}
	for i := range mail.Reports {
		take(&mail.Reports[i])
	}
	for _, s := range mail.Same {
		m := l.fleet.Machine(s.Machine)
		if m == nil || m.Type < 0 || m.Zone < 0 || m.Session != s.Session || m.Tick < s.Before {
			continue // the report it stands for is not known here; it comes again
		}
		r := m.Repeat(s.Tick)
		r.Type, r.Zone = l.types[m.Type].Name, l.zones[m.Zone]
		take(&r)
	}
}

// writeRelay writes the commands for machines that are heard through others,
// where they have changed.
func (l *lead) writeRelay(now time.Time) {
	if len(l.relays) == 0 || !l.reign.Valid() {
		return
	}
	for node, s := range l.relays {
		if s.writing || now.Before(s.next) {
			continue
		}
		s.next = now.Add(relayEvery)
		term := l.reign.Term()
		box := relay.Box{Term: term, Machines: map[string]relay.Order{}}
		some := false
		l.fleet.Each(func(m *fleet.Machine) {
			if m.Via != node || now.Sub(m.Heard) > l.n.operator.Silent {
				return
			}
			some = true
			// What may be forgotten can wait until the cut is over; with it the commands of
			// a large zone did not fit (apart of kapana-orders-grown).
			if orders := m.Orders(term, maxOrders, func(string) bool { return false }, now); len(orders) > 0 {
				box.Machines[m.Name] = relay.Order{Session: m.Session, Orders: orders}
			}
		})
		if !some {
			continue
		}
		value := wire.Marshal(box)
		for name := range box.Machines {
			if float64(len(value)) <= relay.Share*float64(l.n.settings.State.ValueBytes) {
				break
			}
			delete(box.Machines, name) // its turn comes once others are served
			value = wire.Marshal(box)
		}
		if bytes.Equal(value, s.written) {
			continue
		}
		s.writing, s.next = true, now.Add(relayWritten)
		fence := l.reign.Fence()
		l.spawn(func() {
			_, err := l.n.store.Txn(l.ctx, []statestore.Cond{fence}, []statestore.Op{{Put: relay.DownKey(node), Value: value}}, statestore.User)
			l.post(func() {
				s.writing = false
				if err == nil {
					s.written = value
				} else {
					slog.Debug("commands not relayed", "through", node, "err", err)
				}
			})
		})
	}
}
