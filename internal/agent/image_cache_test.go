package agent

import (
	"testing"
	"time"
)

// If the images exceed the disk's capacity, the least recently used one is evicted.
func TestImageCacheEvictsLeastRecentlyUsed(t *testing.T) {
	var images ImageCache
	at := func(second int) time.Time { return time.Unix(int64(second), 0) }
	images.Use("a", 4, 10, at(1))
	images.Use("b", 4, 10, at(2))
	images.Use("a", 4, 10, at(3))
	images.Use("c", 4, 10, at(4))
	if !images.Has("a") || images.Has("b") || !images.Has("c") {
		t.Errorf("cached: a %v, b %v, c %v; want all but b", images.Has("a"), images.Has("b"), images.Has("c"))
	}
}
