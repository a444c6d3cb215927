// Reads of keys, and transactions.

package kvstore

import (
	"context"
	"errors"
	"strconv"

	"tulipshelf/internal/wire"
)

// Get reads one key. The error is ErrNotFound if the key does not exist.
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

// List reads up to limit keys that begin with prefix and sort after the key given as after. If
// after is "", it starts at the first key.
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

// Txn applies all mutations if all compares hold, and otherwise none. It returns the revision of
// the transaction, which becomes the revision of the keys that it put. If compares fail the error
// is a *ConflictError. After ErrUnknown the transaction may have been applied. If not, it may
// still be applied later, unless a key that it compares has changed.
func (c *Client) Txn(ctx context.Context, compares []Compare, mutations []Mutation, priority Priority) (uint64, error) {
	if !c.takeForTransaction(len(mutations), priority) {
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

// takeForTransaction takes the tokens of a transaction from both budgets and returns true, or returns
// false if one of them has too few available to the priority.
//
// Guards against polls that are refused because submissions are: a transaction that the budget of
// mutations refuses is not sent, and must take nothing from the budget of requests.
func (c *Client) takeForTransaction(mutations int, priority Priority) bool {
	if !c.writeBudget.allows(mutations, priority) {
		return false
	}
	return c.requestBudget.take(1, priority) && c.writeBudget.take(mutations, priority)
}

// reportRefusal calls OnRefused, unless that is nil.
func (c *Client) reportRefusal(tooLarge bool) {
	if c.OnRefused != nil {
		c.OnRefused(tooLarge)
	}
}
