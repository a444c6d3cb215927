package peer

import (
	"sync"

	"tulipshelf/internal/job"
)

// fakeNode is a Node with state that the test sets. It records what it receives from other controllers.
type fakeNode struct {
	// Fields to be set before the group is used and not changed afterwards.
	storeReachable bool
	gone           []job.AttemptID

	mu           sync.Mutex // guards the fields below
	redirected   int
	leader       string
	term         uint64
	changed      []string // jobs received by JobsChanged
	cancelled    []string // jobs received by JobsCancelled
	observedGone []job.AttemptID
}

func (n *fakeNode) Leadership() (leader string, term uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader, n.term
}

// ObserveLeadership ignores a term that is not above the highest known one, as Node requires.
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
