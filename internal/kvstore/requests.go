package kvstore

import (
	"context"
	"errors"
	"strconv"

	"tulipshelf/internal/wire"
)

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string, u Priority) (Item, error) {
	if !c.requestBudget.take(1, u) {
		return Item{}, ErrRateLimited
	}
	var it Item
	if err := c.do(ctx, "GET", "/keys/"+key, nil, &it); err != nil {
		return Item{}, err
	}
	return it, nil
}

// List reads up to limit keys that begin with prefix, behind after.
func (c *Client) List(ctx context.Context, prefix, after string, limit int, u Priority) (Page, error) {
	if !c.requestBudget.take(1, u) {
		return Page{}, ErrRateLimited
	}
	q := "/keys?starts=" + prefix + "&limit=" + strconv.Itoa(limit)
	if after != "" {
		q += "&after=" + after
	}
	var p Page
	if err := c.do(ctx, "GET", q, nil, &p); err != nil {
		return Page{}, err
	}
	return p, nil
}

const transactionPath = "/txn"

// Txn applies ops if all conditions hold and returns the revision of the
// change. A failed condition gives a *ConflictError.
func (c *Client) Txn(ctx context.Context, conds []Compare, ops []Mutation, u Priority) (uint64, error) {
	if !c.requestBudget.take(1, u) || !c.writeBudget.take(len(ops), u) {
		return 0, ErrRateLimited
	}
	body := wire.Marshal(struct {
		When []Compare  `cbor:"when"`
		Then []Mutation `cbor:"then"`
	}{conds, ops})
	var out struct {
		Rev    uint64   `cbor:"epoch"`
		Failed []string `cbor:"failed"`
	}
	err := c.do(ctx, "POST", transactionPath, body, &out)
	if errors.Is(err, errConflict) {
		return 0, &ConflictError{out.Failed}
	}
	return out.Rev, err
}

// WriteBudget tells how many changes the budget would take now.
func (c *Client) WriteBudget(u Priority) int { return c.writeBudget.available(u) }
