package cancellation

import (
	"sync"
	"time"
)

const (
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
