package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tulipshelf/internal/config"
)

// countingEvent is an event that counts how often it is applied.
type countingEvent struct{ times *int }

func (e countingEvent) apply(*Leader) { *e.times++ }

// Guards against a full event queue that blocks the server: the goroutine of a request that finds no
// room would wait for the loop. The event is refused at once instead, and the sender retries.
func TestCallIsRefusedWhereTheQueueIsFull(t *testing.T) {
	loop := newEventLoop(context.Background(), 0)
	applied := 0
	for range minQueuedEvents {
		if !loop.trySubmit(countingEvent{&applied}) {
			t.Fatalf("event refused by a queue with fewer than %d events", minQueuedEvents)
		}
	}
	if loop.trySubmit(countingEvent{&applied}) || loop.call(context.Background(), countingEvent{&applied}) {
		t.Error("event accepted by a full queue")
	}
}

// A sender that waits for its event returns when the term ends, and when its own context ends.
func TestCallEndsWithTheTermOrItsSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, endTerm := context.WithCancel(context.Background())
		loop := newEventLoop(ctx, 0)
		sender, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		applied := 0
		begin := time.Now()
		if loop.call(sender, countingEvent{&applied}) || time.Since(begin) != time.Second {
			t.Errorf("call returned after %v, want false after 1s at its context's deadline", time.Since(begin))
		}
		time.AfterFunc(time.Minute, endTerm)
		if loop.call(context.Background(), countingEvent{&applied}) || time.Since(begin) != time.Minute+time.Second {
			t.Errorf("call returned after %v, want false after 1m1s at the end of the term", time.Since(begin))
		}
	})
}

// Guards against a new leader that halts all tasks: before it has read the records, every reported task
// is unknown to it. It responds 503 to heartbeats until then.
func TestHeartbeatsWaitForTheRecords(t *testing.T) {
	l := newTestLeader(config.Settings{})
	received := &heartbeatReceived{heartbeat: benchHeartbeat(1, 1, nil)}
	received.apply(l)
	if received.response.Status != 503 || received.response.RetryAfter == 0 || l.machines.registry.Size() != 0 {
		t.Errorf("before the records were read: status %d, %d machines, want 503 with Retry-After, 0 machines", received.response.Status, l.machines.registry.Size())
	}
}
