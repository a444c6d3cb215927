// Rate budgets: the node's share of the store's rate limits, divided by priority.

package kvstore

import (
	"time"

	"golang.org/x/time/rate"
)

// Priority determines which requests are refused first when the rate budget runs short.
type Priority int

// Priorities, in descending order. PriorityLease also applies to the records that a new leader reads.
// PriorityUser also applies to relayed heartbeats and commands, to reads of job records for users,
// and to the leader's reads of keys whose compares failed.
const (
	PriorityLease      Priority = iota // leadership, watches: never refused by the client, may overdraw
	PriorityUser                       // submissions, cancellations, polls: may use the whole budget
	PriorityScheduling                 // starts and ends of jobs
	PriorityBackground                 // everything else
)

// reservedShare is the fraction of one second's rate that each priority leaves to higher
// priorities. Guards against refused user requests on the leader: starts alone use up the rate
// while a few job arrays run (docs/records.md).
var reservedShare = [...]float64{PriorityScheduling: 0.25, PriorityBackground: 0.5}

// rateBudget is a token bucket that holds one second's rate, but at least one token. It is safe
// for concurrent use.
type rateBudget struct {
	limiter *rate.Limiter
}

func newRateBudget(perSecond float64) rateBudget {
	return rateBudget{rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
}

// burst returns the capacity of the bucket for a rate, in tokens. It is at least one, so that a
// rate below one a second still allows a request.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

func (b rateBudget) setRate(perSecond float64) {
	b.limiter.SetLimit(rate.Limit(perSecond))
	b.limiter.SetBurst(burst(perSecond))
}

// take takes n tokens and returns true, or takes none and returns false if fewer are available to
// the priority. It always returns true for PriorityLease.
func (b rateBudget) take(n int, priority Priority) bool {
	now := time.Now()
	if priority == PriorityLease {
		b.overdraw(n, now)
		return true
	}
	return b.allows(n, priority) && b.limiter.AllowN(now, n)
}

// overdraw takes n tokens, however few are available. The limiter takes nothing at all if more are
// requested at once than the bucket holds.
func (b rateBudget) overdraw(n int, now time.Time) {
	for n > 0 {
		part := min(n, b.limiter.Burst())
		b.limiter.ReserveN(now, part)
		n -= part
	}
}

// allows reports whether the priority may take n tokens now. It is always true for PriorityLease.
func (b rateBudget) allows(n int, priority Priority) bool {
	return priority == PriorityLease || n <= b.available(priority)
}

// available returns the number of tokens that the priority may take now.
func (b rateBudget) available(priority Priority) int {
	reserved := reservedShare[priority] * float64(b.limiter.Burst())
	return max(0, int(b.limiter.Tokens()-reserved))
}
