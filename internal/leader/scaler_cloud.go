package leader

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/cloud"
	"tulipshelf/internal/leadership"
)

// Intervals of the requests to the cloud.
const (
	scalingInterval    = 500 * time.Millisecond // mean delay between rounds of requests
	maxScalingInterval = 5 * time.Second        // upper bound of the same while requests fail
	minListInterval    = 2 * time.Second        // least time between two lists
)

// cloudSession holds the state of the requests to the cloud. Only the goroutine of scaler.run uses it.
type cloudSession struct {
	*environment

	lastList   time.Time      // when the list was last requested; zero: never
	listLength int            // machines in the last list received
	pending    []cloud.Rental // rentals to request, without a definite response so far
	interval   time.Duration  // mean delay between rounds; grows while requests fail
}

// run lists, returns and rents machines, round by round, until ctx ends.
func (s *scaler) run(ctx context.Context) {
	session := &cloudSession{environment: s.environment, interval: scalingInterval}
	for ctx.Err() == nil {
		listed := session.listIfDue(ctx)
		returned := session.carryOutPlan(ctx)
		rented := session.rentPending(ctx)
		session.adjustInterval(listed && returned && rented)
		clock.Sleep(ctx, session.interval*3/4+rand.N(session.interval/2))
	}
}

// listIfDue requests the list of machines if the list interval has passed. It returns false if the
// request failed.
func (c *cloudSession) listIfDue(ctx context.Context) bool {
	listInterval := max(minListInterval, c.Settings.Cloud.ListLag/2, c.Cloud.ListInterval(c.listLength))
	if time.Since(c.lastList) < listInterval {
		return true
	}
	requestedAt := time.Now()
	c.lastList = requestedAt
	machines, err := c.Cloud.List(ctx)
	if err != nil {
		slog.Debug("request for the list of machines failed", "err", err)
		return false
	}
	c.listLength = len(machines)
	c.loop.submit(machinesListed{machines, requestedAt})
	return true
}

// carryOutPlan gets a scaling plan from the event loop, requests the return of the plan's machines and
// queues its rentals. It returns false if the request to the cloud failed, and true without a plan.
func (c *cloudSession) carryOutPlan(ctx context.Context) bool {
	request := &planRequested{}
	if !c.loop.call(ctx, request) {
		return true
	}
	c.pending = append(c.pending, request.plan.rentals...)
	names := request.plan.returns
	if len(names) == 0 || request.plan.unconfirmed && !c.mayStillLead(ctx) {
		return true
	}
	if err := c.Cloud.Return(ctx, names); err != nil {
		slog.Debug("return of machines failed; retrying", "machines", names, "err", err)
		return false
	}
	c.loop.submit(machinesReturned{names})
	return true
}

// Limits of mayStillLead.
const (
	// confirmTimeout limits the questions whether another controller leads.
	confirmTimeout = 2 * time.Second

	// maxConfirmTime is the time for which the questions take at most if this process does not stand still
	// meanwhile.
	maxConfirmTime = confirmTimeout + time.Second
)

// mayStillLead asks the other controllers and the key-value store whether another controller leads. Whoever does
// not answer changes nothing: cancelled tasks have to end also if no other controller is left. It asks only once the
// cloud has answered, and takes no answer as such only if this process did not stand still: a question just before
// the end of a cut or a pause gets no answer either.
//
// Guards against healthy machines that are returned by old knowledge: this leader may have stood still, or was cut
// off, while its successor stopped the cancelled tasks (docs/incidents/returned-by-old-knowledge.md).
func (c *cloudSession) mayStillLead(ctx context.Context) bool {
	if _, err := c.Cloud.Catalog(ctx); err != nil {
		return false
	}
	began := time.Now()
	asking, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	c.Node.AskControllers(asking)
	if err := c.term.ConfirmNotDeposed(asking); errors.Is(err, leadership.ErrDeposed) {
		return false
	}
	return ctx.Err() == nil && clock.Elapsed(time.Now(), began) <= maxConfirmTime
}

// planRequested is the event that a scaling plan is needed.
type planRequested struct{ plan scalingPlan } // the response, set by apply

func (e *planRequested) apply(l *Leader) { e.plan = l.scaler.plan(time.Now()) }

// rentPending requests the pending rentals. A rental without a definite response stays pending under the
// same name, so that no machine is rented twice. It returns false if any rental stays pending.
//
// A rental that the cloud refuses as malformed counts as answered without machines. Guards against a leader
// that rents nothing any more, as nothing else is rented while a rental is unanswered
// (docs/incidents/refused-rental-repeated.md).
func (c *cloudSession) rentPending(ctx context.Context) bool {
	var unanswered []cloud.Rental
	for _, rental := range c.pending {
		names, err := c.Cloud.Rent(ctx, rental)
		switch {
		case err == nil, errors.Is(err, cloud.ErrNoCapacity):
		case cloud.IsMalformed(err):
			slog.Error("rental refused by the cloud as malformed", "request", rental.Name, "type", rental.Type, "zone", rental.Zone, "err", err)
		default:
			slog.Debug("rental without a definite response; retrying", "request", rental.Name, "err", err)
			unanswered = append(unanswered, rental)
			continue
		}
		c.loop.submit(machinesRented{rental, names})
	}
	c.pending = unanswered
	return len(unanswered) == 0
}

// adjustInterval doubles the interval, up to maxScalingInterval, after a round in which a request to the
// cloud failed, and resets it after any other.
func (c *cloudSession) adjustInterval(succeeded bool) {
	if succeeded {
		c.interval = scalingInterval
		return
	}
	if c.interval == scalingInterval {
		slog.Info("request to the cloud failed; retrying at longer intervals", "pending", len(c.pending))
	}
	c.interval = min(2*c.interval, maxScalingInterval)
}
