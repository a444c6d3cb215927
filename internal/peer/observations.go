// What the other members said last, and what a controller concludes from it.

package peer

import (
	"sync"
	"time"
)

// observation is what a member said in its last answer to a heartbeat.
type observation struct {
	lastAnswered   time.Time // when the answer came
	lastLed        time.Time // when an answer last said that the member itself leads; zero: none did
	redirected     int       // agents that have lately come to it though it does not lead
	storeReachable bool      // whether the key-value store serves it
	runsGangs      bool      // whether its version runs gangs
}

// observations is the last observation of each member. All methods are safe for concurrent use;
// those that are exported are methods of Group.
type observations struct {
	members []Member // never changed

	mu       sync.Mutex             // guards the fields below
	started  time.Time              // when this controller began to send heartbeats; zero: not yet
	byMember map[string]observation // by the name that the member gives itself; none before its first answer
}

func newObservations(members []Member) *observations {
	return &observations{members: members, byMember: map[string]observation{}}
}

// start notes that heartbeats are sent from now on.
func (o *observations) start() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started = time.Now()
}

// record takes a member's answer to a heartbeat of this controller.
//
// It must see nothing else. A heartbeat that another member sends may be a late copy: taken for a
// sign of life, it kept agents waiting for a leader that could not be reached until their
// leases expired.
func (o *observations) record(answer *Heartbeat) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	member := o.byMember[answer.Node]
	member.lastAnswered = now
	member.redirected = int(answer.Redirected)
	member.storeReachable = answer.Served
	member.runsGangs = answer.Gangs
	if answer.Leader == answer.Node {
		member.lastLed = now
	}
	o.byMember[answer.Node] = member
}

// ReachableWithin reports whether a member has answered a heartbeat within d. One that has never
// answered counts as having done so when this controller began to send heartbeats.
func (o *observations) ReachableWithin(node string, d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last := o.started
	if member, ok := o.byMember[node]; ok {
		last = member.lastAnswered
	}
	return time.Since(last) < d
}

// LeadingWithin reports whether a member has said within d that it leads.
func (o *observations) LeadingWithin(node string, d time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Since(o.byMember[node].lastLed) < d
}

// MostRedirected returns the largest number of agents that have come to one of the members though
// it does not lead, of those members that have answered within d.
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

// AllRunGangs reports whether every other member has said that its version runs gangs.
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

// StoreServesNobody reports whether members have answered within d and the key-value store serves
// none of them.
func (o *observations) StoreServesNobody(d time.Duration) bool {
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
