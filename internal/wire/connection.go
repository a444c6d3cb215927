package wire

// Connections of the server.

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tidwall/evio"
)

// connection is the state of one connection that the event loop and the connection's goroutine share.
type connection struct {
	conn     evio.Conn     // connection in evio; the goroutine calls only Wake
	arrived  chan struct{} // signal of new bytes; capacity 1
	closed   chan struct{} // closed by the event loop after the connection is closed
	evicting chan struct{} // signal to close the connection in favour of a new one; capacity 1

	mu        sync.Mutex // guards the fields below
	in        []byte     // received bytes that have not been parsed as requests
	out       []byte     // bytes that the event loop has yet to write
	closing   bool       // whether the event loop closes the connection after writing out
	lasting   bool       // whether the last request satisfies Server.Lasting
	idleSince time.Time  // start of the wait for the next request; zero: a request is being answered
}

// maxPending is the maximum number of received bytes of one connection that have not been parsed: one
// whole request and the start of the next.
const maxPending = MaxBody + 2*maxHead

func newConnection(conn evio.Conn) *connection {
	return &connection{
		conn:      conn,
		arrived:   make(chan struct{}, 1),
		closed:    make(chan struct{}),
		evicting:  make(chan struct{}, 1),
		idleSince: time.Now(),
	}
}

// signal sends on a channel of capacity 1. It does nothing if a signal is pending there already.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// transfer runs on the event loop. It stores the received bytes for the goroutine and returns the bytes
// that the goroutine has sent. It closes the connection if more than maxPending bytes are not parsed.
func (c *connection) transfer(in []byte) ([]byte, evio.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(in) > 0 {
		if len(c.in)+len(in) > maxPending {
			return nil, evio.Close
		}
		c.in = append(c.in, in...)
		signal(c.arrived)
	}
	out := c.out
	c.out = nil
	if c.closing {
		return out, evio.Close
	}
	return out, evio.None
}

// send queues the bytes of out for the event loop, which writes them and then closes the connection if
// closing is set.
//
// A closed connection is not woken. Guards against a write to an unrelated descriptor: after the event
// loop has ended, the number of its wake descriptor may be in use for another file.
func (c *connection) send(out []byte, closing bool) {
	select {
	case <-c.closed:
		return
	default:
	}
	c.mu.Lock()
	c.out = append(c.out, out...)
	c.closing = c.closing || closing
	c.mu.Unlock()
	c.conn.Wake()
}

// end closes the connection after an error of nextRequest. A malformed request is answered with status
// 400 first.
func (c *connection) end(err error) {
	switch {
	case errors.Is(err, errClosed):
	case errors.Is(err, ErrMalformed):
		// The bytes after a malformed message cannot be trusted to be the next request.
		c.send(AppendResponse(nil, Response{Status: StatusBadRequest, Close: true}), true)
	default:
		c.send(nil, true)
	}
}

// nextRequest waits for a complete request: at most idleTimeout for its first byte, and at most
// readTimeout from then on. The error is errClosed, errTimeout, errEvicted or that of ctx, or wraps
// ErrMalformed.
func (c *connection) nextRequest(ctx context.Context, idleTimeout, readTimeout time.Duration) (Request, error) {
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	reading := false
	for {
		req, err := c.takeRequest()
		if err == nil || errors.Is(err, ErrMalformed) {
			return req, err
		}
		if errors.Is(err, ErrIncomplete) && !reading {
			reading = true
			timer.Reset(readTimeout)
		}
		if err := c.wait(ctx, timer); err != nil {
			return Request{}, err
		}
	}
}

// errNoData reports that no byte of the next request has arrived.
var errNoData = errors.New("wire: no byte of a request received")

// takeRequest parses one request from the received bytes and removes it from them. The memory of its
// body is not reused afterwards. The error is errNoData, or that of ParseRequest.
func (c *connection) takeRequest() (Request, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.in) == 0 {
		return Request{}, errNoData
	}
	req, used, err := ParseRequest(c.in)
	if err != nil {
		return Request{}, err
	}
	if used == len(c.in) {
		c.in = nil
	} else {
		c.in = append([]byte(nil), c.in[used:]...)
	}
	return req, nil
}

// wait returns nil once bytes have arrived. The error is errClosed, errEvicted, errTimeout or that of
// ctx.
func (c *connection) wait(ctx context.Context, timer *time.Timer) error {
	select {
	case <-c.arrived:
		return nil
	case <-c.closed:
		return errClosed
	case <-c.evicting:
		return errEvicted
	case <-timer.C:
		return errTimeout
	case <-ctx.Done():
		return ctx.Err()
	}
}

// markBusy records that a request is being answered, and whether it satisfies Server.Lasting.
func (c *connection) markBusy(lasting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lasting = lasting
	c.idleSince = time.Time{}
}

// markIdle records that the connection waits for its next request.
func (c *connection) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleSince = time.Now()
}

// evictableSince returns the start of the idle time and whether the connection may be evicted: it is
// idle, and its last request does not satisfy Server.Lasting.
func (c *connection) evictableSince() (idleSince time.Time, evictable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, !c.lasting && !c.idleSince.IsZero()
}

// evict requests that the goroutine close the connection as soon as it waits for bytes.
func (c *connection) evict() { signal(c.evicting) }
