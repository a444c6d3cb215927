package agent

import (
	"testing"
	"time"
)

// A returned machine is not added again when a delayed list of the cloud or heartbeat names it. The next
// new machine reuses its dense index.
func TestReturnedStaysGone(t *testing.T) {
	now := time.Unix(0, 0)
	registry := NewRegistry()
	first, second := registry.Add("vm-1", now), registry.Add("vm-2", now)
	registry.Remove("vm-1", now)
	if registry.Add("vm-1", now) != nil {
		t.Error("vm-1 was added again after its return")
	}
	third := registry.Add("vm-3", now)
	if third.Index != first.Index || registry.Size() != 2 || second.Index == third.Index {
		t.Errorf("got index %d, size %d; want index %d, size 2", third.Index, registry.Size(), first.Index)
	}
}

// Names of returned machines are removed once returnedRetention has passed, after which no delayed
// message names them any longer.
func TestReturnedNamesPruned(t *testing.T) {
	start := time.Unix(0, 0)
	registry := NewRegistry()
	registry.Remove("vm-1", start)
	registry.Remove("vm-2", start.Add(returnedRetention))
	if !registry.WasReturned("vm-1") || !registry.WasReturned("vm-2") {
		t.Error("a name was removed before the end of its retention")
	}
	registry.Remove("vm-3", start.Add(returnedRetention+pruneInterval))
	if registry.WasReturned("vm-1") || !registry.WasReturned("vm-2") {
		t.Error("vm-1 was not removed after its retention, or vm-2 was removed before")
	}
}
