// Package cancellation keeps what one controller knows of cancelled jobs, and until
// when it knows of all of them. Two things rest on it: a user is told of a cancellation
// only once most controllers hold it in memory, and a worker's lease is prolonged only
// by one that knows all cancellations told long enough ago. So those of which users
// were told are known for as long as tasks of theirs can run, also where the state
// service serves nobody and the controller that told has ended.
//
// The argument, with n controllers of which a majority is m: a cancellation told at c
// was held by m processes shortly before c. Whoever has heard m processes that all
// began before then, each at s or later, has heard one that held it, for every c up to
// s. What was told before is known by induction, from a read of the records or from a
// controller that knew.
package cancellation

import (
	"slices"
	"sync"
	"time"
)

// Times of the argument.
const (
	heldFor = 1500 * time.Millisecond // for which a controller that has answered is taken to hold what it was told
	margin  = 2 * heldFor             // by which a process must have begun before what it is asked to account for

	// beyond is for how long a cancellation is kept after its tasks must be gone: it
	// may be learnt before it is told, and told long before it is learnt elsewhere.
	beyond = 15 * time.Second
)

// maxKept bounds the register to what one message between controllers carries.
const maxKept = 4096

// Register is safe for concurrent use.
type Register struct {
	majority int
	keep     time.Duration

	mu    sync.Mutex
	jobs  map[string]entry
	seq   uint64
	since time.Time // when this memory begins
	asOf  time.Time // all that was told until then is known; zero: nothing is
	peers map[string]peer
}

type entry struct {
	seq uint64
	at  time.Time // when it was learnt
}

// peer is what another controller's last answer says.
type peer struct {
	sent  time.Time // when it was asked
	since time.Time // its memory began no later
	seq   uint64    // it holds what was learnt here up to that number
}

// New returns an empty register of one of so many controllers. Tasks of cancelled
// jobs must be gone within limit.
func New(controllers int, limit time.Duration) *Register {
	return &Register{majority: controllers/2 + 1, keep: limit + beyond,
		jobs: map[string]entry{}, peers: map[string]peer{}, since: time.Now()}
}

// Add takes jobs that are cancelled, durably, and returns those that are news.
func (r *Register) Add(ids ...string) (news []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.note(ids, time.Now())
}

func (r *Register) note(ids []string, now time.Time) (news []string) {
	for _, id := range ids {
		if _, known := r.jobs[id]; known {
			continue
		}
		if len(r.jobs) >= maxKept {
			r.expire(now)
		}
		if len(r.jobs) >= maxKept {
			// It can account for nothing any more, as a process that has just begun.
			r.jobs, r.since, r.asOf = map[string]entry{}, now, time.Time{}
		}
		r.seq++
		r.jobs[id] = entry{r.seq, now}
		news = append(news, id)
	}
	return news
}

func (r *Register) expire(now time.Time) {
	for id, e := range r.jobs {
		if age(now, e.at) >= r.keep {
			delete(r.jobs, id)
		}
	}
}

// age is the longer of what the steady clock and the time of day say, so that a process
// which stood still while one of them did counts what it has missed.
func age(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// Contains tells whether a job is known to be cancelled.
func (r *Register) Contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.jobs[id]
	return ok
}

// LearnedBefore returns the jobs learnt at least d ago and still kept.
func (r *Register) LearnedBefore(d time.Duration) (ids []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, e := range r.jobs {
		if age(now, e.at) >= d {
			ids = append(ids, id)
		}
	}
	return ids
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
