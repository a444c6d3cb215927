package wire

// The server.

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

// Handler answers one request. The request's body is only valid until it returns. The context ends
// with the server; it does not end when the peer closes the connection.
type Handler func(ctx context.Context, req *Request) Response

// Server accepts connections on an evio loop, which only moves bytes; each connection has a
// goroutine that parses requests and runs the handler. The exported fields are set before Run and
// not changed.
type Server struct {
	Addr        string
	MaxConns    int
	IdleTimeout time.Duration // between requests
	ReadTimeout time.Duration // from a request's first byte to its last
	Handler     Handler
	Lasting     func(*Request) bool // whether the connection is kept when others have to go; nil: none is

	open       atomic.Int64   // connections that the loop has opened and not yet closed
	goroutines sync.WaitGroup // those of the connections

	mu          sync.Mutex               // guards connections; taken before that of a connection
	connections map[*connection]struct{} // those that may be evicted
}

const (
	// closeShare is the part of MaxConns from which on connections that need not last are closed
	// after each response, which leaves room for those that do.
	closeShare = 0.8

	// closeLastingShare is the part from which on all are. Otherwise clients that find every connection taken
	// by others are refused until their leases have expired; in turns, each is served (docs/size.md).
	closeLastingShare = 0.95

	// restartDelay keeps a listener that fails at once from being restarted all the time.
	restartDelay = 100 * time.Millisecond

	// shutdownPoll is how often the loop looks whether it is to end.
	shutdownPoll = 500 * time.Millisecond
)

// Run serves until ctx is cancelled, and returns nil then. It returns an error if the address cannot
// be listened on in the first place. Later errors do not end it: evio's loop ends on any error of
// accept, such as a connection reset while it waited, and is started again.
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

// runLoop runs one event loop until it fails or ctx ends, and ends its connections' goroutines.
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

// opened runs on the loop: it starts the goroutine of a new connection, or refuses it.
func (s *Server) opened(ctx context.Context, conn evio.Conn) evio.Action {
	if s.open.Add(1) > int64(s.MaxConns) && !s.evictLongestIdle() {
		return evio.Close
	}
	c := s.newConnection(conn)
	conn.SetContext(c)
	s.goroutines.Go(func() { s.serveConnection(ctx, c) })
	return evio.None
}

// closed runs on the loop, also for a connection that opened refused.
func (s *Server) closed(conn evio.Conn) {
	s.open.Add(-1)
	if c, ok := conn.Context().(*connection); ok {
		s.mu.Lock()
		delete(s.connections, c)
		s.mu.Unlock()
		close(c.closed)
	}
}

// received runs on the loop when bytes arrived or a connection was woken.
func received(conn evio.Conn, in []byte) ([]byte, evio.Action) {
	c, ok := conn.Context().(*connection)
	if !ok {
		return nil, evio.Close
	}
	return c.transfer(in)
}

// newConnection registers a connection, which is idle.
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

// evictLongestIdle evicts the connection that has been idle longest, and reports whether there was one that
// may be evicted. Otherwise users who hold connections open leave no room for worker agents.
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

// mustClose reports whether so many connections are open that one is closed after its response.
func (s *Server) mustClose(lasting bool) bool {
	share := closeShare
	if lasting {
		share = closeLastingShare
	}
	return float64(s.open.Load()) > share*float64(s.MaxConns)
}

// serveConnection is the goroutine of one connection: it answers one request after another.
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

// answer runs the handler, while the connection is not idle, and decides whether the connection
// stays.
func (s *Server) answer(ctx context.Context, c *connection, req *Request) Response {
	lasting := s.Lasting != nil && s.Lasting(req)
	c.markBusy(lasting)
	resp := s.Handler(ctx, req)
	resp.Close = resp.Close || req.Close || s.mustClose(lasting)
	c.markIdle()
	return resp
}

// Reasons for which a connection's goroutine waits for no further request.
var (
	errClosed  = errors.New("wire: connection closed")
	errTimeout = errors.New("wire: peer too slow")
	errEvicted = errors.New("wire: connection closed to make room")
)
