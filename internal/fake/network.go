// Package fake is what tests run the controllers against: a network in
// memory, a state service, a cloud and workers, all by their published
// protocols, with a referee that watches the rules. It works in simulated time
// (testing/synctest) and is part of no deployment.
package fake

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"time"

	"tulipshelf/internal/wire"
)

// Network is a network in memory: servers by address, and cuts between hosts.
type Network struct {
	ctx     context.Context
	mu      sync.Mutex
	servers map[string]wire.Handler
	cut     func(from, to string) bool
	conns   map[net.Conn][2]string
	delays  []time.Duration // after which each request is delivered once more
	asked   map[string]int  // requests by server
	hold    func(from, to string) time.Duration
	linger  func(from, to string) time.Duration
}

// NewNetwork returns a network without servers that lasts until ctx ends.
func NewNetwork(ctx context.Context) *Network {
	return &Network{ctx: ctx, servers: map[string]wire.Handler{}, conns: map[net.Conn][2]string{}, asked: map[string]int{}}
}

// Serve answers at addr until ctx ends.
func (n *Network) Serve(ctx context.Context, addr string, h wire.Handler) {
	n.mu.Lock()
	n.servers[addr] = h
	n.mu.Unlock()
	<-ctx.Done()
	n.mu.Lock()
	delete(n.servers, addr)
	for c, ends := range n.conns {
		if ends[1] == addr {
			c.Close()
		}
	}
	n.mu.Unlock()
}

// Partition makes requests hang for which cut says so; nil heals the network.
func (n *Network) Partition(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	for c, ends := range n.conns {
		if cut != nil && cut(ends[0], ends[1]) {
			c.Close()
		}
	}
}

// DuplicateRequests makes every request that was carried out arrive once more after each of the
// delays, with nobody waiting for the answer: as late copies of packets do.
func (n *Network) DuplicateRequests(delays ...time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays = delays
}

// DelayRequests makes requests arrive so much later, also when whoever sent them has given up; nil
// ends that.
func (n *Network) DelayRequests(hold func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hold = hold
}

// DelayResponses makes the answers to requests leave so much later; nil ends that.
func (n *Network) DelayResponses(linger func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.linger = linger
}

// RequestsTo returns how many requests a server has had.
func (n *Network) RequestsTo(addr string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.asked[addr]
}

// Requests returns how many requests each server has had.
func (n *Network) Requests() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.asked)
}

// again delivers copies of a request, if that is wanted.
func (n *Network) again(addr string, req wire.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked[addr]++
	for _, d := range n.delays {
		req := req
		req.Body = append([]byte(nil), req.Body...)
		time.AfterFunc(d, func() {
			n.mu.Lock()
			h := n.servers[addr] // whoever serves there by then
			n.mu.Unlock()
			if h != nil && n.ctx.Err() == nil {
				h(n.ctx, &req)
			}
		})
	}
}

// Dial returns the dial function of the host called from.
func (n *Network) Dial(from string) wire.DialFunc {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		n.mu.Lock()
		h, ok := n.servers[addr]
		hang := n.cut != nil && n.cut(from, addr)
		n.mu.Unlock()
		if hang {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if !ok {
			return nil, errors.New("fake: connection refused")
		}
		a, b := net.Pipe()
		n.mu.Lock()
		n.conns[a] = [2]string{from, addr}
		n.mu.Unlock()
		go n.answer(from, addr, b, h)
		return &conn{Conn: a, n: n}, nil
	}
}

type conn struct {
	net.Conn
	n *Network
}

func (c *conn) Close() error {
	c.n.mu.Lock()
	delete(c.n.conns, c.Conn)
	c.n.mu.Unlock()
	return c.Conn.Close()
}

// Statuses of answers that are never sent: the connection ends, or it does after whoever
// asked has given up.
const (
	drop = -1
	hang = -2
)

func (n *Network) answer(from, addr string, c net.Conn, h wire.Handler) {
	defer c.Close()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	var buf []byte
	chunk := make([]byte, 4096)
	for {
		req, used, err := wire.ParseRequest(buf)
		if err == nil {
			n.again(addr, req)
			n.mu.Lock()
			hold, linger := n.hold, n.linger
			n.mu.Unlock()
			if hold != nil {
				time.Sleep(hold(from, addr))
			}
			resp := h(ctx, &req)
			if linger != nil {
				time.Sleep(linger(from, addr))
			}
			if resp.Status == hang {
				time.Sleep(10 * time.Second)
			}
			if resp.Status == drop || resp.Status == hang {
				return
			}
			if _, err := c.Write(wire.AppendResponse(nil, resp)); err != nil {
				return
			}
			buf = append([]byte(nil), buf[used:]...)
			continue
		}
		if !errors.Is(err, wire.ErrIncomplete) {
			return
		}
		m, err := c.Read(chunk)
		if err != nil {
			return
		}
		buf = append(buf, chunk[:m]...)
	}
}
