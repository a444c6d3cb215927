package peer

import (
	"sync"

	"tulipshelf/internal/job"
)

// fakeNode is a controller that says what a test has set, and keeps what others have said.
type fakeNode struct {
	// Set before the group is used.
	storeReachable bool
	gone           []job.AttemptID

	mu           sync.Mutex // guards the fields below
	redirected   int
	leader       string
	term         uint64
	changed      []string // jobs
	cancelled    []string // jobs
	observedGone []job.AttemptID
}

func (n *fakeNode) Leadership() (leader string, term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader, n.term
}

// ObserveLeadership follows the rule that Node states: only a higher term counts.
func (n *fakeNode) ObserveLeadership(leader string, term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if term > n.term {
		n.leader, n.term = leader, term
	}
}

func (n *fakeNode) JobsChanged(jobs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.changed = append(n.changed, jobs...)
}

func (n *fakeNode) setRedirected(agents int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.redirected = agents
}

func (n *fakeNode) Redirected() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.redirected
}

func (n *fakeNode) StoreReachable() bool { return n.storeReachable }

func (n *fakeNode) JobsCancelled(jobs []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cancelled = append(n.cancelled, jobs...)
}

func (n *fakeNode) ConfirmedGone() []job.AttemptID { return n.gone }

func (n *fakeNode) ObserveConfirmedGone(attempts []job.AttemptID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.observedGone = append(n.observedGone, attempts...)
}
