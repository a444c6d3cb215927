package leader

import (
	"log/slog"
	"time"

	"tulipshelf/internal/agent"
)

// leadershipTransfer ends the term if far more machines reach another controller than this one.
//
// Guards against a leader that has lost contact with its worker agents, but not with the key-value store
// or the other controllers: these controllers redirect the agents to the leader until the agents' leases
// expire.
type leadershipTransfer struct {
	*environment
	registry *agent.Registry

	wantedSince time.Time // start of the time for which shouldTransfer has held; zero: it does not hold
}

// TransferMachineRatio is the ratio above which another controller should lead: the number of machines
// that reach it, divided by the number that reach this one. RedirectionWindow is the maximum age of the
// other's report of its number. A candidate for the leadership applies the same limits.
const (
	TransferMachineRatio = 2
	RedirectionWindow    = 3 * time.Second
)

const (
	// transferDelay is the time for which shouldTransfer must have held. Within this time the third
	// controller receives the number of machines that reach the preferred controller, so that it defers
	// to that controller in the election.
	transferDelay = 1500 * time.Millisecond

	// unacknowledgedTransferDelay is the minimum time from the start of a leadership to a transfer if fewer
	// machines have acknowledged a token of this leader than reach the other controller. Such a leader
	// cannot have lost contact with all of these machines, as some have never acknowledged its token.
	//
	// Guards against leaders that transfer to each other forever while nothing reaches the machines: the
	// agents send heartbeats to one controller after the other, and a leader needs three heartbeats from
	// a machine to detect that the machine is unresponsive (TestAllUnresponsiveMachinesAreReplaced).
	unacknowledgedTransferDelay = time.Minute
)

// transferIfDue transfers the leadership once shouldTransfer has held for transferDelay. It does
// nothing during the first ReconcileTimeout of a leadership, or while the term is not valid.
func (t *leadershipTransfer) transferIfDue(now time.Time) {
	if now.Sub(t.startedAt) < t.Operator.ReconcileTimeout || !t.term.Valid() {
		return // agents are still finding this leader, or another may have been elected
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

// contactCounts holds the numbers of machines that reach this leader and another controller.
type contactCounts struct {
	direct       int // machines whose last heartbeat came directly and is not overdue
	acknowledged int // machines whose last heartbeat carries a fencing token of this leader
	redirected   int // largest number of machines that recently contacted the same other controller
}

func (t *leadershipTransfer) countContacts(now time.Time) contactCounts {
	counts := contactCounts{redirected: t.Node.MostRedirectedByPeer(RedirectionWindow)}
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

// shouldTransfer reports whether another controller should lead in place of this one, which has led for
// leadingFor.
func (c contactCounts) shouldTransfer(leadingFor time.Duration) bool {
	if c.redirected <= TransferMachineRatio*max(c.direct, 1) {
		return false
	}
	return c.acknowledged >= c.redirected || leadingFor >= unacknowledgedTransferDelay
}
