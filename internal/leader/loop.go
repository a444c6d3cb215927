package leader

import (
	"context"
	"sync"
)

// event is something that has happened. It is applied on the event loop.
type event interface{ apply(*Leader) }

// eventLoop is the queue of a leader's events and the lifetime of the goroutines beside the loop.
// Its methods are safe for concurrent use.
type eventLoop struct {
	ctx        context.Context // ends with the term
	events     chan event
	goroutines sync.WaitGroup
}

// minQueuedEvents is the least number of events that may wait. Otherwise they are bounded by the
// connections: each has one request in flight.
const minQueuedEvents = 512

func newEventLoop(ctx context.Context, maxSockets int) *eventLoop {
	return &eventLoop{ctx: ctx, events: make(chan event, max(minQueuedEvents, maxSockets))}
}

// trySubmit queues an event if there is room. It serves events whose news comes again in another
// way.
func (q *eventLoop) trySubmit(e event) bool {
	select {
	case q.events <- e:
		return true
	default:
		return false
	}
}

// submit queues an event and waits for room to do so.
func (q *eventLoop) submit(e event) {
	select {
	case q.events <- e:
	case <-q.ctx.Done():
	}
}

// call queues an event and waits until it was applied. It returns false if there is no room, as
// the queue is bounded and senders come back, or if ctx or the term ends before.
func (q *eventLoop) call(ctx context.Context, e event) bool {
	awaited := awaitedEvent{e, make(chan struct{})}
	if !q.trySubmit(awaited) {
		return false
	}
	select {
	case <-awaited.done:
		return true
	case <-ctx.Done():
	case <-q.ctx.Done():
	}
	return false
}

// awaitedEvent is an event whose sender waits until it was applied.
type awaitedEvent struct {
	event
	done chan struct{}
}

func (e awaitedEvent) apply(l *Leader) {
	e.event.apply(l)
	close(e.done)
}

// start runs f beside the loop; the leader does not end before it has returned.
func (q *eventLoop) start(f func()) {
	q.goroutines.Add(1)
	go func() {
		defer q.goroutines.Done()
		f()
	}()
}

func (q *eventLoop) wait() { q.goroutines.Wait() }
