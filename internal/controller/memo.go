package controller

import (
	"context"
	"log/slog"
	"time"

	"tulipshelf/internal/relay"
	"tulipshelf/internal/rental"
	"tulipshelf/internal/statestore"
	"tulipshelf/internal/wire"
)

// memoKey holds the leader's estimates for the next one, which would otherwise
// take all unfinished jobs for what arrives in a moment and rent for that, and
// then forget what usually comes (apart of kapana-orders-grown: 110 machines too
// many after an election).
const (
	memoKey    = "rental/memo"
	memoEvery  = 10 * time.Second
	maxFailing = 200 // jobs named in it, as far as half of a value holds their names
)

// memo is its value. It names the jobs that fail on every machine, too: a new leader
// would try all of their tasks at once (TestMistakenJob).
type memo struct {
	Estimates rental.Memo `cbor:"estimates"`
	Failing   []string    `cbor:"failing"`
	Gangs     rental.Memo `cbor:"gangs"`
}

func (l *lead) keepMemo(now time.Time) {
	if now.Sub(l.memoAt) < memoEvery || l.offered.Empty() && l.gangs.Empty() || !l.reign.Valid() {
		return
	}
	l.memoAt = now
	m := memo{Estimates: rental.Remember(&l.offered, &l.learned), Gangs: rental.Remember(&l.gangs, &rental.Learned{})}
	for j, st := range l.jobs {
		if st.failing() && len(m.Failing) < min(maxFailing, l.n.settings.State.ValueBytes/2/16) {
			m.Failing = append(m.Failing, j.Spec.ID)
		}
	}
	fence, value := l.reign.Fence(), wire.Marshal(m)
	if len(value) > relay.Fill(l.n.settings.State.ValueBytes) {
		return
	}
	l.spawn(func() {
		_, err := l.n.store.Txn(l.ctx, []statestore.Cond{fence}, []statestore.Op{{Put: memoKey, Value: value}}, statestore.Rest)
		if err != nil {
			slog.Debug("estimates not kept", "err", err)
		}
	})
}

// recall takes the estimates that an earlier leader has kept. Without them this
// one begins from the jobs it reads.
func (l *lead) recall(ctx context.Context) {
	it, err := l.n.store.Get(ctx, memoKey, statestore.Lease)
	if err != nil {
		slog.Debug("no estimates recalled", "err", err)
		return
	}
	var m memo
	if err := wire.Unmarshal(it.Value, &m); err != nil {
		slog.Error("estimates unreadable", "err", err)
		return
	}
	m.Estimates.Recall(&l.offered, &l.learned)
	if m.Gangs.CameMS > 0 {
		m.Gangs.Recall(&l.gangs, &rental.Learned{})
	}
	l.recalled = time.UnixMilli(m.Estimates.LastMS)
	for _, id := range m.Failing {
		l.failed[id] = true
	}
}
