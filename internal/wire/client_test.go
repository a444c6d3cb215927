package wire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedServer answers each request, which has no body, by the bytes of the next response, over
// as many connections as are dialed.
type scriptedServer struct {
	responses []string
	dialed    int
}

func (s *scriptedServer) dial(context.Context, string) (net.Conn, error) {
	s.dialed++
	client, server := net.Pipe()
	go func() {
		requests := bufio.NewScanner(server)
		for requests.Scan() {
			if requests.Text() != "" {
				continue // not the end of a head
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

// Connections are kept, unless the server ends them or they have been idle for long.
func TestClientKeepsConnections(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
	const last = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
	synctest.Test(t, func(t *testing.T) {
		server := &scriptedServer{responses: []string{response, response, last, response, response}}
		client := &Client{Dial: server.dial}
		defer client.CloseIdle()
		for i, step := range []struct {
			idle   time.Duration // before the request
			dialed int           // connections so far, with it
		}{{0, 1}, {19 * time.Second, 1}, {0, 1}, {0, 2}, {20 * time.Second, 3}} {
			time.Sleep(step.idle)
			resp, err := get(client)
			if err != nil || string(resp.Body) != "hi" || server.dialed != step.dialed {
				t.Errorf("request %d: %q, %v, %d connections", i+1, resp.Body, err, server.dialed)
			}
		}
	})
}

// An error says whether the request may have been executed.
func TestClientErrors(t *testing.T) {
	refused := errors.New("refused")
	for _, test := range []struct {
		name     string
		response string
		want     error
	}{
		{"body over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", ErrTooLarge},
		{"bytes behind the response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi!", ErrMalformed},
		{"not HTTP", "hello\r\n\r\n", ErrMalformed},
		{"response cut short", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh", os.ErrDeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &scriptedServer{responses: []string{test.response}}
				_, err := get(&Client{Dial: server.dial, Limit: 8})
				if !errors.Is(err, test.want) || errors.Is(err, ErrNotSent) {
					t.Errorf("%v", err)
				}
			})
		})
	}
	dial := func(context.Context, string) (net.Conn, error) { return nil, refused }
	if _, err := get(&Client{Dial: dial}); !errors.Is(err, ErrNotSent) || !errors.Is(err, refused) {
		t.Errorf("%v", err)
	}
}
