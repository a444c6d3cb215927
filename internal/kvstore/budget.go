// The share of the store's rates that one node uses, and who goes first when it runs short.

package kvstore

import (
	"time"

	"golang.org/x/time/rate"
)

// Priority orders requests when the budget runs short.
type Priority int

// Priorities, the most urgent first.
const (
	PriorityLease      Priority = iota // leadership: never refused by the client, it overdraws the budget
	PriorityUser                       // submissions, cancellations, polls: may use all of the budget
	PriorityScheduling                 // starts and ends of jobs
	PriorityBackground                 // everything else
)

// reservedShare is the part of a second's rate that a priority leaves to the more urgent
// ones. Without it starts alone use up the rate while a few job arrays run, and users are
// refused at the node that leads (docs/records.md).
var reservedShare = [...]float64{PriorityScheduling: 0.25, PriorityBackground: 0.5}

// rateBudget is a token bucket that holds one second's worth. It is safe for concurrent use.
type rateBudget struct {
	limiter *rate.Limiter
}

func newRateBudget(perSecond float64) rateBudget {
	return rateBudget{rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
}

// burst returns how many tokens the bucket of a rate holds. One request at least has to fit.
func burst(perSecond float64) int { return max(1, int(perSecond)) }

func (b rateBudget) setRate(perSecond float64) {
	b.limiter.SetLimit(rate.Limit(perSecond))
	b.limiter.SetBurst(burst(perSecond))
}

// take takes n tokens and reports whether the priority may have them.
func (b rateBudget) take(n int, priority Priority) bool {
	now := time.Now()
	if priority == PriorityLease {
		b.limiter.ReserveN(now, n)
		return true
	}
	return n <= b.available(priority) && b.limiter.AllowN(now, n)
}

// available returns how many tokens the priority may take now.
func (b rateBudget) available(priority Priority) int {
	reserved := reservedShare[priority] * float64(b.limiter.Burst())
	return max(0, int(b.limiter.Tokens()-reserved))
}
