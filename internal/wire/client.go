package wire

// The client.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// DialFunc opens a connection. Tests pass one that leads to fakes.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Client makes requests to one address and keeps a few connections to it. Its methods may be called
// from any goroutine; the exported fields are set before and not changed.
type Client struct {
	Dial    DialFunc // nil: TCP over IPv4
	Addr    string
	Limit   int // largest response body in bytes; 0: MaxBody
	MaxIdle int // connections kept; at least minIdle are

	mu   sync.Mutex    // guards idle
	idle []*clientConn // kept connections, those used last at the end
}

// clientConn belongs to the request that uses it, or to the client's list of kept connections.
type clientConn struct {
	net.Conn
	buf       []byte // empty; kept for the next response
	idleSince time.Time
}

const (
	// minIdle is how many connections any client keeps.
	minIdle = 2

	// maxIdleAge is below the idle time-out of the servers met, so that a kept connection is rarely
	// found closed.
	maxIdleAge = 20 * time.Second

	// minRead is the room in bytes for what one read may return.
	minRead = 4 << 10

	// maxKeptBuffer bounds the memory in bytes that an idle connection holds.
	maxKeptBuffer = 16 << 10
)

// ErrNotSent is wrapped by errors of requests of which no byte was written: they had no effect and
// never will.
var ErrNotSent = errors.New("wire: request not sent")

// errTrailingBytes says that the server sent more than the response.
var errTrailingBytes = malformed("bytes behind a response")

// Do sends one request and waits for its response until ctx ends. After any error but ErrNotSent the
// request may have been executed, or may yet be. The error wraps that of dialing or of the
// connection, or ErrMalformed; a response with any status is no error.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (Response, error) {
	conn, err := c.acquire(ctx)
	if err != nil {
		return Response{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	resp, err := c.exchange(ctx, conn, AppendRequest(nil, method, target, c.Addr, body))
	if err != nil {
		conn.Close()
		return Response{}, fmt.Errorf("wire: %s %s%s: %w", method, c.Addr, target, err)
	}
	if resp.Close {
		conn.Close()
	} else {
		c.keep(conn)
	}
	return resp, nil
}

// exchange writes a request and reads its response until ctx ends.
func (c *Client) exchange(ctx context.Context, conn *clientConn, request []byte) (Response, error) {
	deadline, _ := ctx.Deadline() // the zero time is none
	conn.SetDeadline(deadline)
	past := time.Unix(1, 0)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(past) })
	defer stop()
	if _, err := conn.Write(request); err != nil {
		return Response{}, err
	}
	limit := c.Limit
	if limit == 0 {
		limit = MaxBody
	}
	return conn.readResponse(limit)
}

// readResponse reads one response, whose body is a copy.
func (c *clientConn) readResponse(limit int) (Response, error) {
	buf := c.buf[:0]
	for {
		if len(buf) == cap(buf) {
			buf = slices.Grow(buf, max(minRead, len(buf)))
		}
		n, readErr := c.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		resp, used, err := ParseResponse(buf, limit)
		switch {
		case err == nil && used < len(buf):
			return Response{}, errTrailingBytes
		case err == nil:
			resp.Body = append([]byte(nil), resp.Body...)
			c.keepBuffer(buf)
			return resp, nil
		case !errors.Is(err, ErrIncomplete):
			return Response{}, err
		case readErr != nil:
			return Response{}, readErr
		}
	}
}

// keepBuffer keeps a buffer for the next response unless it is large.
func (c *clientConn) keepBuffer(buf []byte) {
	c.buf = nil
	if cap(buf) <= maxKeptBuffer {
		c.buf = buf[:0]
	}
}

// acquire returns the kept connection that was used last, or a new one.
func (c *Client) acquire(ctx context.Context) (*clientConn, error) {
	if conn := c.takeIdle(); conn != nil {
		return conn, nil
	}
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, c.Addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn}, nil
}

// takeIdle removes and returns the kept connection that was used last, or nil if all are too old,
// which it closes.
func (c *Client) takeIdle() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		conn := c.idle[last]
		c.idle = c.idle[:last]
		if time.Since(conn.idleSince) < maxIdleAge {
			return conn
		}
		conn.Close()
	}
	return nil
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp4", addr)
}

// keep puts a connection back, or closes it if enough are kept.
func (c *Client) keep(conn *clientConn) {
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= max(c.MaxIdle, minIdle) {
		conn.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

// Trim closes the kept connections that have not been used for so long.
func (c *Client) Trim(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := c.idle[:0]
	for _, conn := range c.idle {
		if time.Since(conn.idleSince) < age {
			kept = append(kept, conn)
		} else {
			conn.Close()
		}
	}
	c.idle = kept
}

// CloseIdle closes the kept connections. After a failure the others to the same address are as
// suspect as the one that failed.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}
