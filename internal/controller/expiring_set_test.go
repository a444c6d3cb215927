package controller

import (
	"strconv"
	"testing"
	"time"
)

// Guards against undercounts of the machines that a controller redirects: the set was once emptied whenever
// it held 4,096 names, so that of 6,000 machines a controller that did not lead reported a few hundred.
// Names stay for their retention period, and new ones are dropped only above the limit that memory allows.
func TestExpiringSetIsBoundedByMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newExpiringSet(10*time.Second, 125<<20)
	for i := range 6000 {
		s.add(strconv.Itoa(i), now)
	}
	if n := s.count(now); n != 6000 {
		t.Errorf("the set has %d names, want 6000", n)
	}
	if s.addIfAbsent("17", now.Add(9*time.Second)) {
		t.Error("name expired before the end of its retention period")
	}
	if !s.addIfAbsent("17", now.Add(10*time.Second)) || s.count(now.Add(10*time.Second)) != 1 {
		t.Error("name still in the set after its retention period")
	}
	for i := range 20_000 {
		s.add("more"+strconv.Itoa(i), now.Add(11*time.Second))
	}
	if n := s.count(now.Add(11 * time.Second)); n != s.limit || n > 16_000 {
		t.Errorf("the set has %d names, want its limit %d, at most 16000", n, s.limit)
	}
}
