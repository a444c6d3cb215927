// Reads of keys, and transactions.

package kvstore

import (
	"context"
	"errors"
	"strconv"

	"tulipshelf/internal/wire"
)

// Get reads one key. The error is ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, key string, priority Priority) (Item, error) {
	if !c.requestBudget.take(1, priority) {
		return Item{}, ErrRateLimited
	}
	var item Item
	if err := c.do(ctx, request{method: wire.MethodGet, target: "/keys/" + key}, &item); err != nil {
		return Item{}, err
	}
	return item, nil
}

// List reads up to limit keys that begin with prefix and come after the key named after; ""
// begins with the first.
func (c *Client) List(ctx context.Context, prefix, after string, limit int, priority Priority) (Page, error) {
	if !c.requestBudget.take(1, priority) {
		return Page{}, ErrRateLimited
	}
	target := "/keys?starts=" + prefix + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		target += "&after=" + after
	}
	var page Page
	if err := c.do(ctx, request{method: wire.MethodGet, target: target}, &page); err != nil {
		return Page{}, err
	}
	return page, nil
}

// Txn applies all mutations if all compares hold, and none else. It returns the revision that
// the keys have by it. If compares fail the error is a *ConflictError. After ErrUnknown the
// transaction may be applied yet, unless a key that it compares has changed.
func (c *Client) Txn(ctx context.Context, compares []Compare, mutations []Mutation, priority Priority) (uint64, error) {
	if !c.requestBudget.take(1, priority) || !c.writeBudget.take(len(mutations), priority) {
		return 0, ErrRateLimited
	}
	body := wire.Marshal(transactionRequest{Compares: compares, Mutations: mutations})
	var out transactionResponse
	err := c.do(ctx, request{method: wire.MethodPost, target: "/txn", body: body}, &out)
	switch {
	case err == nil:
		return out.Revision, nil
	case errors.Is(err, errConflict):
		return 0, &ConflictError{Keys: out.Failed}
	case errors.Is(err, errThrottled):
		c.reportRefusal(false)
	case errors.Is(err, ErrRejected):
		c.reportRefusal(true)
	}
	return 0, err
}

func (c *Client) reportRefusal(tooLarge bool) {
	if c.OnRefused != nil {
		c.OnRefused(tooLarge)
	}
}
