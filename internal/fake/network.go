package fake

// The network in memory: servers by address, and faults between pairs of hosts.

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"time"

	"tulipshelf/internal/wire"
)

// Network connects clients to servers by address.
type Network struct {
	ctx context.Context // ends all connections

	mu          sync.Mutex // guards all below
	servers     map[string]wire.Handler
	connections map[net.Conn]endpoints // by the client's side
	faults      NetworkFaults
	requests    map[string]int // so far, by server
}

// endpoints are the two hosts of a connection.
type endpoints struct{ from, to string }

// NetworkFaults are the present faults of a network. Functions get the host that sends a request and the
// address that it is sent to; nil means no such fault.
type NetworkFaults struct {
	// Partition separates hosts: new connections hang, and open ones are closed. It stands for a
	// network partition, also one that is asymmetric or concerns a single pair of hosts.
	Partition func(from, to string) bool
	// RequestDelay lets a request arrive so much later, also when its sender has given up. It stands
	// for congestion and for queues in front of a server.
	RequestDelay func(from, to string) time.Duration
	// ResponseDelay lets the response to a request leave so much later.
	ResponseDelay func(from, to string) time.Duration
	// DuplicateAfter delivers each request again after each of these times, without anybody waiting
	// for the response. It stands for retransmissions and for proxies that retry.
	DuplicateAfter []time.Duration
}

// NewNetwork returns a network without servers that lasts until ctx ends.
func NewNetwork(ctx context.Context) *Network {
	return &Network{ctx: ctx, servers: map[string]wire.Handler{}, connections: map[net.Conn]endpoints{}, requests: map[string]int{}}
}

// SetFaults replaces all faults.
func (n *Network) SetFaults(faults NetworkFaults) {
	n.UpdateFaults(func(f *NetworkFaults) { *f = faults })
}

// UpdateFaults changes some of the faults.
func (n *Network) UpdateFaults(change func(*NetworkFaults)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.faults)
	for connection, ends := range n.connections {
		if n.partitioned(ends.from, ends.to) {
			connection.Close()
		}
	}
}

// partitioned reports whether two hosts are separated. The caller holds mu.
func (n *Network) partitioned(from, to string) bool {
	return n.faults.Partition != nil && n.faults.Partition(from, to)
}

// Serve answers requests to addr until ctx ends, and then closes the connections to it.
func (n *Network) Serve(ctx context.Context, addr string, handler wire.Handler) {
	n.mu.Lock()
	n.servers[addr] = handler
	n.mu.Unlock()
	<-ctx.Done()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, addr)
	for connection, ends := range n.connections {
		if ends.to == addr {
			connection.Close()
		}
	}
}

// RequestsTo returns how many requests a server has had.
func (n *Network) RequestsTo(addr string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests[addr]
}

// Requests returns how many requests each server has had, by address.
func (n *Network) Requests() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.requests)
}

// Dial returns the dial function of the host from.
func (n *Network) Dial(from string) wire.DialFunc {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		n.mu.Lock()
		handler, isServed := n.servers[addr]
		partitioned := n.partitioned(from, addr)
		n.mu.Unlock()
		if partitioned {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if !isServed {
			return nil, errors.New("fake: connection refused")
		}
		client, server := net.Pipe()
		ends := endpoints{from, addr}
		n.mu.Lock()
		n.connections[client] = ends
		n.mu.Unlock()
		go n.serveConnection(ends, server, handler)
		return &connection{Conn: client, network: n}, nil
	}
}

// connection is the client's side of a connection.
type connection struct {
	net.Conn
	network *Network
}

// Close removes the connection from its network and closes it.
func (c *connection) Close() error {
	c.network.mu.Lock()
	delete(c.network.connections, c.Conn)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// Statuses by which a fake's handler has no response sent.
const (
	statusDropConnection = -1 // the connection ends at once
	statusNoResponse     = -2 // it ends after the client has given up
)

// noResponseDelay is longer than any client waits for a response.
const noResponseDelay = 10 * time.Second

// serveConnection answers the requests on one connection, one after the other.
func (n *Network) serveConnection(ends endpoints, server net.Conn, handler wire.Handler) {
	defer server.Close()
	ctx, cancel := context.WithCancel(n.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { server.Close() })()
	var received []byte
	chunk := make([]byte, 4096)
	for {
		req, used, err := wire.ParseRequest(received)
		if errors.Is(err, wire.ErrIncomplete) {
			size, err := server.Read(chunk)
			if err != nil {
				return
			}
			received = append(received, chunk[:size]...)
			continue
		}
		if err != nil {
			return
		}
		resp := n.handle(ctx, ends, &req, handler)
		if resp.Status == statusNoResponse {
			time.Sleep(noResponseDelay)
		}
		if resp.Status == statusDropConnection || resp.Status == statusNoResponse {
			return
		}
		if _, err := server.Write(wire.AppendResponse(nil, resp)); err != nil {
			return
		}
		received = append([]byte(nil), received[used:]...)
	}
}

// handle carries out one request, with the delays that hold as it arrives.
func (n *Network) handle(ctx context.Context, ends endpoints, req *wire.Request, handler wire.Handler) wire.Response {
	n.countAndDuplicate(ends.to, *req)
	n.mu.Lock()
	requestDelay, responseDelay := n.faults.RequestDelay, n.faults.ResponseDelay
	n.mu.Unlock()
	if requestDelay != nil {
		time.Sleep(requestDelay(ends.from, ends.to))
	}
	resp := handler(ctx, req)
	if responseDelay != nil {
		time.Sleep(responseDelay(ends.from, ends.to))
	}
	return resp
}

// countAndDuplicate counts a request and schedules its duplicates, which go to whatever serves the
// address by then.
func (n *Network) countAndDuplicate(addr string, req wire.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests[addr]++
	for _, delay := range n.faults.DuplicateAfter {
		duplicate := req
		duplicate.Body = append([]byte(nil), req.Body...)
		time.AfterFunc(delay, func() {
			n.mu.Lock()
			handler := n.servers[addr]
			n.mu.Unlock()
			if handler != nil && n.ctx.Err() == nil {
				handler(n.ctx, &duplicate)
			}
		})
	}
}
