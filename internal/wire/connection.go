package wire

// Connections of a server.

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tidwall/evio"
)

// connection is what the event loop and the goroutine of one connection share.
type connection struct {
	conn     evio.Conn     // of which the goroutine uses Wake alone
	arrived  chan struct{} // capacity 1: bytes arrived
	closed   chan struct{} // closed by the loop once the connection is closed
	evicting chan struct{} // capacity 1: another connection needs the room

	mu        sync.Mutex // guards what follows
	in        []byte     // arrived, and not yet taken as requests
	out       []byte     // to be written by the loop
	closing   bool       // the loop closes the connection once out is written
	lasting   bool       // whether the last request is one of Server.Lasting
	idleSince time.Time  // since when it waits for a request; zero: it is answering one
}

// maxPending bounds the bytes that one connection may have sent and not yet been read: one whole
// request and the start of the next.
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

// signal sends on a channel of capacity 1, unless a signal waits there already.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// transfer runs on the loop: it takes what arrived and returns what the goroutine has written.
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

// send hands bytes to the loop, which closes the connection behind them if closing is set.
//
// A connection that is closed is not woken: when the loop itself has ended, its wake descriptor may
// belong to something else by now.
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

// end closes the connection after an error of nextRequest.
func (c *connection) end(err error) {
	switch {
	case errors.Is(err, errClosed):
	case errors.Is(err, ErrMalformed):
		// The bytes behind a broken message cannot be trusted as a next one.
		c.send(AppendResponse(nil, Response{Status: StatusBadRequest, Close: true}), true)
	default:
		c.send(nil, true)
	}
}

// nextRequest waits for a whole request. The error is errClosed, errTimeout, errEvicted or that of
// ctx, or wraps ErrMalformed.
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

// errNoData says that no byte of a request has arrived.
var errNoData = errors.New("wire: nothing arrived")

// takeRequest takes one request from what arrived. The bytes of its body are not used for anything
// else afterwards. The error is errNoData, or that of ParseRequest.
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

// wait returns nil once bytes arrived, or the reason to wait no longer.
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

// markBusy records that a request is being answered.
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

// evictableSince returns since when the connection has been idle, and whether it may be evicted.
func (c *connection) evictableSince() (idleSince time.Time, evictable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleSince, !c.lasting && !c.idleSince.IsZero()
}

// evict ends the connection as soon as it waits for a request.
func (c *connection) evict() { signal(c.evicting) }
