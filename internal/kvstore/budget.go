package kvstore

import (
	"time"

	"golang.org/x/time/rate"
)

// Priority orders requests when the budget runs short.
type Priority int

// From what may go into debt to what waits first.
const (
	PriorityLease      Priority = iota // leadership: never held back here
	PriorityUser                       // submissions, cancellations, polls
	PriorityScheduling                 // starts and ends of jobs
	PriorityBackground                 // everything else
)

// reservedShare is the part of a second's rate that an urgency leaves to the more urgent.
// Starts alone can use up all there is while a few arrays run, and then users
// were refused at the node that leads (a quiet day of omaruru-fares-grown).
var reservedShare = [...]float64{PriorityScheduling: 0.25, PriorityBackground: 0.5}

// rateBudget bounds a rate, with one second's worth of burst. Urgent requests may
// overdraw it; the rest leaves a part to them.
type rateBudget struct{ *rate.Limiter }

func newRateBudget(perSecond float64) rateBudget {
	return rateBudget{rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

func (b rateBudget) setRate(perSecond float64) {
	b.SetLimit(rate.Limit(perSecond))
	b.SetBurst(max(1, int(perSecond)))
}

func (b rateBudget) take(n int, u Priority) bool {
	now := time.Now()
	if u == PriorityLease {
		b.ReserveN(now, n)
		return true
	}
	return n <= b.available(u) && b.AllowN(now, n)
}

// available returns how much the urgency may take now.
func (b rateBudget) available(u Priority) int {
	return max(0, int(b.Tokens()-reservedShare[u]*float64(b.Burst())))
}
