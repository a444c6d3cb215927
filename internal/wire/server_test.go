package wire

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tidwall/evio"
)

// loopConn stands for evio: it passes bytes to a connection as the loop does
// and keeps what comes back.
type loopConn struct {
	mu     sync.Mutex
	link   *link
	out    strings.Builder
	closed bool
	woken  int
}

func (c *loopConn) Context() any         { return c.link }
func (c *loopConn) SetContext(any)       {}
func (c *loopConn) AddrIndex() int       { return 0 }
func (c *loopConn) LocalAddr() net.Addr  { return nil }
func (c *loopConn) RemoteAddr() net.Addr { return nil }
func (c *loopConn) Wake() {
	c.mu.Lock()
	c.woken++
	c.mu.Unlock()
	c.data("")
}

func (c *loopConn) data(in string) {
	out, action := c.link.exchange([]byte(in))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out.Write(out)
	if action == evio.Close && !c.closed {
		c.closed = true
		close(c.link.gone)
	}
}

func (c *loopConn) sent() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.out.String(), c.closed
}

func converse(t *testing.T, f func(*loopConn)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &Server{IdleTimeout: time.Minute, ReadTimeout: 10 * time.Second, Handler: func(ctx context.Context, r *Request) Response {
			switch r.Path {
			case "/busy":
				<-ctx.Done()
			case "/slow":
				time.Sleep(time.Second)
			}
			return Response{Status: 200, Body: []byte(r.Path + string(r.Body))}
		}}
		c := &loopConn{}
		c.link = s.newLink(c)
		ctx, cancel := context.WithCancel(context.Background())
		go s.converse(ctx, c.link)
		f(c)
		cancel()
		synctest.Wait()
	})
}

// Where connections run out, users' idle ones go first, the longest idle before
// others; workers' stay.
func TestMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Server{MaxConns: 100, IdleTimeout: time.Minute, ReadTimeout: 10 * time.Second,
			Handler: func(context.Context, *Request) Response { return Response{Status: 200} },
			Lasting: func(r *Request) bool { return r.Path == "/report" }}
		ctx, cancel := context.WithCancel(context.Background())
		conns := make([]*loopConn, 3)
		for i, path := range []string{"/report", "/job", "/job"} {
			c := &loopConn{}
			c.link = s.newLink(c)
			go s.converse(ctx, c.link)
			c.data("GET " + path + " HTTP/1.1\r\n\r\n")
			time.Sleep(time.Second)
			conns[i] = c
		}
		for i, want := range []struct{ room, first, second bool }{{true, true, false}, {true, true, true}, {false, true, true}} {
			room := s.makeRoom()
			synctest.Wait()
			_, worker := conns[0].sent()
			_, first := conns[1].sent()
			_, second := conns[2].sent()
			if room != want.room || worker || first != want.first || second != want.second {
				t.Errorf("after %d: room %v, closed %v %v %v", i+1, room, worker, first, second)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// Where nearly all connections are taken, workers' are closed after each answer too, so that
// others find room; below that they stay, and users' are closed.
func TestClosedWhenCrowded(t *testing.T) {
	for _, x := range []struct {
		open         int64
		worker, user bool // whether their connections are closed
	}{{80, false, false}, {81, false, true}, {95, false, true}, {96, true, true}} {
		synctest.Test(t, func(t *testing.T) {
			s := &Server{MaxConns: 100, IdleTimeout: time.Minute, ReadTimeout: 10 * time.Second,
				Handler: func(context.Context, *Request) Response { return Response{Status: 200} },
				Lasting: func(r *Request) bool { return r.Path == "/report" }}
			s.open.Store(x.open)
			ctx, cancel := context.WithCancel(context.Background())
			for path, want := range map[string]bool{"/report": x.worker, "/job": x.user} {
				c := &loopConn{}
				c.link = s.newLink(c)
				go s.converse(ctx, c.link)
				c.data("GET " + path + " HTTP/1.1\r\n\r\n")
				time.Sleep(time.Second)
				if out, closed := c.sent(); closed != want || !strings.HasPrefix(out, "HTTP/1.1 200") {
					t.Errorf("%d open, %s: closed %v, %q", x.open, path, closed, out)
				}
			}
			cancel()
			synctest.Wait()
		})
	}
}

func TestConnectionAnswersInTurn(t *testing.T) {
	converse(t, func(c *loopConn) {
		c.data("GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Len")
		time.Sleep(time.Second)
		c.data("gth: 1\r\n\r\nx")
		time.Sleep(time.Second)
		c.data("GET /c HTTP/1.1\r\nConnection: close\r\n\r\n")
		time.Sleep(time.Second)
		out, closed := c.sent()
		if strings.Count(out, "200 OK") != 3 || !strings.Contains(out, "/bx") || !closed {
			t.Errorf("closed %v: %q", closed, out)
		}
	})
}

func TestConnectionMalformed(t *testing.T) {
	converse(t, func(c *loopConn) {
		c.data("nonsense\r\n\r\nGET /a HTTP/1.1\r\n\r\n")
		time.Sleep(time.Second)
		out, closed := c.sent()
		if !strings.HasPrefix(out, "HTTP/1.1 400") || strings.Contains(out, "200 OK") || !closed {
			t.Errorf("closed %v: %q", closed, out)
		}
	})
}

func TestConnectionSlowAndIdle(t *testing.T) {
	converse(t, func(c *loopConn) {
		c.data("GET /a HTT")
		time.Sleep(9 * time.Second)
		if _, closed := c.sent(); closed {
			t.Error("closed before the time to read is over")
		}
		time.Sleep(2 * time.Second)
		if _, closed := c.sent(); !closed {
			t.Error("a slow peer is kept")
		}
	})
	converse(t, func(c *loopConn) {
		time.Sleep(59 * time.Second)
		if _, closed := c.sent(); closed {
			t.Error("closed before the idle time is over")
		}
		time.Sleep(2 * time.Second)
		if _, closed := c.sent(); !closed {
			t.Error("a silent peer is kept")
		}
	})
}

func TestConnectionBounded(t *testing.T) {
	converse(t, func(c *loopConn) {
		c.data("GET /busy HTTP/1.1\r\n\r\n")
		synctest.Wait()
		for range 100 {
			c.data(strings.Repeat("x", 2000))
		}
		if _, closed := c.sent(); !closed {
			t.Error("a peer may send without end")
		}
	})
}

// A handler that ends after its connection does not touch the loop any more.
func TestConnectionGoneIsNotWoken(t *testing.T) {
	converse(t, func(c *loopConn) {
		c.data("GET /slow HTTP/1.1\r\n\r\n")
		synctest.Wait()
		close(c.link.gone)
		time.Sleep(2 * time.Second)
		if c.mu.Lock(); c.woken != 0 {
			t.Errorf("woken %d times", c.woken)
		}
		c.mu.Unlock()
	})
}
