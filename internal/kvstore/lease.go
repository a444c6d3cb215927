package kvstore

import (
	"context"
	"strconv"
	"time"

	"tulipshelf/internal/wire"
)

// Grant opens a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	c.requestBudget.take(1, PriorityLease)
	var out struct {
		Lease uint64 `cbor:"hold"`
	}
	err := c.do(ctx, "POST", "/leases", wire.Marshal(map[string]int64{"ttl_ms": ttl.Milliseconds()}), &out)
	return out.Lease, err
}

// Extend renews a lease; ErrNotFound says that it has ended.
func (c *Client) Extend(ctx context.Context, lease uint64) error {
	c.requestBudget.take(1, PriorityLease)
	return c.do(ctx, "POST", "/leases/"+strconv.FormatUint(lease, 10)+"/extend", nil, nil)
}

// Revoke ends a lease at once.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	c.requestBudget.take(1, PriorityLease)
	return c.do(ctx, "DELETE", "/leases/"+strconv.FormatUint(lease, 10), nil, nil)
}
