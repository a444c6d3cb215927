package wire

// The HTTP server.

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/evio"
)

// Handler answers one request. The request's body is valid only until Handler returns. The context ends
// when the server or its event loop ends; it does not end when the peer closes the connection.
type Handler func(ctx context.Context, req *Request) Response

// Server accepts connections on an evio event loop, which only transfers bytes. Each connection has a
// goroutine that parses requests and calls the handler. The exported fields are set before Run and not
// changed afterwards.
type Server struct {
	Addr        string        // listen address
	MaxConns    int           // maximum number of open connections
	IdleTimeout time.Duration // maximum wait for the first byte of a request
	ReadTimeout time.Duration // maximum time from a request's first byte to its last
	Handler     Handler

	// Lasting reports whether the connection of a request is to last. After such a request the
	// connection is not evicted while idle, and the share of MaxConns above which it is closed after
	// its response is closeLastingShare instead of closeShare. nil: no connection is to last.
	Lasting func(*Request) bool

	open       atomic.Int64   // number of connections that the event loop has opened and not yet closed
	goroutines sync.WaitGroup // goroutines of the connections

	mu          sync.Mutex               // guards connections; locked before the mu of a connection
	connections map[*connection]struct{} // open connections without those that have been evicted
}

const (
	// closeShare is the share of MaxConns above which a connection is closed after its response unless
	// the request satisfies Server.Lasting. The rest is left to the connections of such requests.
	closeShare = 0.8

	// closeLastingShare is the share of MaxConns above which every connection is closed after its
	// response. Guards against the refusal of a worker agent until its lease has expired: other clients
	// may hold every connection. Closing connections makes the clients take turns, so that each is
	// served (docs/size.md).
	closeLastingShare = 0.95

	// restartDelay is the delay before a failed listener is restarted. Guards against a busy loop: a
	// listener may fail again as soon as it is started.
	restartDelay = 100 * time.Millisecond

	// shutdownPoll is the interval at which the event loop checks whether its context has ended.
	shutdownPoll = 500 * time.Millisecond
)

// Run serves until ctx is cancelled and then returns nil. It returns an error if the first attempt to
// listen on the address fails. Later errors do not end it: evio's event loop ends on any error of
// accept, such as the reset of a connection that waits to be accepted, and is then started again.
func (s *Server) Run(ctx context.Context) error {
	defer s.goroutines.Wait()
	for restarted := false; ; restarted = true {
		err := s.runLoop(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && !restarted {
			return fmt.Errorf("wire: listen on %s: %w", s.Addr, err)
		}
		slog.Error("listener failed, restarting", "addr", s.Addr, "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(restartDelay):
		}
	}
}

// runLoop runs one event loop until it fails or ctx ends, and then cancels the context of its
// connections' goroutines.
func (s *Server) runLoop(ctx context.Context) error {
	loopCtx, stop := context.WithCancel(ctx)
	defer stop()
	events := evio.Events{
		NumLoops: 1,
		Opened: func(conn evio.Conn) ([]byte, evio.Options, evio.Action) {
			return nil, evio.Options{ReuseInputBuffer: true}, s.opened(loopCtx, conn)
		},
		Closed: func(conn evio.Conn, _ error) evio.Action {
			s.closed(conn)
			return evio.None
		},
		Data: received,
		Tick: func() (time.Duration, evio.Action) {
			if ctx.Err() != nil {
				return 0, evio.Shutdown
			}
			return shutdownPoll, evio.None
		},
	}
	return evio.Serve(events, "tcp://"+s.Addr)
}

// opened runs on the event loop. It starts the goroutine of a new connection, or closes the connection
// if MaxConns are open and none of them can be evicted.
func (s *Server) opened(ctx context.Context, conn evio.Conn) evio.Action {
	if s.open.Add(1) > int64(s.MaxConns) && !s.evictLongestIdle() {
		return evio.Close
	}
	c := s.newConnection(conn)
	conn.SetContext(c)
	s.goroutines.Go(func() { s.serveConnection(ctx, c) })
	return evio.None
}

// closed runs on the event loop after a connection is closed, also for a connection that Server.opened
// has refused.
func (s *Server) closed(conn evio.Conn) {
	s.open.Add(-1)
	if c, ok := conn.Context().(*connection); ok {
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
		close(c.closed)
	}
}

// received runs on the event loop when bytes have arrived or the connection has been woken.
func received(conn evio.Conn, in []byte) ([]byte, evio.Action) {
	c, ok := conn.Context().(*connection)
	if !ok {
		return nil, evio.Close
	}
	return c.transfer(in)
}

// newConnection registers conn as an idle connection.
func (s *Server) newConnection(conn evio.Conn) *connection {
	c := newConnection(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections == nil {
		s.connections = map[*connection]struct{}{}
	}
	s.connections[c] = struct{}{}
	return c
}

// evictLongestIdle evicts the connection that has been idle longest among those that may be evicted, and
// reports whether there was one. Guards against the refusal of worker agents: users may hold MaxConns
// connections open.
func (s *Server) evictLongestIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var longest *connection
	var longestSince time.Time
	for c := range s.connections {
		since, evictable := c.evictableSince()
		if evictable && (longest == nil || since.Before(longestSince)) {
			longest, longestSince = c, since
		}
	}
	if longest == nil {
		return false
	}
	longest.evict()
	delete(s.connections, longest)
	return true
}

// mustClose reports whether so many connections are open that a connection is closed after its response.
// The limit is higher if lasting is set: the request satisfies Server.Lasting.
func (s *Server) mustClose(lasting bool) bool {
	share := closeShare
	if lasting {
		share = closeLastingShare
	}
	return float64(s.open.Load()) > share*float64(s.MaxConns)
}

// serveConnection runs on the goroutine of one connection. It answers one request after another until
// the connection or ctx ends.
func (s *Server) serveConnection(ctx context.Context, c *connection) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		req, err := c.nextRequest(ctx, s.IdleTimeout, s.ReadTimeout)
		if err != nil {
			c.end(err)
			return
		}
		resp := s.answer(ctx, c, &req)
		c.send(AppendResponse(nil, resp), resp.Close)
		if resp.Close {
			return
		}
	}
}

// answer calls the handler and decides whether the connection is closed after the response. The
// connection cannot be evicted meanwhile.
func (s *Server) answer(ctx context.Context, c *connection, req *Request) Response {
	lasting := s.Lasting != nil && s.Lasting(req)
	c.markBusy(lasting)
	resp := s.Handler(ctx, req)
	resp.Close = resp.Close || req.Close || s.mustClose(lasting)
	c.markIdle()
	return resp
}

// Errors of nextRequest on which the goroutine of a connection ends without a response.
var (
	errClosed  = errors.New("wire: connection closed")
	errTimeout = errors.New("wire: no complete request within the time-out")
	errEvicted = errors.New("wire: connection evicted for a new one")
)
