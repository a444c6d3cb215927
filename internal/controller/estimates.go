package controller

import (
	"context"
	"log/slog"
	"time"

	"tulipshelf/internal/autoscaler"
	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/relay"
	"tulipshelf/internal/wire"
)

// estimatesKey holds the leader's estimates for the next one, which would otherwise
// take all unfinished jobs for what arrives in a moment and rent for that, and
// then forget what usually comes (apart of kapana-orders-grown: 110 machines too
// many after an election).
const (
	estimatesKey   = "rental/memo"
	estimatesEvery = 10 * time.Second
	maxFailing     = 200 // jobs named in it, as far as half of a value holds their names
)

// estimates is its value. It names the jobs that fail on every machine, too: a new leader
// would try all of their tasks at once (TestAlwaysFailingJobIsThrottled).
type estimates struct {
	Estimates autoscaler.Estimates `cbor:"estimates"`
	Failing   []string             `cbor:"failing"`
	Gangs     autoscaler.Estimates `cbor:"gangs"`
}

func (l *leader) saveEstimates(now time.Time) {
	if now.Sub(l.estimatesSaved) < estimatesEvery || l.offered.Empty() && l.gangs.Empty() || !l.term.Valid() {
		return
	}
	l.estimatesSaved = now
	m := estimates{Estimates: autoscaler.NewEstimates(&l.offered, &l.learned), Gangs: autoscaler.NewEstimates(&l.gangs, &autoscaler.RuntimeEstimator{})}
	for j, st := range l.jobStates {
		if st.failing() && len(m.Failing) < min(maxFailing, l.node.settings.Store.ValueBytes/2/16) {
			m.Failing = append(m.Failing, j.Spec.ID)
		}
	}
	fence, value := l.term.Fence(), wire.Marshal(m)
	if len(value) > relay.UsableBytes(l.node.settings.Store.ValueBytes) {
		return
	}
	l.spawn(func() {
		_, err := l.node.store.Txn(l.ctx, []kvstore.Compare{fence}, []kvstore.Mutation{{Put: estimatesKey, Value: value}}, kvstore.PriorityBackground)
		if err != nil {
			slog.Debug("estimates not kept", "err", err)
		}
	})
}

// loadEstimates takes the estimates that an earlier leader has kept. Without them this
// one begins from the jobs it reads.
func (l *leader) loadEstimates(ctx context.Context) {
	it, err := l.node.store.Get(ctx, estimatesKey, kvstore.PriorityLease)
	if err != nil {
		slog.Debug("no estimates recalled", "err", err)
		return
	}
	var m estimates
	if err := wire.Unmarshal(it.Value, &m); err != nil {
		slog.Error("estimates unreadable", "err", err)
		return
	}
	m.Estimates.Restore(&l.offered, &l.learned)
	if m.Gangs.CameMS > 0 {
		m.Gangs.Restore(&l.gangs, &autoscaler.RuntimeEstimator{})
	}
	l.estimatesUntil = time.UnixMilli(m.Estimates.LastMS)
	for _, id := range m.Failing {
		l.failed[id] = true
	}
}
