package kvstore

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"tulipshelf/internal/wire"
)

// Watch waits up to wait for changes of keys that begin with prefix, after the
// given revision, and returns them with the revision they reach to.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	c.requestBudget.take(1, PriorityLease)
	ctx, cancel := context.WithTimeout(ctx, wait+2*time.Second)
	defer cancel()
	return c.changes(ctx, prefix, after, wait)
}

// Changes returns the changes of keys that begin with prefix after the given
// revision, at once: a linearizable read, as the revision they reach to is the
// service's own.
func (c *Client) Changes(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error) {
	if !c.requestBudget.take(1, PriorityUser) {
		return nil, 0, ErrRateLimited
	}
	return c.changes(ctx, prefix, after, 0)
}

func (c *Client) changes(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	var out struct {
		Rev    uint64  `cbor:"epoch"`
		Events []Event `cbor:"events"`
	}
	q := "/changes?starts=" + prefix + "&after=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	err := c.do(ctx, "GET", q, nil, &out)
	if errors.Is(err, wire.ErrTooLarge) {
		return nil, 0, fmt.Errorf("%w: %w", ErrCompacted, err)
	}
	if err != nil {
		return nil, 0, err
	}
	return out.Events, out.Rev, nil
}
