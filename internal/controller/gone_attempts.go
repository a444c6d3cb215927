package controller

import (
	"slices"
	"sync"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// goneAttempts holds the recorded attempts of cancelled jobs, and which of them are confirmed gone: by a
// heartbeat that this controller or another one received, or by the return of the machine to the cloud.
// The zero value is ready for use. It is safe for concurrent use.
//
// Guards against cancelled tasks that outlive their deadline on machines that hang or are partitioned. In
// an outage longer than the deadline there may be no leader, or none that can learn of the cancellation.
// Controllers that know of it then return the machines (reapCancelled).
type goneAttempts struct {
	mu        sync.Mutex
	watched   map[string][]jobstore.Location // by machine: unconfirmed at the last watch(); guarded by mu
	confirmed map[job.AttemptID]struct{}     // nil until the first call of watch; guarded by mu
}

// watch replaces the held attempts by those of locations, which are all recorded attempts of cancelled
// jobs. Attempts that are no longer recorded are dropped, also if they are confirmed gone.
func (g *goneAttempts) watch(locations []jobstore.Location) {
	g.mu.Lock()
	defer g.mu.Unlock()
	confirmed := map[job.AttemptID]struct{}{}
	g.watched = map[string][]jobstore.Location{}
	for _, location := range locations {
		if _, gone := g.confirmed[location.Attempt]; gone {
			confirmed[location.Attempt] = struct{}{}
		} else {
			g.watched[location.Machine] = append(g.watched[location.Machine], location)
		}
	}
	g.confirmed = confirmed
}

// machinesHolding returns the machines, each once and at most limit, of the locations whose attempts are
// not confirmed gone.
func (g *goneAttempts) machinesHolding(locations []jobstore.Location, limit int) (machines []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, location := range locations {
		_, gone := g.confirmed[location.Attempt]
		if !gone && len(machines) < limit && !slices.Contains(machines, location.Machine) {
			machines = append(machines, location.Machine)
		}
	}
	return machines
}

// contains reports whether an attempt is confirmed gone.
func (g *goneAttempts) contains(id job.AttemptID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, gone := g.confirmed[id]
	return gone
}

// observeHeartbeat marks as gone the watched attempts that a heartbeat proves gone, by the same rule that
// a leader applies (agent.Heartbeat.ConfirmsGone).
func (g *goneAttempts) observeHeartbeat(heartbeat *agent.Heartbeat) {
	g.confirmOn(heartbeat.Machine, func(location jobstore.Location) bool {
		return heartbeat.ConfirmsGone(location.Attempt, location.Incarnation)
	})
}

// confirmReturned marks as gone all watched attempts on machines that have been returned to the cloud.
func (g *goneAttempts) confirmReturned(machines []string) {
	for _, machine := range machines {
		g.confirmOn(machine, func(jobstore.Location) bool { return true })
	}
}

// confirmOn marks as gone the watched attempts on a machine for which isGone holds.
func (g *goneAttempts) confirmOn(machine string, isGone func(jobstore.Location) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, location := range g.watched[machine] {
		if isGone(location) {
			g.confirmed[location.Attempt] = struct{}{}
		}
	}
}

// all returns the attempts that are confirmed gone, in no order, to be sent to the other controllers.
func (g *goneAttempts) all() (ids []job.AttemptID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.confirmed {
		ids = append(ids, id)
	}
	return ids
}

// merge marks as gone the attempts that another controller reports as gone. It does nothing before the
// first call of watch.
func (g *goneAttempts) merge(ids []job.AttemptID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.confirmed == nil {
		return
	}
	for _, id := range ids {
		g.confirmed[id] = struct{}{}
	}
}
