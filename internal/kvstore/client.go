// Package kvstore is the client of the state service: keys with revisions,
// conditional transactions, leases and watches, within this node's share of
// the service's limits.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"tulipshelf/internal/wire"
)

// Client talks to the state service. It is safe for concurrent use.
type Client struct {
	http          *wire.Client
	requestBudget rateBudget
	writeBudget   rateBudget
	lastServed    atomic.Int64 // when the service last executed anything, in Unix nanoseconds

	// Refused, if not nil, is told when a transaction is refused as too large, or else as
	// one too many: the service's limits may be lower from now on.
	OnRefused func(tooLarge bool)
}

// SetRates sets lower rates.
func (c *Client) SetRates(rps, writeRPS float64) {
	c.requestBudget.setRate(rps)
	c.writeBudget.setRate(writeRPS)
}

func (c *Client) reportRefusal(target string, tooLarge bool) {
	if target == transactionPath && c.OnRefused != nil {
		c.OnRefused(tooLarge)
	}
}

// ServedWithin tells whether the service executed a request of this node lately.
func (c *Client) ServedWithin(within time.Duration) bool {
	return time.Since(time.Unix(0, c.lastServed.Load())) < within
}

// requestTimeout bounds one request. The service usually answers within 10 ms and now
// and then takes a few hundred.
const requestTimeout = 1500 * time.Millisecond

// maxResponseBytes bounds the memory that one response takes. A page of a range read has at most
// 512 KiB, but changes come in one response however many they are: where they are more, the
// keys are read again by pages.
//
// It guards against a node that has fallen behind and asks for the same changes over and over,
// until they are older than the last 10,000 (TestFallsBehind).
const maxResponseBytes = 4 << 20

// New returns a client that uses at most the given requests and changes a
// second.
func New(dial wire.DialFunc, addr string, rps, writeRPS float64) *Client {
	return &Client{
		http:          &wire.Client{Dial: dial, Addr: addr, Limit: maxResponseBytes, MaxIdle: 6},
		requestBudget: newRateBudget(rps),
		writeBudget:   newRateBudget(writeRPS),
	}
}

func (c *Client) do(ctx context.Context, method, target string, body []byte, out any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, requestTimeout)
		defer cancel()
	}
	resp, err := c.http.Do(ctx, method, target, body)
	if err != nil {
		c.http.CloseIdle()
		if errors.Is(err, wire.ErrNotSent) {
			return fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if resp.Status != 429 && resp.Status != 503 {
		c.lastServed.Store(time.Now().UnixNano())
	}
	switch resp.Status {
	case 200, 409:
		if out != nil && len(resp.Body) > 0 {
			if err := wire.Unmarshal(resp.Body, out); err != nil {
				return fmt.Errorf("%w: %w", ErrUnknown, err)
			}
		}
		if resp.Status == 409 {
			return errConflict
		}
		return nil
	case 204:
		return nil
	case 404:
		return ErrNotFound
	case 410:
		return ErrCompacted
	case 429:
		c.reportRefusal(target, false)
		return fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	case 503:
		return fmt.Errorf("%w: status %d", ErrRefused, resp.Status)
	case 400:
		var e struct {
			Error string `cbor:"error"`
		}
		if wire.Unmarshal(resp.Body, &e) == nil && e.Error == "no such lease" {
			return ErrNoSuchLease
		}
		c.reportRefusal(target, true)
		return fmt.Errorf("kvstore: %s %s: status 400 %q", method, target, e.Error)
	}
	return fmt.Errorf("%w: status %d", ErrUnknown, resp.Status)
}
