// The last answer of each other member, and the conclusions that a controller draws from it.

package peer

import (
	"sync"
	"time"
)

// observation is the content of a member's last answer to a heartbeat.
type observation struct {
	lastAnswered   time.Time // when the heartbeat that it answered last was sent
	lastLed        time.Time // the same of the last answer that named the member itself as leader; zero: none
	redirected     int       // number of agents that recently contacted it although it does not lead
	storeReachable bool      // whether the key-value store recently served the member
	runsGangs      bool      // whether the member's version runs gangs
}

// observations holds the last observation of each member. All methods are safe for concurrent use. The
// exported ones are promoted to Group.
type observations struct {
	members []Member // never changed

	mu       sync.Mutex             // guards the fields below
	started  time.Time              // start of sending heartbeats; zero: not started
	byMember map[string]observation // by node name in the answer; no entry before the first
}

func newObservations(members []Member) *observations {
	return &observations{members: members, byMember: map[string]observation{}}
}

// start records that sending of heartbeats begins now.
func (o *observations) start() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started = time.Now()
}

// record records a member's answer to a heartbeat that this controller sent at sentAt. A heartbeat that the
// member sent as a request must not be passed to record. Answers count from sentAt: the time of arrival may be
// long after that of the answer, if this process stood still in between.
//
// Guards against agents waiting for an unreachable leader until their leases expire, which has
// happened: a member's request may arrive as a late copy, so it does not show that the member is
// reachable.
func (o *observations) record(answer *Heartbeat, sentAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	member := o.byMember[answer.Node]
	member.lastAnswered = sentAt
	member.redirected = int(answer.Redirected)
	member.storeReachable = answer.Served
	member.runsGangs = answer.Gangs
	if answer.Leader == answer.Node {
		member.lastLed = sentAt
	}
	o.byMember[answer.Node] = member
}

// ReachableWithin reports whether a member has answered a heartbeat that was sent within the last d. A member that
// has never answered counts as having answered when this controller began to send heartbeats; before
// that it is not reachable.
func (o *observations) ReachableWithin(node string, d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := o.started
	if member, ok := o.byMember[node]; ok {
		last = member.lastAnswered
	}
	return time.Since(last) < d
}

// LeadingWithin reports whether a member has answered a heartbeat that was sent within the last d that it leads.
func (o *observations) LeadingWithin(node string, d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.byMember[node].lastLed) < d
}

// MostRedirected returns the largest number of redirected agents (see Node.Redirected) that any member
// reported in its last answer. Members that have not answered within the last d are left out; the
// result is 0 if none has.
func (o *observations) MostRedirected(d time.Duration) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	most := 0
	for _, member := range o.byMember {
		if time.Since(member.lastAnswered) < d {
			most = max(most, member.redirected)
		}
	}
	return most
}

// AllRunGangs reports whether every other member's last answer, however old, says that its version runs
// gangs. It returns false while a member has not answered.
func (o *observations) AllRunGangs() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.members {
		if !o.byMember[m.Node].runsGangs {
			return false
		}
	}
	return true
}

// StoreReachableByNone reports whether at least one member has answered within the last d, and none of
// the members that have answered within it was served by the key-value store.
func (o *observations) StoreReachableByNone(d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	anyAnswered := false
	for _, member := range o.byMember {
		if time.Since(member.lastAnswered) >= d {
			continue
		}
		if member.storeReachable {
			return false
		}
		anyAnswered = true
	}
	return anyAnswered
}
