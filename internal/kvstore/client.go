// The client, and how it sends one request.

package kvstore

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"tulipshelf/internal/wire"
)

// requestTimeout bounds a request whose context has no deadline. It is far longer than the
// store takes to answer, even when it is slow (docs/records.md).
const requestTimeout = 1500 * time.Millisecond

// maxResponseBytes bounds the memory that one response takes. A page of a range is far
// smaller, but changes come in one response however many they are (Client.changes).
const maxResponseBytes = 4 << 20

// maxIdleConnections is how many connections are kept open between requests. Where more are
// in flight at one time, connections are opened anew.
const maxIdleConnections = 6

// Client sends requests to the key-value store. It is safe for concurrent use.
//
// A request ends with its context, or after 1.5 s if that has no deadline.
type Client struct {
	http          *wire.Client // guards itself
	requestBudget rateBudget
	writeBudget   rateBudget   // of mutations
	lastServed    atomic.Int64 // when the store last carried a request out, in Unix nanoseconds; 0: never

	// OnRefused, if not nil, is called when the store has refused a transaction as too
	// large, or else as one too many: its limits may be lower from now on. It is set before
	// the first request, and called by the goroutine that made the transaction.
	OnRefused func(tooLarge bool)
}

// New returns a client of the store at addr that uses at most rps requests and writeRPS
// mutations a second.
func New(dial wire.DialFunc, addr string, rps, writeRPS float64) *Client {
	return &Client{
		http:          &wire.Client{Dial: dial, Addr: addr, Limit: maxResponseBytes, MaxIdle: maxIdleConnections},
		requestBudget: newRateBudget(rps),
		writeBudget:   newRateBudget(writeRPS),
	}
}

// SetRates sets how many requests and mutations a second the client uses at most from now on.
func (c *Client) SetRates(rps, writeRPS float64) {
	c.requestBudget.setRate(rps)
	c.writeBudget.setRate(writeRPS)
}

// WriteBudget returns how many mutations a transaction of the priority may make now.
func (c *Client) WriteBudget(priority Priority) int { return c.writeBudget.available(priority) }

// ServedWithin reports whether the store has carried out a request of this node within the
// time before now.
func (c *Client) ServedWithin(within time.Duration) bool {
	return time.Since(time.Unix(0, c.lastServed.Load())) < within
}

// request is one request to the store.
type request struct {
	method string
	target string // path and query
	body   []byte // nil: none
}

// do sends a request and decodes the answer into out, unless out is nil. The errors are
// those of send and decodeResponse.
func (c *Client) do(ctx context.Context, req request, out any) error {
	resp, err := c.send(ctx, req)
	if err != nil {
		return err
	}
	return decodeResponse(req, resp, out)
}

// send returns the answer to a request. The error wraps ErrRefused if nothing was sent, and
// else ErrUnknown. After a failure the kept connections are closed, as they are suspect too.
func (c *Client) send(ctx context.Context, req request) (wire.Response, error) {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, requestTimeout)
		defer cancel()
	}
	resp, err := c.http.Do(ctx, req.method, req.target, req.body)
	if err != nil {
		c.http.CloseIdle()
		if errors.Is(err, wire.ErrNotSent) {
			return wire.Response{}, fmt.Errorf("%w: %w", ErrRefused, err)
		}
		return wire.Response{}, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	if executed(resp.Status) {
		c.lastServed.Store(time.Now().UnixNano())
	}
	return resp, nil
}
