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

// fakeConn is a fake of an evio connection. It passes bytes to a connection as the event loop does and
// records the bytes that the connection sends.
type fakeConn struct {
	connection *connection

	mu     sync.Mutex // guards the fields below
	out    strings.Builder
	closed bool
	woken  int // number of calls of Wake
}

func (conn *fakeConn) Context() any         { return conn.connection }
func (conn *fakeConn) SetContext(any)       {}
func (conn *fakeConn) AddrIndex() int       { return 0 }
func (conn *fakeConn) LocalAddr() net.Addr  { return nil }
func (conn *fakeConn) RemoteAddr() net.Addr { return nil }
func (conn *fakeConn) Wake() {
	conn.mu.Lock()
	conn.woken++
	conn.mu.Unlock()
	conn.receive("")
}

func (conn *fakeConn) receive(in string) {
	out, action := conn.connection.transfer([]byte(in))
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.out.Write(out)
	if action == evio.Close && !conn.closed {
		conn.closed = true
		close(conn.connection.closed)
	}
}

func (conn *fakeConn) sent() (string, bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.out.String(), conn.closed
}

// withConnection runs a test in simulated time on a connection whose handler responds with the path and
// the body of the request: to /slow after a second, and to /busy only once the context ends.
func withConnection(t *testing.T, test func(*fakeConn)) {
	t.Helper()
	synctest.Test(t, func(_ *testing.T) {
		server := &Server{IdleTimeout: time.Minute, ReadTimeout: 10 * time.Second, Handler: func(ctx context.Context, r *Request) Response {
			switch r.Path {
			case "/busy":
				<-ctx.Done()
			case "/slow":
				time.Sleep(time.Second)
			}
			return Response{Status: 200, Body: []byte(r.Path + string(r.Body))}
		}}
		conn := &fakeConn{}
		conn.connection = server.newConnection(conn)
		ctx, cancel := context.WithCancel(context.Background())
		go server.serveConnection(ctx, conn.connection)
		test(conn)
		cancel()
		synctest.Wait()
	})
}

