package agent

import (
	"testing"
	"time"
)

// A machine that was returned stays gone, however late a list of the cloud or a heartbeat of it
// arrives; its dense index is given to the next one.
func TestReturnedStaysGone(t *testing.T) {
	now := time.Unix(0, 0)
	registry := NewRegistry()
	first, second := registry.Add("vm-1", now), registry.Add("vm-2", now)
	registry.Remove("vm-1", now)
	if registry.Add("vm-1", now) != nil {
		t.Error("vm-1 is back")
	}
	third := registry.Add("vm-3", now)
	if third.Index != first.Index || registry.Size() != 2 || second.Index == third.Index {
		t.Errorf("index %d, size %d", third.Index, registry.Size())
	}
}

// Names of returned machines are forgotten once no late message can bring them back.
func TestReturnedNamesPruned(t *testing.T) {
	start := time.Unix(0, 0)
	registry := NewRegistry()
	registry.Remove("vm-1", start)
	registry.Remove("vm-2", start.Add(returnedRetention))
	if !registry.WasReturned("vm-1") || !registry.WasReturned("vm-2") {
		t.Error("forgotten too early")
	}
	registry.Remove("vm-3", start.Add(returnedRetention+pruneInterval))
	if registry.WasReturned("vm-1") || !registry.WasReturned("vm-2") {
		t.Error("not forgotten, or too early")
	}
}
