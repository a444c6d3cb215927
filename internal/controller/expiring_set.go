package controller

import (
	"sync"
	"time"
)

// expiringSet is a bounded set of names, each of which is forgotten some time after it was last
// added. It is safe for concurrent use.
type expiringSet struct {
	retention time.Duration // for which a name is kept
	limit     int           // of names; above it new ones are not kept

	mu      sync.Mutex
	addedAt map[string]time.Time // guarded by mu
}

const (
	// nameBytes is about what keeping a name takes.
	nameBytes = 128

	// memoryDivisor is the part of the process's memory, one in so many, that one set may take.
	memoryDivisor = 64
)

// newExpiringSet returns an empty set for a process with so many bytes of memory.
func newExpiringSet(retention time.Duration, memoryBytes int64) *expiringSet {
	return &expiringSet{retention: retention, limit: int(memoryBytes / memoryDivisor / nameBytes), addedAt: map[string]time.Time{}}
}

// add keeps a name from now on.
func (s *expiringSet) add(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(name, now)
}

// addIfAbsent keeps a name from now on and returns true, if it is not kept.
func (s *expiringSet) addIfAbsent(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addedAt, ok := s.addedAt[name]; ok && now.Sub(addedAt) < s.retention {
		return false
	}
	s.put(name, now)
	return true
}

// count returns how many names are kept.
func (s *expiringSet) count(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return len(s.addedAt)
}

func (s *expiringSet) put(name string, now time.Time) {
	if _, ok := s.addedAt[name]; !ok && len(s.addedAt) >= s.limit {
		s.expire(now)
		if len(s.addedAt) >= s.limit {
			return
		}
	}
	s.addedAt[name] = now
}

func (s *expiringSet) expire(now time.Time) {
	for name, addedAt := range s.addedAt {
		if now.Sub(addedAt) >= s.retention {
			delete(s.addedAt, name)
		}
	}
}
