package leader

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"tulipshelf/internal/clock"
	"tulipshelf/internal/cloud"
)

// Intervals of the conversation with the cloud.
const (
	scalingInterval    = 500 * time.Millisecond
	maxScalingInterval = 5 * time.Second // while the cloud does not serve
	minListInterval    = 2 * time.Second
)

// cloudSession is the conversation with the cloud. It belongs to the goroutine of scaler.run.
type cloudSession struct {
	*environment

	lastList   time.Time
	listLength int            // of the last list
	pending    []cloud.Rental // asked for, and not answered for certain
	interval   time.Duration  // grows while the cloud does not serve
}

// run lists machines, returns and rents them until ctx ends.
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

// listIfDue lists the machines now and then. It returns false if the cloud did not serve.
func (c *cloudSession) listIfDue(ctx context.Context) bool {
	listInterval := max(minListInterval, c.Settings.Cloud.ListLag/2, c.Cloud.ListInterval(c.listLength))
	if time.Since(c.lastList) < listInterval {
		return true
	}
	requestedAt := time.Now()
	c.lastList = requestedAt
	machines, err := c.Cloud.List(ctx)
	if err != nil {
		slog.Debug("machines not listed", "err", err)
		return false
	}
	c.listLength = len(machines)
	c.loop.submit(machinesListed{machines, requestedAt})
	return true
}

// carryOutPlan has the event loop decide, returns machines and queues rentals. It returns false if
// the cloud did not serve.
func (c *cloudSession) carryOutPlan(ctx context.Context) bool {
	request := &planRequested{}
	if !c.loop.call(ctx, request) {
		return true
	}
	c.pending = append(c.pending, request.plan.rentals...)
	names := request.plan.returns
	if len(names) == 0 {
		return true
	}
	if err := c.Cloud.Return(ctx, names); err != nil {
		slog.Debug("machines not returned", "machines", names, "err", err)
		return false
	}
	c.loop.submit(machinesReturned{names})
	return true
}

// planRequested asks the event loop for a scaling plan.
type planRequested struct{ plan scalingPlan }

func (e *planRequested) apply(l *Leader) { e.plan = l.scaler.plan(time.Now()) }

// rentPending asks for the pending rentals. Those without a certain answer stay pending under the
// same name, so that nothing is rented twice. It returns false if there are any.
func (c *cloudSession) rentPending(ctx context.Context) bool {
	var unanswered []cloud.Rental
	for _, rental := range c.pending {
		names, err := c.Cloud.Rent(ctx, rental)
		if err != nil && !errors.Is(err, cloud.ErrNoCapacity) {
			slog.Debug("rental not answered", "request", rental.Name, "err", err)
			unanswered = append(unanswered, rental)
			continue
		}
		c.loop.submit(machinesRented{rental, names})
	}
	c.pending = unanswered
	return len(unanswered) == 0
}

// adjustInterval backs off while the cloud does not serve.
func (c *cloudSession) adjustInterval(succeeded bool) {
	if succeeded {
		c.interval = scalingInterval
		return
	}
	if c.interval == scalingInterval {
		slog.Info("cloud does not serve", "pending", len(c.pending))
	}
	c.interval = min(2*c.interval, maxScalingInterval)
}
