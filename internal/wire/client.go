package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// DialFunc opens a connection. Tests pass one that leads to stand-ins.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Client speaks to one address and keeps a few connections to it.
type Client struct {
	Dial    DialFunc // nil: TCP over IPv4
	Addr    string
	Limit   int // largest response body; 0: MaxBody
	MaxIdle int // connections kept; 0: 2

	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	buf []byte
	old time.Time // when it was put back
}

// maxIdleAge is below the idle time-out of the servers met, so that a kept
// connection is rarely found closed.
const maxIdleAge = 20 * time.Second

// ErrNotSent is wrapped by errors of requests of which no byte was written:
// they had no effect and never will.
var ErrNotSent = errors.New("wire: request not sent")

// Do sends one request and waits for its response until ctx ends. After any
// error but ErrNotSent the request may have been executed, or may yet be.
func (c *Client) Do(ctx context.Context, method, target string, body []byte) (Response, error) {
	conn, err := c.take(ctx)
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
		c.put(conn)
	}
	return resp, nil
}

func (c *Client) exchange(ctx context.Context, conn *clientConn, msg []byte) (Response, error) {
	if d, ok := ctx.Deadline(); ok {
		conn.SetDeadline(d)
	} else {
		conn.SetDeadline(time.Time{})
	}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.Write(msg); err != nil {
		return Response{}, err
	}
	limit := c.Limit
	if limit == 0 {
		limit = MaxBody
	}
	buf := conn.buf[:0]
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, make([]byte, max(4096, len(buf)))...)[:len(buf)]
		}
		n, err := conn.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		resp, m, perr := ParseResponse(buf, limit)
		if perr == nil {
			if m != len(buf) {
				return Response{}, malformed("bytes behind a response")
			}
			resp.Body = append([]byte(nil), resp.Body...)
			if cap(buf) <= 16<<10 {
				conn.buf = buf[:0]
			} else {
				conn.buf = nil
			}
			return resp, nil
		}
		if !errors.Is(perr, ErrIncomplete) {
			return Response{}, perr
		}
		if err != nil {
			return Response{}, err
		}
	}
}

func (c *Client) take(ctx context.Context) (*clientConn, error) {
	c.mu.Lock()
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if time.Since(conn.old) < maxIdleAge {
			c.mu.Unlock()
			return conn, nil
		}
		conn.Close()
	}
	c.mu.Unlock()
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, c.Addr)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: nc}, nil
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp4", addr)
}

func (c *Client) put(conn *clientConn) {
	conn.old = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) >= max(c.MaxIdle, 2) {
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
		if time.Since(conn.old) < age {
			kept = append(kept, conn)
		} else {
			conn.Close()
		}
	}
	c.idle = kept
}

// CloseIdle closes the kept connections. After a failure the others to the
// same address are as suspect as the one that failed.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		conn.Close()
	}
	c.idle = nil
}
