// Replication of cancellations to a majority of the controllers.

package peer

import (
	"context"
)

// round is one heartbeat to come.
type round struct {
	done chan struct{} // closed once it was answered or has failed
}

// ReplicateCancellation sees to it that a majority of the controllers holds a job's cancellation, and
// tells whether it does. Those that wait at once share a heartbeat.
func (g *Group) ReplicateCancellation(ctx context.Context, id string) bool {
	if g.config.Register.HeldByMajority(id) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	over := make(chan struct{}, len(g.config.Members))
	for _, o := range g.config.Members {
		done := g.join(o)
		go func() {
			select {
			case <-done:
			case <-ctx.Done():
			}
			over <- struct{}{}
		}()
	}
	for range g.config.Members {
		<-over
		if g.config.Register.HeldByMajority(id) {
			return true
		}
	}
	return false
}

// join returns what is closed after the next heartbeat to another controller that begins
// from now on.
func (g *Group) join(o Member) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.wake[o.Node] == nil {
		return nil // not running
	}
	r := g.rounds[o.Node]
	if r == nil {
		r = &round{make(chan struct{})}
		g.rounds[o.Node] = r
		select {
		case g.wake[o.Node] <- struct{}{}:
		default:
		}
	}
	return r.done
}
