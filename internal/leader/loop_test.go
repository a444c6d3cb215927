package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tulipshelf/internal/config"
)

// countingEvent is an event that counts how often it was applied.
type countingEvent struct{ times *int }

func (e countingEvent) apply(*Leader) { *e.times++ }

// A sender whose event finds no room is refused at once: it must not block the server that it runs
// in, and comes back.
func TestCallIsRefusedWhereTheQueueIsFull(t *testing.T) {
	loop := newEventLoop(context.Background(), 0)
	applied := 0
	for range minQueuedEvents {
		if !loop.trySubmit(countingEvent{&applied}) {
			t.Fatalf("refused after fewer than %d events", minQueuedEvents)
		}
	}
	if loop.trySubmit(countingEvent{&applied}) || loop.call(context.Background(), countingEvent{&applied}) {
		t.Error("taken beyond the bound")
	}
}

// A sender that waits for its event is released when the term ends, and when it gives up itself.
func TestCallEndsWithTheTermOrItsSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, endTerm := context.WithCancel(context.Background())
		loop := newEventLoop(ctx, 0)
		sender, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		applied := 0
		begin := time.Now()
		if loop.call(sender, countingEvent{&applied}) || time.Since(begin) != time.Second {
			t.Errorf("not released by its own deadline, after %v", time.Since(begin))
		}
		time.AfterFunc(time.Minute, endTerm)
		if loop.call(context.Background(), countingEvent{&applied}) || time.Since(begin) != time.Minute+time.Second {
			t.Errorf("not released by the term's end, after %v", time.Since(begin))
		}
	})
}

// A leader answers heartbeats only once it has read the records: before, it would take every task
// for unknown and have it halted.
func TestHeartbeatsWaitForTheRecords(t *testing.T) {
	l := newTestLeader(config.Settings{})
	received := &heartbeatReceived{heartbeat: benchHeartbeat(1, 1, nil)}
	received.apply(l)
	if received.response.Status != 503 || received.response.RetryAfter == 0 || l.machines.registry.Size() != 0 {
		t.Errorf("answered %d before the records were read, %d machines", received.response.Status, l.machines.registry.Size())
	}
}
