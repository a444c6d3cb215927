// Watches: what has changed since a revision.

package kvstore

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"tulipshelf/internal/wire"
)

// watchGrace is how much longer than its wait a watch may take to be answered.
const watchGrace = 2 * time.Second

// Watch waits up to wait for changes of keys that begin with prefix, after the given
// revision. It returns them, none if none came, with the revision that they reach to, from
// which the next watch goes on. It never waits for the budget, as the election's watch
// hangs on it. The error is ErrCompacted if the changes cannot be had any more.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	c.requestBudget.take(1, PriorityLease)
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	out, err := c.changes(ctx, prefix, after, wait)
	return out.Events, out.Revision, err
}

// Changes returns at once the changes of keys that begin with prefix after the given
// revision, with the revision that they reach to. It is a linearizable read, as that
// revision is the store's own. The error is ErrCompacted if the changes cannot be had any
// more.
func (c *Client) Changes(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error) {
	if !c.requestBudget.take(1, PriorityUser) {
		return nil, 0, ErrRateLimited
	}
	out, err := c.changes(ctx, prefix, after, 0)
	return out.Events, out.Revision, err
}

// changes asks for changes and waits up to wait for the first. A response that is too large
// counts as ErrCompacted: a node that has fallen behind would ask for the same changes over
// and over, until the store no longer keeps them (TestChangesTooOldOrTooMany).
func (c *Client) changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (changesResponse, error) {
	target := "/changes?starts=" + prefix +
		"&after=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var out changesResponse
	err := c.do(ctx, request{method: wire.MethodGet, target: target}, &out)
	if errors.Is(err, wire.ErrTooLarge) {
		err = fmt.Errorf("%w: %w", ErrCompacted, err)
	}
	if err != nil {
		return changesResponse{}, err
	}
	return out, nil
}
