package leader

import (
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
)

// leadershipTransfer ends the term if another controller is reached by far more machines than this
// one.
//
// It guards against a leader that has lost its worker agents, but neither the key-value store nor
// the other controllers: those send the agents back to it until their leases run out.
type leadershipTransfer struct {
	*environment
	registry *agent.Registry

	wantedSince time.Time // since when the machines go elsewhere; zero: they do not
}

// TransferMachineRatio is how many times as many machines must reach another controller before it had
// better lead, and RedirectionWindow how recently it must have said so. A candidate goes by the same.
const (
	TransferMachineRatio = 2
	RedirectionWindow    = 3 * time.Second
)

const (
	// transferDelay leaves the third controller the time to learn which one is to be elected.
	transferDelay = 1500 * time.Millisecond

	// unacknowledgedTransferDelay is for how long a leader stays that cannot have lost the machines: fewer
	// have ever shown a token of its term than reach the other controller. It guards against
	// leaders that transfer to each other for ever where nothing reaches the machines: their
	// heartbeats go round the controllers, and it takes three of them to one leader to show
	// (TestAllUnresponsiveMachinesAreReplaced).
	unacknowledgedTransferDelay = time.Minute
)

// considerTransfer transfers leadership once the reason for it has lasted.
func (t *leadershipTransfer) considerTransfer(now time.Time) {
	if now.Sub(t.startedAt) < t.Operator.ReconcileTimeout || !t.term.Valid() {
		return // agents still find their way here
	}
	counts := t.countContacts(now)
	if !counts.shouldTransfer(now.Sub(t.startedAt)) {
		t.wantedSince = time.Time{}
		return
	}
	if t.wantedSince.IsZero() {
		t.wantedSince = now
	}
	if now.Sub(t.wantedSince) >= transferDelay {
		slog.Info("transferring leadership: machines reach another controller", "term", t.term.Number(), "heard", counts.direct, "elsewhere", counts.redirected)
		t.Node.TransferLeadership()
	}
}

// contactCounts is how many machines reach this leader, and others.
type contactCounts struct {
	direct       int // have sent a heartbeat here lately, directly
	acknowledged int // have shown a token of this leader
	redirected   int // have lately reached one other controller
}

func (t *leadershipTransfer) countContacts(now time.Time) contactCounts {
	counts := contactCounts{redirected: t.Node.RedirectedElsewhere(RedirectionWindow)}
	t.registry.Each(func(machine *agent.Machine) {
		if !machine.Registered {
			return
		}
		if machine.RelayedBy == "" && now.Sub(machine.LastHeartbeat) < t.Settings.Workers.HeartbeatOverdue() {
			counts.direct++
		}
		if machine.FencingToken >= t.firstTerm {
			counts.acknowledged++
		}
	})
	return counts
}

// shouldTransfer reports whether another controller had better lead than one that has led for so long.
func (c contactCounts) shouldTransfer(leadingFor time.Duration) bool {
	if c.redirected <= TransferMachineRatio*max(c.direct, 1) {
		return false
	}
	return c.acknowledged >= c.redirected || leadingFor >= unacknowledgedTransferDelay
}
