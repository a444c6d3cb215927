package controller

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/clock"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// How fresh the knowledge of cancellations is kept, beside what users' questions do for
// it, and how much earlier than need be a lease is left to end.
const (
	knowWithin = 2 * time.Second
	leaseSlack = 2 * time.Second
)

// refreshCancellations reads the records so often that this node knows which jobs are cancelled,
// and where their tasks are.
func (n *Node) refreshCancellations(ctx context.Context) {
	read := func() error {
		ctx, cancel := context.WithTimeout(ctx, knowWithin)
		defer cancel()
		return n.intake.Refresh(ctx)
	}
	for ctx.Err() == nil {
		wait := knowWithin
		if err := read(); err != nil {
			slog.Debug("cancellations not read", "err", err)
			wait /= 4
		}
		clock.Sleep(ctx, wait)
	}
}

// mayExtendLease tells whether this node may answer reports so that leases go on. It must
// know every cancellation that was told before a lease's time ago and more: whatever it
// does not know of was told so lately that a lease prolonged now ends in time.
//
// It guards against a node, leading or not, that can learn of cancellations from nobody
// and keeps their tasks alive for longer than users were promised. Its workers try the
// other nodes, and where none may answer them their tasks end.
func (n *Node) mayExtendLease() bool {
	d, ok := n.cancelled.Staleness()
	w := &n.settings.Workers
	// Where a lease leaves no time at all the promise cannot be kept by leases.
	return ok && d < max(w.CancelDeadline-w.Lease-leaseSlack, 2*knowWithin)
}

// guardAfter is the share of the cancellation time after which a node sees itself to it
// that tasks of a cancelled job are gone, if it knows of no leader that does: later than
// any leader returns the machine.
const guardAfter = 0.75

// guard remembers which recorded attempts of cancelled jobs have been shown to be gone,
// by reports that came to this node or to another.
//
// It guards against tasks on machines that hang or are cut off when nobody leads, or
// none that can learn of the cancellation, in an outage that outlasts the time in which
// they must be gone: those who know of it return the machines.
type guard struct {
	mu    sync.Mutex
	watch map[string][]jobstore.Location // by machine
	gone  map[job.AttemptID]struct{}
}

// look takes all that is recorded of cancelled jobs.
func (g *guard) look(places []jobstore.Location) {
	g.mu.Lock()
	defer g.mu.Unlock()
	gone := map[job.AttemptID]struct{}{}
	g.watch = map[string][]jobstore.Location{}
	for _, p := range places {
		a := p.Attempt
		if _, ok := g.gone[a]; ok {
			gone[a] = struct{}{}
		} else {
			g.watch[p.Machine] = append(g.watch[p.Machine], p)
		}
	}
	g.gone = gone // what is no longer recorded need not be remembered
}

// holding returns the machines, at most limit, of those places that are not known to be
// gone.
func (g *guard) holding(places []jobstore.Location, limit int) (machines []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range places {
		if _, ok := g.gone[p.Attempt]; !ok && len(machines) < limit && !slices.Contains(machines, p.Machine) {
			machines = append(machines, p.Machine)
		}
	}
	return machines
}

// prove marks those attempts that are watched on a machine as gone for which f says so.
func (g *guard) prove(machine string, f func(jobstore.Location) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.watch[machine] {
		if f(p) {
			g.gone[p.Attempt] = struct{}{}
		}
	}
}

// proven tells whether an attempt of a cancelled job has been shown to be gone.
func (g *guard) proven(id job.AttemptID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.gone[id]
	return ok
}

// observe learns from a report what is gone, by the same proofs as a leader.
func (g *guard) observe(r *agent.Heartbeat) {
	g.prove(r.Machine, func(p jobstore.Location) bool { return r.ConfirmsGone(p.Attempt, p.Incarnation) })
}

// returned takes the cloud's word that machines are gone.
func (g *guard) returned(machines []string) {
	for _, m := range machines {
		g.prove(m, func(jobstore.Location) bool { return true })
	}
}

// known returns what is known to be gone, for the other controllers; a heartbeat takes what fits.
func (g *guard) known() (out []job.AttemptID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.gone {
		out = append(out, id)
	}
	return out
}

// learn takes the word of another controller.
func (g *guard) learn(gone []job.AttemptID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gone == nil {
		return // nothing has been looked for here yet
	}
	for _, id := range gone {
		g.gone[id] = struct{}{}
	}
}

// guardCancellations looks after cancelled jobs where no leader does.
func (n *Node) guardCancellations(ctx context.Context) {
	for clock.Sleep(ctx, time.Second) {
		n.guard.look(n.places(0))
		leader, _ := n.candidate.Leader()
		if l := n.leader.Load(); l != nil && l.loaded.Load() || n.peers.LeadingWithin(leader, proxyUnheard) {
			continue // it knows what this node knows, and the places better
		}
		late := time.Duration(guardAfter * float64(n.settings.Workers.CancelDeadline))
		machines := n.guard.holding(n.places(late), cloud.MaxReturn)
		if len(machines) == 0 {
			continue
		}
		if err := n.cloud.Return(ctx, machines); err != nil {
			slog.Info("machines with cancelled tasks not returned", "machines", machines, "err", err)
			continue
		}
		slog.Info("machines with cancelled tasks returned, nobody leads", "machines", machines)
		n.guard.returned(machines)
	}
}

// places returns where tasks may be of jobs that were learnt to be cancelled at least d
// ago.
func (n *Node) places(d time.Duration) (out []jobstore.Location) {
	for _, id := range n.cancelled.LearnedBefore(d) {
		out = append(out, n.intake.Locations(id)...)
	}
	return out
}
