package controller

import (
	"slices"
	"sync"

	"tulipshelf/internal/agent"
	"tulipshelf/internal/job"
	"tulipshelf/internal/jobstore"
)

// goneAttempts remembers which recorded attempts of cancelled jobs were confirmed to be gone, by
// heartbeats that came to this controller or to another. It is safe for concurrent use.
//
// It guards against tasks on machines that hang or are cut off when nobody leads, or no leader that
// can learn of the cancellation, in an outage that outlasts the time in which they must be gone:
// those who know of it return the machines.
type goneAttempts struct {
	mu        sync.Mutex
	watched   map[string][]jobstore.Location // by machine: not confirmed yet; guarded by mu
	confirmed map[job.AttemptID]struct{}     // nil until watch was called; guarded by mu
}

// watch takes all recorded attempts of cancelled jobs. What is no longer recorded is forgotten.
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

// machinesHolding returns the machines, at most limit, of those locations that are not confirmed to
// be gone.
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

// contains reports whether an attempt was confirmed to be gone.
func (g *goneAttempts) contains(id job.AttemptID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, gone := g.confirmed[id]
	return gone
}

// observeHeartbeat learns what a heartbeat confirms to be gone, by the same proofs as a leader.
func (g *goneAttempts) observeHeartbeat(heartbeat *agent.Heartbeat) {
	g.confirmOn(heartbeat.Machine, func(location jobstore.Location) bool {
		return heartbeat.ConfirmsGone(location.Attempt, location.Incarnation)
	})
}

// confirmReturned takes the cloud's word that machines are gone.
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

// all returns what is confirmed to be gone, for the other controllers.
func (g *goneAttempts) all() (ids []job.AttemptID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.confirmed {
		ids = append(ids, id)
	}
	return ids
}

// merge takes the word of another controller, once anything was watched here.
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
