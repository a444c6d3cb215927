package wire

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

// Handler answers one request. The request's body is only valid until it
// returns.
type Handler func(ctx context.Context, req *Request) Response

// Server accepts connections on an evio loop, which only moves bytes; each
// connection has a goroutine that parses requests and runs the handler.
type Server struct {
	Addr        string
	MaxConns    int
	IdleTimeout time.Duration // between requests
	ReadTimeout time.Duration // from a request's first byte to its last
	Handler     Handler
	Lasting     func(*Request) bool // connections to keep when others must go; nil: none

	open atomic.Int64
	wg   sync.WaitGroup

	mu    sync.Mutex
	links map[*link]struct{}
}

// The parts of MaxConns from which on connections are closed after each answer: those that
// need not last, and then all. What comes beyond them takes turns in what is left.
//
// The second guards against clients that find every connection taken by others: of 6,000
// workers at 3,561 sockets thousands were refused until their leases ran out.
const (
	crowdedShare = 0.8
	fullShare    = 0.95
)

// Run serves until ctx is cancelled. evio's loop ends on any error of accept,
// such as a connection reset while it waited, so Run starts it anew.
func (s *Server) Run(ctx context.Context) error {
	defer s.wg.Wait()
	for started := false; ; started = true {
		err := s.serve(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && !started {
			return fmt.Errorf("wire: listen on %s: %w", s.Addr, err)
		}
		slog.Error("listener ended, starting anew", "addr", s.Addr, "err", err)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (s *Server) serve(ctx context.Context) error {
	loop, stop := context.WithCancel(ctx)
	defer stop()
	var ev evio.Events
	ev.NumLoops = 1
	ev.Opened = func(c evio.Conn) (out []byte, opts evio.Options, action evio.Action) {
		opts.ReuseInputBuffer = true
		if s.open.Add(1) > int64(s.MaxConns) && !s.makeRoom() {
			return nil, opts, evio.Close
		}
		l := s.newLink(c)
		c.SetContext(l)
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.converse(loop, l)
		}()
		return nil, opts, evio.None
	}
	ev.Closed = func(c evio.Conn, err error) evio.Action {
		s.open.Add(-1)
		if l, ok := c.Context().(*link); ok {
			s.mu.Lock()
			delete(s.links, l)
			s.mu.Unlock()
			close(l.gone)
		}
		return evio.None
	}
	ev.Data = func(c evio.Conn, in []byte) ([]byte, evio.Action) {
		l, ok := c.Context().(*link)
		if !ok {
			return nil, evio.Close
		}
		return l.exchange(in)
	}
	ev.Tick = func() (time.Duration, evio.Action) {
		if ctx.Err() != nil {
			return 0, evio.Shutdown
		}
		return 500 * time.Millisecond, evio.None
	}
	return evio.Serve(ev, "tcp://"+s.Addr)
}

// makeRoom closes the connection that has been idle longest, if one may be closed.
// It guards against users that hold connections open until no worker finds room.
func (s *Server) makeRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *link
	var since time.Time
	for l := range s.links {
		l.mu.Lock()
		if !l.lasting && !l.idle.IsZero() && (oldest == nil || l.idle.Before(since)) {
			oldest, since = l, l.idle
		}
		l.mu.Unlock()
	}
	if oldest == nil {
		return false
	}
	select {
	case oldest.shed <- struct{}{}:
	default:
	}
	delete(s.links, oldest)
	return true
}

// crowded tells whether a connection had better be closed after its answer.
func (s *Server) crowded(lasting bool) bool {
	share := crowdedShare
	if lasting {
		share = fullShare
	}
	return float64(s.open.Load()) > share*float64(s.MaxConns)
}

// converse is the goroutine of one connection.
func (s *Server) converse(ctx context.Context, l *link) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for {
		req, _, err := l.next(ctx, s.IdleTimeout, s.ReadTimeout)
		switch {
		case errors.Is(err, errGone):
			return
		case errors.Is(err, ErrMalformed):
			// The bytes behind a broken message cannot be trusted as a next one.
			l.send(AppendResponse(nil, Response{Status: 400, Close: true}), true)
			return
		case err != nil:
			l.send(nil, true)
			return
		}
		lasting := s.Lasting != nil && s.Lasting(&req)
		l.mu.Lock()
		l.lasting, l.idle = lasting, time.Time{}
		l.mu.Unlock()
		resp := s.Handler(ctx, &req)
		resp.Close = resp.Close || req.Close || s.crowded(lasting)
		l.mu.Lock()
		l.idle = time.Now()
		l.mu.Unlock()
		l.send(AppendResponse(nil, resp), resp.Close)
		if resp.Close {
			return
		}
	}
}
