package wire

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tidwall/evio"
)

// link is what the loop and a connection's goroutine share.
type link struct {
	conn evio.Conn
	more chan struct{} // capacity 1: bytes arrived
	gone chan struct{} // closed by the loop once the connection is closed
	shed chan struct{} // capacity 1: another connection needs the room

	mu    sync.Mutex
	in    []byte
	out   []byte
	close bool

	lasting bool
	idle    time.Time // since when it waits for a request; zero: it is answering one
}

// maxPending bounds what one connection may have sent and not yet been read:
// one whole request and the start of the next.
const maxPending = MaxBody + 2*maxHead

func (s *Server) newLink(c evio.Conn) *link {
	l := &link{conn: c, more: make(chan struct{}, 1), gone: make(chan struct{}), shed: make(chan struct{}, 1), idle: time.Now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		s.links = map[*link]struct{}{}
	}
	s.links[l] = struct{}{}
	return l
}

// exchange runs on the loop: it takes what arrived and hands out what the
// goroutine has written.
func (l *link) exchange(in []byte) ([]byte, evio.Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(in) > 0 {
		if len(l.in)+len(in) > maxPending {
			return nil, evio.Close
		}
		l.in = append(l.in, in...)
		select {
		case l.more <- struct{}{}:
		default:
		}
	}
	out := l.out
	l.out = nil
	if l.close {
		return out, evio.Close
	}
	return out, evio.None
}

// send hands an answer to the loop. A connection that is gone is not woken: when
// the loop itself has ended, its wake descriptor may be another's by now.
func (l *link) send(out []byte, end bool) {
	select {
	case <-l.gone:
		return
	default:
	}
	l.mu.Lock()
	l.out = append(l.out, out...)
	l.close = l.close || end
	l.mu.Unlock()
	l.conn.Wake()
}

// next waits for a whole request. The returned buffer backs its body.
func (l *link) next(ctx context.Context, idle, read time.Duration) (Request, []byte, error) {
	var first time.Time
	timer := time.NewTimer(idle)
	defer timer.Stop()
	for {
		l.mu.Lock()
		req, n, err := ParseRequest(l.in)
		if err == nil {
			buf := l.in[:n:n]
			if n == len(l.in) {
				l.in = nil
			} else {
				l.in = append([]byte(nil), l.in[n:]...)
			}
			l.mu.Unlock()
			return req, buf, nil
		}
		some := len(l.in) > 0
		l.mu.Unlock()
		if !errors.Is(err, ErrIncomplete) {
			return req, nil, err
		}
		if some && first.IsZero() {
			first = time.Now()
			timer.Reset(read)
		}
		select {
		case <-l.more:
		case <-l.gone:
			return req, nil, errGone
		case <-l.shed:
			return req, nil, errShed
		case <-timer.C:
			return req, nil, errSlow
		case <-ctx.Done():
			return req, nil, ctx.Err()
		}
	}
}

var (
	errGone = errors.New("wire: connection closed")
	errSlow = errors.New("wire: peer too slow")
	errShed = errors.New("wire: connection closed to make room")
)
