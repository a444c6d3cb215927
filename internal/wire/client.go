package wire

// The HTTP client.

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// DialFunc opens a connection to addr. Tests use one that connects to fakes.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Client sends requests to one address and keeps idle connections to it. Its methods may be called from
// any goroutine. The exported fields are set before the first call and not changed afterwards.
type Client struct {
	Dial    DialFunc // nil: TCP over IPv4
	Addr    string
	Limit   int // maximum length of a response body in bytes; 0: MaxBody
	MaxIdle int // maximum number of idle connections; values below minIdle count as minIdle

	mu   sync.Mutex    // guards idle
	idle []*clientConn // idle connections, the most recently used one last
}

// clientConn is a connection with its read buffer. It belongs to the request that uses it or, while
// idle, to Client.idle.
type clientConn struct {
	net.Conn
	buf       []byte    // empty buffer, reused for the next response; nil: none
	idleSince time.Time // time at which the connection was last put into Client.idle
}

const (
	// minIdle is the least value of the maximum number of idle connections.
	minIdle = 2

	// maxIdleAge is the idle time from which on a connection is not used again. It is below the idle
	// timeout of the servers that are called, so that a connection is rarely found closed by its server.
	maxIdleAge = 20 * time.Second

	// minRead is the least number of bytes by which a full read buffer grows.
	minRead = 4 << 10

	// maxKeptBuffer is the maximum capacity in bytes of the read buffer of an idle connection.
	maxKeptBuffer = 16 << 10
)

// ErrNotSent is wrapped by the error of a request for which no connection could be opened. No byte of
// the request was written: it has had no effect and will not have one later.
var ErrNotSent = errors.New("wire: request not sent")

// errTrailingBytes reports that the server sent bytes after the end of a response.
var errTrailingBytes = malformed("bytes after the end of a response")

// Do sends one request and waits for its response until ctx ends. If the error wraps ErrNotSent, the
// request has no effect. After any other error the request may have been executed, or may still be
// executed later. The error wraps that of dialing or of the connection, or ErrMalformed. A response is
// not an error, whatever its status.
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

// exchange writes a request and reads its response. When ctx ends, a deadline in the past interrupts
// both, so that the error wraps os.ErrDeadlineExceeded. If ctx ends as the response arrives, Response.Close
// is set. Guards against the failure of an unrelated request: the deadline may be set only after the next
// request on the connection has begun.
func (c *Client) exchange(ctx context.Context, conn *clientConn, request []byte) (Response, error) {
	deadline, _ := ctx.Deadline() // zero if ctx has none, which sets no deadline
	conn.SetDeadline(deadline)
	past := time.Unix(1, 0)
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(past) })
	resp, err := c.writeAndRead(conn, request)
	if !stop() {
		resp.Close = true
	}
	return resp, err
}

func (c *Client) writeAndRead(conn *clientConn, request []byte) (Response, error) {
	if _, err := conn.Write(request); err != nil {
		return Response{}, err
	}
	limit := c.Limit
	if limit == 0 {
		limit = MaxBody
	}
	return conn.readResponse(limit)
}

// readResponse reads one response with a body of at most limit bytes. The body is a copy that does not
// share memory with the read buffer.
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

// keepBuffer keeps buf for the next response unless its capacity is over maxKeptBuffer.
func (c *clientConn) keepBuffer(buf []byte) {
	c.buf = nil
	if cap(buf) <= maxKeptBuffer {
		c.buf = buf[:0]
	}
}

// acquire returns the most recently used idle connection, or a new one if there is none.
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

// takeIdle removes and returns the most recently used idle connection. If all have been idle for
// maxIdleAge or longer, it closes them and returns nil.
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

// keep adds a connection to the idle ones, or closes it if their maximum number is reached.
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

// Trim closes the connections that have been idle for age or longer.
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

// CloseIdle closes all idle connections. Callers use it after a failed request: the other connections
// to the same address are as likely to be broken as the one that failed.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}