// TestEvictsLongestIdleConnection guards against worker agents that are refused because users hold all
// connections: users' idle connections are evicted, the longest idle first, and workers' are not.
func TestEvictsLongestIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &Server{MaxConns: 100, IdleTimeout: time.Minute, ReadTimeout: 10 * time.Second,
			Handler: func(context.Context, *Request) Response { return Response{Status: 200} },
			Lasting: func(r *Request) bool { return r.Path == "/report" }}
		ctx, cancel := context.WithCancel(context.Background())
		conns := make([]*fakeConn, 3)
		for i, path := range []string{"/report", "/job", "/job"} {
			conn := &fakeConn{}
			conn.connection = server.newConnection(conn)
			go server.serveConnection(ctx, conn.connection)
			conn.receive("GET " + path + " HTTP/1.1\r\n\r\n")
			time.Sleep(time.Second)
			conns[i] = conn
		}
		for i, want := range []struct{ evicted, first, second bool }{{true, true, false}, {true, true, true}, {false, true, true}} {
			evicted := server.evictLongestIdle()
			synctest.Wait()
			_, worker := conns[0].sent()
			_, first := conns[1].sent()
			_, second := conns[2].sent()
			if evicted != want.evicted || worker || first != want.first || second != want.second {
				t.Errorf("eviction %d: done %v; closed: worker %v, users %v and %v", i+1, evicted, worker, first, second)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// TestClosesNearConnectionLimit guards against clients that find every connection taken by others. Above
// closeShare of MaxConns users' connections are closed after each response, and above closeLastingShare
// workers' connections too.
func TestClosesNearConnectionLimit(t *testing.T) {
	for _, test := range []struct {
		open         int64 // number of open connections
		worker, user bool  // whether their connections are closed
	}{{80, false, false}, {81, false, true}, {95, false, true}, {96, true, true}} {
		synctest.Test(t, func(t *testing.T) {
			server := &Server{MaxConns: 100, IdleTimeout: time.Minute, ReadTimeout: 10 * time.Second,
				Handler: func(context.Context, *Request) Response { return Response{Status: 200} },
				Lasting: func(r *Request) bool { return r.Path == "/report" }}
			server.open.Store(test.open)
			ctx, cancel := context.WithCancel(context.Background())
			for path, want := range map[string]bool{"/report": test.worker, "/job": test.user} {
				conn := &fakeConn{}
				conn.connection = server.newConnection(conn)
				go server.serveConnection(ctx, conn.connection)
				conn.receive("GET " + path + " HTTP/1.1\r\n\r\n")
				time.Sleep(time.Second)
				if out, closed := conn.sent(); closed != want || !strings.HasPrefix(out, "HTTP/1.1 200") {
					t.Errorf("%d open, %s: closed %v, want %v; sent %q", test.open, path, closed, want, out)
				}
			}
			cancel()
			synctest.Wait()
		})
	}
}

func TestConnectionAnswersInTurn(t *testing.T) {
	withConnection(t, func(conn *fakeConn) {
		conn.receive("GET /a HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nContent-Len")
		time.Sleep(time.Second)
		conn.receive("gth: 1\r\n\r\nx")
		time.Sleep(time.Second)
		conn.receive("GET /c HTTP/1.1\r\nConnection: close\r\n\r\n")
		time.Sleep(time.Second)
		out, closed := conn.sent()
		if strings.Count(out, "200 OK") != 3 || !strings.Contains(out, "/bx") || !closed {
			t.Errorf("closed %v: %q", closed, out)
		}
	})
}

func TestConnectionMalformed(t *testing.T) {
	withConnection(t, func(conn *fakeConn) {
		conn.receive("nonsense\r\n\r\nGET /a HTTP/1.1\r\n\r\n")
		time.Sleep(time.Second)
		out, closed := conn.sent()
		if !strings.HasPrefix(out, "HTTP/1.1 400") || strings.Contains(out, "200 OK") || !closed {
			t.Errorf("closed %v: %q", closed, out)
		}
	})
}

func TestConnectionSlowAndIdle(t *testing.T) {
	withConnection(t, func(conn *fakeConn) {
		conn.receive("GET /a HTT")
		time.Sleep(9 * time.Second)
		if _, closed := conn.sent(); closed {
			t.Error("closed before ReadTimeout")
		}
		time.Sleep(2 * time.Second)
		if _, closed := conn.sent(); !closed {
			t.Error("a slow peer's connection is open after ReadTimeout")
		}
	})
	withConnection(t, func(conn *fakeConn) {
		time.Sleep(59 * time.Second)
		if _, closed := conn.sent(); closed {
			t.Error("closed before IdleTimeout")
		}
		time.Sleep(2 * time.Second)
		if _, closed := conn.sent(); !closed {
			t.Error("an idle connection is open after IdleTimeout")
		}
	})
}

func TestConnectionBounded(t *testing.T) {
	withConnection(t, func(conn *fakeConn) {
		conn.receive("GET /busy HTTP/1.1\r\n\r\n")
		synctest.Wait()
		for range 100 {
			conn.receive(strings.Repeat("x", 2000))
		}
		if _, closed := conn.sent(); !closed {
			t.Error("the connection is open after more than maxPending bytes that are not parsed")
		}
	})
}

// TestConnectionGoneIsNotWoken guards against the wake of a closed connection, whose event loop may have
// ended: a handler that returns after the connection is closed does not wake it.
func TestConnectionGoneIsNotWoken(t *testing.T) {
	withConnection(t, func(conn *fakeConn) {
		conn.receive("GET /slow HTTP/1.1\r\n\r\n")
		synctest.Wait()
		close(conn.connection.closed)
		time.Sleep(2 * time.Second)
		if conn.mu.Lock(); conn.woken != 0 {
			t.Errorf("woken %d times", conn.woken)
		}
		conn.mu.Unlock()
	})
}
