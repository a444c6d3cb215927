package leader

import (
	"context"
	"sync"
)

// event is an input of the leader, such as a heartbeat or a response. Its apply method runs on the event
// loop.
type event interface{ apply(*Leader) }

// eventLoop queues a leader's events and tracks the goroutines that run beside the loop. Its methods are
// safe for concurrent use.
type eventLoop struct {
	ctx        context.Context // ends with the leader
	events     chan event
	goroutines sync.WaitGroup
}

// minQueuedEvents is the lower bound of the queue's capacity. The capacity is the maximum number of
// sockets if that number is larger, as each connection has at most one request in flight.
const minQueuedEvents = 512

func newEventLoop(ctx context.Context, maxSockets int) *eventLoop {
	return &eventLoop{ctx: ctx, events: make(chan event, max(minQueuedEvents, maxSockets))}
}

// trySubmit queues an event unless the queue is full, and reports whether it did. It is for events that
// may be dropped: their content also arrives in another way, or their sender retries.
func (q *eventLoop) trySubmit(e event) bool {
	select {
	case q.events <- e:
		return true
	default:
		return false
	}
}

// submit queues an event, and waits while the queue is full. It drops the event if the leader ends
// first.
func (q *eventLoop) submit(e event) {
	select {
	case q.events <- e:
	case <-q.ctx.Done():
	}
}

// call queues an event and waits until it has been applied. It returns false at once if the queue is
// full, since senders retry, and also if ctx or the leader ends first. After the end of ctx the event
// may still be applied.
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

// awaitedEvent is an event whose sender waits until it has been applied.
type awaitedEvent struct {
	event
	done chan struct{}
}

func (e awaitedEvent) apply(l *Leader) {
	e.event.apply(l)
	close(e.done)
}

// start runs f in a goroutine beside the loop. Leader.Run does not return before f has.
func (q *eventLoop) start(f func()) {
	q.goroutines.Add(1)
	go func() {
		defer q.goroutines.Done()
		f()
	}()
}

func (q *eventLoop) wait() { q.goroutines.Wait() }
