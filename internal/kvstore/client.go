// The client, and the sending of one request.

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
// store's response time, even when the store is slow (docs/records.md).
const requestTimeout = 1500 * time.Millisecond

// maxResponseBytes is the maximum size of a response body, in bytes. It bounds the memory that one
// response takes. A page of keys is far smaller, but the changes since a revision arrive in one
// response, whatever their number (Client.changes).
const maxResponseBytes = 4 << 20

// maxIdleConnections is the number of connections kept open between requests. If more requests
// are in flight at one time, the others open new connections.
const maxIdleConnections = 6

// Client sends requests to the key-value store. It is safe for concurrent use.
//
// A request ends when its context ends. If the context has no deadline, the request ends after
// 1.5 s at the latest; Watch sets a deadline of its own.
type Client struct {
	http          *wire.Client // safe for concurrent use
	requestBudget rateBudget
	writeBudget   rateBudget   // one token per mutation
	lastServed    atomic.Int64 // time of the last response to an executed request, Unix ns; 0: none

	// OnRefused, if not nil, is called when the store has refused a transaction, as its limits
	// may have been lowered. tooLarge is true after status 400 (ErrRejected, taken as a size
	// limit) and false after status 429 (a rate limit). OnRefused is set before the first
	// request, and called by the goroutine that calls Txn.
	OnRefused func(tooLarge bool)
}

// New returns a client of the store at addr that sends at most rps requests and writeRPS
// mutations a second; those of PriorityLease are sent even beyond that. A nil dial is
// wire.Client's default.
func New(dial wire.DialFunc, addr string, rps, writeRPS float64) *Client {
	return &Client{
		http:          &wire.Client{Dial: dial, Addr: addr, Limit: maxResponseBytes, MaxIdle: maxIdleConnections},
		requestBudget: newRateBudget(rps),
		writeBudget:   newRateBudget(writeRPS),
	}
}

// SetRates changes the maximum rates of requests and mutations, both a second.
func (c *Client) SetRates(rps, writeRPS float64) {
	c.requestBudget.setRate(rps)
	c.writeBudget.setRate(writeRPS)
}

// WriteBudget returns the number of mutations that a transaction of the priority may make now.
func (c *Client) WriteBudget(priority Priority) int { return c.writeBudget.available(priority) }

// ServedWithin reports whether the client has received the response to a request that the store
// executed, within the given duration before now.
func (c *Client) ServedWithin(within time.Duration) bool {
	return time.Since(time.Unix(0, c.lastServed.Load())) < within
}

// CloseIdle closes the connections that no request uses, so that the next requests open new ones.
func (c *Client) CloseIdle() { c.http.CloseIdle() }

// request is one request to the store.
type request struct {
	method string
	target string // path and query
	body   []byte // nil: no body
}

// do sends a request and decodes the response body into out, unless out is nil. The errors are
// those of send and decodeResponse.
func (c *Client) do(ctx context.Context, req request, out any) error {
	resp, err := c.send(ctx, req)
	if err != nil {
		return err
	}
	return decodeResponse(req, resp, out)
}

// send sends a request and returns the response, whatever its status. The error wraps ErrRefused
// if no connection could be opened, and otherwise ErrUnknown. After an error it closes the idle
// connections, which may be broken as well.
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
