package controller

import (
	"strconv"
	"testing"
	"time"
)

// Names beyond what memory allows are not remembered; those that are stay, until their time is
// over. At 4,096 the list was once emptied, so that of 6,000 machines that came to a node
// which does not lead it told the leader of a few hundred.
func TestExpiringSetIsBoundedByMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newExpiringSet(10*time.Second, 125<<20)
	for i := range 6000 {
		s.add(strconv.Itoa(i), now)
	}
	if n := s.count(now); n != 6000 {
		t.Errorf("%d of 6000 names remembered", n)
	}
	if s.addIfAbsent("17", now.Add(9*time.Second)) {
		t.Error("forgotten before its time is over")
	}
	if !s.addIfAbsent("17", now.Add(10*time.Second)) || s.count(now.Add(10*time.Second)) != 1 {
		t.Error("remembered though its time is over")
	}
	for i := range 20_000 {
		s.add("more"+strconv.Itoa(i), now.Add(11*time.Second))
	}
	if n := s.count(now.Add(11 * time.Second)); n != s.limit || n > 16_000 {
		t.Errorf("%d names remembered, the limit is %d", n, s.limit)
	}
}
