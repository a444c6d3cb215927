// Replication of cancellations to a majority of the controllers: callers wait until enough other
// members have answered a heartbeat that carried the cancellation.

package peer

import (
	"context"
	"sync"
)

// ReplicateCancellation sees to it that a majority of the controllers, this one included, holds
// the cancellation of a job, and reports whether it does. The job must be in the register. It
// gives up when ctx ends, and after requestTimeout. Callers that wait at the same time share
// heartbeats.
func (g *Group) ReplicateCancellation(ctx context.Context, job string) bool {
	register := g.config.Register
	if register.HeldByMajority(job) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	finished := make(chan struct{}, len(g.members))
	for _, m := range g.members {
		heartbeat := m.schedule.requestHeartbeat()
		go func() {
			select {
			case <-heartbeat:
			case <-ctx.Done():
			}
			finished <- struct{}{}
		}()
	}
	for range g.members {
		<-finished
		if register.HeldByMajority(job) {
			return true
		}
	}
	return false
}

// schedule is when the next heartbeat to one member is due ahead of its time, and who waits for
// it. All methods are safe for concurrent use.
type schedule struct {
	wake chan struct{} // holds one element while a heartbeat is wanted at once

	mu      sync.Mutex // guards the fields below
	started bool       // whether heartbeats are sent
	pending *pendingHeartbeat
}

// pendingHeartbeat is the next heartbeat to a member, while somebody waits for it.
type pendingHeartbeat struct {
	finished chan struct{} // closed once it was answered or has failed
}

func newSchedule() *schedule { return &schedule{wake: make(chan struct{}, 1)} }

// start notes that heartbeats are sent from now on.
func (s *schedule) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
}

// requestHeartbeat has a heartbeat sent as soon as the one in flight is over, and returns a
// channel that is closed when it was answered or has failed: nil, which never is, before
// heartbeats are sent. One that is in flight already does not count, as it may not
// carry what the caller has just registered.
func (s *schedule) requestHeartbeat() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.started {
		return nil
	}
	if s.pending == nil {
		s.pending = &pendingHeartbeat{finished: make(chan struct{})}
		select {
		case s.wake <- struct{}{}:
		default: // it is to be woken already
		}
	}
	return s.pending.finished
}

// takePending returns the heartbeat that somebody waits for, nil if nobody does. Who asks from now
// on waits for the one after it.
func (s *schedule) takePending() *pendingHeartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.pending
	s.pending = nil
	return pending
}

// finish lets those go on that wait for the heartbeat. It may be nil.
func (p *pendingHeartbeat) finish() {
	if p != nil {
		close(p.finished)
	}
}
