package controller

import (
	"sync"
	"time"
)

// expiringSet is a bounded set of names, each of which expires a fixed time after it was last added. It is
// safe for concurrent use.
type expiringSet struct {
	retention time.Duration // retention period of a name
	limit     int           // maximum number of names; further ones are not added

	mu      sync.Mutex
	addedAt map[string]time.Time // guarded by mu
}

const (
	// nameBytes is the approximate memory of one name in a set, in bytes.
	nameBytes = 128

	// memoryDivisor is the n in the share 1/n of the process's memory that one set may take.
	memoryDivisor = 64
)

// newExpiringSet returns an empty set for a process that may use memoryBytes of memory.
func newExpiringSet(retention time.Duration, memoryBytes int64) *expiringSet {
	return &expiringSet{retention: retention, limit: int(memoryBytes / memoryDivisor / nameBytes), addedAt: map[string]time.Time{}}
}

// add adds a name, or restarts its retention period. A new name is dropped if the set is full.
func (s *expiringSet) add(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(name, now)
}

// addIfAbsent adds a name and returns true, unless the set contains it. It does not restart the retention
// period of a name in the set. It also returns true if it drops the name because the set is full.
func (s *expiringSet) addIfAbsent(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addedAt, ok := s.addedAt[name]; ok && now.Sub(addedAt) < s.retention {
		return false
	}
	s.put(name, now)
	return true
}

// count returns the number of names in the set.
func (s *expiringSet) count(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return len(s.addedAt)
}

// put implements add. The caller holds mu.
func (s *expiringSet) put(name string, now time.Time) {
	if _, ok := s.addedAt[name]; !ok && len(s.addedAt) >= s.limit {
		s.expire(now)
		if len(s.addedAt) >= s.limit {
			return
		}
	}
	s.addedAt[name] = now
}

// expire removes the names whose retention period has ended. The caller holds mu.
func (s *expiringSet) expire(now time.Time) {
	for name, addedAt := range s.addedAt {
		if now.Sub(addedAt) >= s.retention {
			delete(s.addedAt, name)
		}
	}
}
