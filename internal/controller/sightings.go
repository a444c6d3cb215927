package controller

import (
	"sync"
	"time"
)

// sightings remembers when names were last seen, for a while. It is safe for concurrent use.
type sightings struct {
	keep  time.Duration // for which a name is remembered
	limit int           // of names; above it new ones are not remembered

	mu   sync.Mutex
	last map[string]time.Time
}

// sightingBytes is about what remembering a name takes, and sightingShare the part of the
// process's memory, one in so many, that one list of names may take: 15,000 names of 125 MB.
const (
	sightingBytes = 128
	sightingShare = 64
)

func newSightings(keep time.Duration, memory int64) *sightings {
	return &sightings{keep: keep, limit: int(memory / sightingShare / sightingBytes), last: map[string]time.Time{}}
}

// note remembers that a name is seen now.
func (s *sightings) note(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(name, now)
}

// noteUnlessSeen remembers that a name is seen now and returns true, if it is not remembered.
func (s *sightings) noteUnlessSeen(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.last[name]; ok && now.Sub(at) < s.keep {
		return false
	}
	s.put(name, now)
	return true
}

// count returns how many names are remembered.
func (s *sightings) count(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	return len(s.last)
}

func (s *sightings) put(name string, now time.Time) {
	if _, ok := s.last[name]; !ok && len(s.last) >= s.limit {
		s.expire(now)
		if len(s.last) >= s.limit {
			return
		}
	}
	s.last[name] = now
}

func (s *sightings) expire(now time.Time) {
	for name, at := range s.last {
		if now.Sub(at) >= s.keep {
			delete(s.last, name)
		}
	}
}
