// Leases. Their requests have PriorityLease, as leadership depends on them.

package kvstore

import (
	"context"
	"strconv"
	"time"

	"tulipshelf/internal/wire"
)

// Grant creates a lease that expires after ttl, truncated to whole milliseconds, unless it is
// extended. It returns the lease's ID. The store deletes the keys attached to the lease
// (Mutation.Lease) when the lease ends.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	c.requestBudget.take(1, PriorityLease)
	body := wire.Marshal(grantRequest{TTLMS: ttl.Milliseconds()})
	var out grantResponse
	err := c.do(ctx, request{method: wire.MethodPost, target: "/leases", body: body}, &out)
	return out.Lease, err
}

// Extend renews a lease for its full time-to-live. The error is ErrNotFound if the lease has
// expired or was revoked.
func (c *Client) Extend(ctx context.Context, lease uint64) error {
	c.requestBudget.take(1, PriorityLease)
	return c.do(ctx, request{method: wire.MethodPost, target: leasePath(lease) + "/extend"}, nil)
}

// Revoke ends a lease at once and deletes the keys attached to it. The error is ErrNotFound if the
// lease has already ended.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	c.requestBudget.take(1, PriorityLease)
	return c.do(ctx, request{method: wire.MethodDelete, target: leasePath(lease)}, nil)
}

func leasePath(lease uint64) string { return "/leases/" + strconv.FormatUint(lease, 10) }
