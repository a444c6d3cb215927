// Watches: the changes of keys since a revision.

package kvstore

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"tulipshelf/internal/wire"
)

// watchGrace is the time allowed for the response to a watch, beyond the wait that it requests.
const watchGrace = 2 * time.Second

// Watch waits up to wait for changes of keys that begin with prefix, after the given revision. It
// returns the changes, or none if there were none, and the revision that they reach, from which
// the next watch continues. The rate budget never refuses it, as leader election depends on a
// watch. The error is ErrCompacted if the store cannot return the changes; list the keys again.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error) {
	c.requestBudget.take(1, PriorityLease)
	ctx, cancel := context.WithTimeout(ctx, wait+watchGrace)
	defer cancel()
	out, err := c.changes(ctx, prefix, after, wait)
	return out.Events, out.Revision, err
}

// Changes returns at once the changes of keys that begin with prefix after the given revision, and
// the revision that they reach. That is the store's own revision, so the read is linearizable. The
// error is ErrCompacted if the store cannot return the changes; list the keys again.
func (c *Client) Changes(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error) {
	if !c.requestBudget.take(1, PriorityUser) {
		return nil, 0, ErrRateLimited
	}
	out, err := c.changes(ctx, prefix, after, 0)
	return out.Events, out.Revision, err
}

// changes requests changes and waits up to wait for the first. The error for a response over
// maxResponseBytes wraps ErrCompacted. Guards against useless retries: a node that has fallen
// behind would request the same changes again and again, until the store no longer keeps them
// (TestChangesTooOldOrTooMany).
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
