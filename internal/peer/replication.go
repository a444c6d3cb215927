// Heartbeats that callers wait for: to replicate a cancellation to a majority of the controllers, or to learn
// what the others know.

package peer

import (
	"context"
	"sync"
)

// ReplicateCancellation replicates the cancellation of a job to a majority of the controllers, this
// one included, and reports whether a majority holds it for long enough after a confirmation that is
// given now. The job must be in the register. The call
// returns as soon as a majority holds the cancellation, every member's heartbeat has been answered or
// has failed, ctx has ended, or requestTimeout has passed. Concurrent callers share heartbeats.
func (g *Group) ReplicateCancellation(ctx context.Context, job string) bool {
	register := g.config.Register
	register.Renew(job)
	held := func() bool { return register.HeldByMajority(job) }
	return held() || g.exchangeUntil(ctx, held)
}

// Exchange sends a heartbeat to every member now. It returns once each was answered or has failed, ctx has
// ended, or requestTimeout has passed. This controller then knows what the members that answered knew.
func (g *Group) Exchange(ctx context.Context) {
	g.exchangeUntil(ctx, func() bool { return false })
}

// exchangeUntil requests a heartbeat to every member. It returns true as soon as a condition holds after one
// was answered or has failed, and false if the condition does not hold after all of them, or once ctx has
// ended or requestTimeout has passed.
func (g *Group) exchangeUntil(ctx context.Context, condition func() bool) bool {
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
		if condition() {
			return true
		}
	}
	return false
}

// schedule holds requests for a heartbeat to one member ahead of the regular interval. All methods are
// safe for concurrent use.
type schedule struct {
	wake chan struct{} // contains an element if a heartbeat is to be sent without further delay

	mu      sync.Mutex        // guards the fields below
	started bool              // whether heartbeats are being sent
	pending *pendingHeartbeat // nil: no caller waits for the next heartbeat
}

// pendingHeartbeat is the next heartbeat to a member, if callers wait for it.
type pendingHeartbeat struct {
	finished chan struct{} // closed when the heartbeat was answered or has failed
}

func newSchedule() *schedule { return &schedule{wake: make(chan struct{}, 1)} }

// start records that sending of heartbeats begins now.
func (s *schedule) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = true
}

// requestHeartbeat requests a heartbeat that is sent as soon as the one in flight, if any, has ended.
// It returns a channel that is closed when the requested one was answered or has failed. The one in
// flight does not count, as it may not contain what the caller has just registered. Before the start
// of heartbeats nothing is requested, and the result is nil, a channel that is never closed.
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
		default: // a wake-up is already queued
		}
	}
	return s.pending.finished
}

// takePending returns the heartbeat that callers wait for, nil if there are none, and clears it. Later
// callers wait for the heartbeat after it.
func (s *schedule) takePending() *pendingHeartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.pending
	s.pending = nil
	return pending
}

// finish unblocks the callers that wait for the heartbeat. p may be nil.
func (p *pendingHeartbeat) finish() {
	if p != nil {
		close(p.finished)
	}
}
