package api

import (
	"fmt"
	"testing"
)

// Guards against a cache that grows without bound: When it is full, each new entry evicts another.
func TestFinalStateCacheIsBounded(t *testing.T) {
	cache := newFinalStateCache()
	for i := range maxFinalStates + 100 {
		id := fmt.Sprint(i)
		cache.put(id, StatusDone)
		if status, cached := cache.get(id); !cached || status != StatusDone {
			t.Fatalf("entry %d is not cached: %q", i, status)
		}
	}
	if n := len(cache.statuses); n != maxFinalStates {
		t.Errorf("%d entries, want %d", n, maxFinalStates)
	}
}
