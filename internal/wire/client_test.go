package wire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedServer is a fake server. It answers each request, which must have no body, with the next of
// its responses, on any number of connections.
type scriptedServer struct {
	responses []string // responses that have not been sent
	dialed    int      // number of connections
}

func (s *scriptedServer) dial(context.Context, string) (net.Conn, error) {
	s.dialed++
	client, server := net.Pipe()
	go func() {
		requests := bufio.NewScanner(server)
		for requests.Scan() {
			if requests.Text() != "" {
				continue // a line before the blank line that ends the request
			}
			response := s.responses[0]
			s.responses = s.responses[1:]
			if _, err := server.Write([]byte(response)); err != nil {
				return
			}
		}
	}()
	return client, nil
}

func get(client *Client) (Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return client.Do(ctx, "GET", "/", nil)
}

// TestClientKeepsConnections guards against a new connection for each request, and against the use of a
// connection that the server ends or that has been idle for maxIdleAge.
func TestClientKeepsConnections(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	const last = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
	synctest.Test(t, func(t *testing.T) {
		server := &scriptedServer{responses: []string{response, response, last, response, response}}
		client := &Client{Dial: server.dial}
		defer client.CloseIdle()
		for i, step := range []struct {
			idle   time.Duration // idle time before the request
			dialed int           // number of connections up to the request
		}{{0, 1}, {19 * time.Second, 1}, {0, 1}, {0, 2}, {20 * time.Second, 3}} {
			time.Sleep(step.idle)
			resp, err := get(client)
			if err != nil || string(resp.Body) != "hi" || server.dialed != step.dialed {
				t.Errorf("request %d: body %q, error %v, %d connections, want %d", i+1, resp.Body, err, server.dialed, step.dialed)
			}
		}
	})
}

// TestClientErrors guards against errors that do not tell whether the request may have been executed: of
// the errors here, only that of dialing wraps ErrNotSent.
func TestClientErrors(t *testing.T) {
	refused := errors.New("refused")
	for _, test := range []struct {
		name     string
		response string
		want     error
	}{
		{"body over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", ErrTooLarge},
		{"bytes after the response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi!", ErrMalformed},
		{"not HTTP", "hello\r\n\r\n", ErrMalformed},
		{"response cut short", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh", os.ErrDeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &scriptedServer{responses: []string{test.response}}
				_, err := get(&Client{Dial: server.dial, Limit: 8})
				if !errors.Is(err, test.want) || errors.Is(err, ErrNotSent) {
					t.Errorf("error %v, want one that wraps %q and not ErrNotSent", err, test.want)
				}
			})
		})
	}
	dial := func(context.Context, string) (net.Conn, error) { return nil, refused }
	if _, err := get(&Client{Dial: dial}); !errors.Is(err, ErrNotSent) || !errors.Is(err, refused) {
		t.Errorf("error %v, want one that wraps ErrNotSent and %q", err, refused)
	}
}

// lateDeadlineConn is a connection on which a deadline in the past is set only once late is closed. It ends
// the request's context when the response has been read.
type lateDeadlineConn struct {
	net.Conn
	endContext context.CancelFunc
	late       chan struct{}
	interrupts sync.WaitGroup // calls that set a deadline in the past
}

func (c *lateDeadlineConn) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n > 0 {
		c.interrupts.Add(1)
		c.endContext()
	}
	return n, err
}

func (c *lateDeadlineConn) SetDeadline(deadline time.Time) error {
	if !deadline.IsZero() && deadline.Before(time.Now()) {
		<-c.late
		defer c.interrupts.Done()
	}
	return c.Conn.SetDeadline(deadline)
}

// TestLateDeadlineHitsNoOtherRequest guards against the failure of an unrelated request: the context of a
// request ends as its response arrives, and the deadline that interrupts it is set only after the next
// request on the connection has begun.
func TestLateDeadlineHitsNoOtherRequest(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	synctest.Test(t, func(t *testing.T) {
		server := &scriptedServer{responses: []string{response, response}}
		ctx, cancel := context.WithCancel(t.Context())
		first := &lateDeadlineConn{endContext: cancel, late: make(chan struct{})}
		client := &Client{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := server.dial(ctx, addr)
			if first.Conn == nil {
				first.Conn = conn
				return first, err
			}
			return conn, err
		}}
		defer client.CloseIdle()
		if resp, err := client.Do(ctx, "GET", "/", nil); err != nil || string(resp.Body) != "hi" {
			t.Fatalf("first request: body %q, error %v", resp.Body, err)
		}
		synctest.Wait() // the interruption waits for late
		idle := client.takeIdle()
		if idle != nil {
			t.Error("the connection is kept, although a deadline in the past is about to be set on it")
			client.keep(idle)
		}
		close(first.late)
		first.interrupts.Wait()
		if _, err := get(client); err != nil {
			t.Errorf("second request: %v", err)
		}
	})
}
