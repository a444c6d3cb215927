package api

import (
	"fmt"
	"testing"
)

// The cache of final states forgets some rather than grow without bound.
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
