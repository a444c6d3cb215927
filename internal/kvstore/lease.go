// Leases. Their requests have PriorityLease, as leadership hangs on them.

package kvstore

import (
	"context"
	"strconv"
	"time"

	"tulipshelf/internal/wire"
)

// Grant opens a lease that expires after ttl, in whole milliseconds, unless it is extended.
// The keys that are put on it end with it.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	c.requestBudget.take(1, PriorityLease)
	body := wire.Marshal(grantRequest{TTLMS: ttl.Milliseconds()})
	var out grantResponse
	err := c.do(ctx, request{method: wire.MethodPost, target: "/leases", body: body}, &out)
	return out.Lease, err
}

// Extend gives a lease its full time again. The error is ErrNotFound if it has expired or was
// revoked.
func (c *Client) Extend(ctx context.Context, lease uint64) error {
	c.requestBudget.take(1, PriorityLease)
	return c.do(ctx, request{method: wire.MethodPost, target: leasePath(lease) + "/extend"}, nil)
}

// Revoke ends a lease at once, with its keys. The error is ErrNotFound if it has ended
// already.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	c.requestBudget.take(1, PriorityLease)
	return c.do(ctx, request{method: wire.MethodDelete, target: leasePath(lease)}, nil)
}

func leasePath(lease uint64) string { return "/leases/" + strconv.FormatUint(lease, 10) }
