package cancellation

import (
	"slices"
	"time"
)

// Times of the argument.
const (
	heldFor = 1500 * time.Millisecond // for which a controller that has answered is taken to hold what it was told
	margin  = 2 * heldFor             // by which a process must have begun before what it is asked to account for
)

// peer is what another controller's last answer says.
type peer struct {
	sent  time.Time // when it was asked
	since time.Time // its memory began no later
	seq   uint64    // it holds what was learnt here up to that number
}

// MergeRead takes all cancelled jobs from a read of the records that was sent at asOf.
func (r *Register) MergeRead(ids []string, asOf time.Time) (news []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	news = r.note(ids, time.Now())
	if asOf.After(r.since) {
		r.advance(asOf)
	}
	return news
}

// Staleness tells how long ago all cancellations told until then were known.
func (r *Register) Staleness() (d time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return age(time.Now(), r.asOf), !r.asOf.IsZero()
}

// Statement is what one controller tells another of its register.
type Statement struct {
	Jobs     []string
	Sequence uint64        // the number of the last one learnt
	Memory   time.Duration // for how long it has remembered
	Age      time.Duration // how long ago it knew all that was told until then
	Knows    bool          // whether it ever did
}

// State returns what to tell other controllers.
func (r *Register) State() Statement {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.expire(now)
	s := Statement{Jobs: make([]string, 0, len(r.jobs)), Sequence: r.seq, Memory: now.Sub(r.since), Age: age(now, r.asOf), Knows: !r.asOf.IsZero()}
	for id := range r.jobs {
		s.Jobs = append(s.Jobs, id)
	}
	return s
}

// MergeAnswer takes the answer of another controller to what was told it, up to seq, by a
// request sent at sent: it holds that now, and theirs is what it said.
func (r *Register) MergeAnswer(node string, seq uint64, sent time.Time, theirs Statement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.note(theirs.Jobs, now)
	r.peers[node] = peer{sent: sent, since: now.Add(-theirs.Memory), seq: seq}
	if theirs.Knows {
		r.advance(sent.Add(-theirs.Age))
	}
	// With this controller's own memory, where it reaches back, the latest times at which
	// a majority was heard that accounts for all since asOf.
	if r.asOf.IsZero() {
		return
	}
	var heard []time.Time
	accounts := func(since time.Time) bool { return !since.After(r.asOf.Add(-margin)) }
	if accounts(r.since) {
		heard = append(heard, now)
	}
	for _, p := range r.peers {
		if accounts(p.since) {
			heard = append(heard, p.sent)
		}
	}
	if len(heard) < r.majority {
		return
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	r.advance(heard[r.majority-1])
}

func (r *Register) advance(to time.Time) {
	if to.After(r.asOf) {
		r.asOf = to
	}
}

// HeldByMajority tells whether a majority of the controllers, this one included, holds a job's
// cancellation, by what they have answered lately.
func (r *Register) HeldByMajority(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.jobs[id]
	if !ok {
		return false
	}
	holders, now := 1, time.Now()
	for _, p := range r.peers {
		if p.seq >= e.seq && age(now, p.sent) < heldFor {
			holders++
		}
	}
	return holders >= r.majority
}
