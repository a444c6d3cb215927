package fake

// The in-memory network: servers by address, and faults between pairs of hosts.

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
	ctx context.Context // all connections are closed when it ends

	mu          sync.Mutex              // guards the fields below
	servers     map[string]wire.Handler // by address
	connections map[net.Conn]endpoints  // by the client's side of the connection
	faults      NetworkFaults
	requests    map[string]int // number of requests received, by address of the server
}

// endpoints holds the client host and the server address of a connection.
type endpoints struct{ from, to string }

// NetworkFaults is the set of active faults of a network. The functions are called with the host that sends
// a request and the address to which it is sent; a nil function means that the fault is not active.
type NetworkFaults struct {
	// Partition separates hosts: new connections hang, and open ones are closed. It simulates a network
	// partition, which may be asymmetric or affect a single pair of hosts.
	Partition func(from, to string) bool
	// RequestDelay delays the processing of a request, which is processed even if its sender has timed out
	// meanwhile. It simulates congestion and queues in front of a server.
	RequestDelay func(from, to string) time.Duration
	// ResponseDelay delays the response to a request.
	ResponseDelay func(from, to string) time.Duration
	// DuplicateAfter returns the times after which a request is delivered again; the responses to the
	// duplicates are discarded. It simulates retransmissions and proxies that retry.
	DuplicateAfter func(from, to string) []time.Duration
}

// NewNetwork returns a network without servers, whose connections are closed when ctx ends.
func NewNetwork(ctx context.Context) *Network {
	return &Network{ctx: ctx, servers: map[string]wire.Handler{}, connections: map[net.Conn]endpoints{}, requests: map[string]int{}}
}

// SetFaults replaces all active faults of the network.
func (n *Network) SetFaults(faults NetworkFaults) {
	n.UpdateFaults(func(f *NetworkFaults) { *f = faults })
}

// UpdateFaults changes some of the active faults of the network and leaves the others.
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

// partitioned reports whether Partition separates from and to. The caller holds mu.
func (n *Network) partitioned(from, to string) bool {
	return n.faults.Partition != nil && n.faults.Partition(from, to)
}

// Serve passes requests to addr to handler until ctx ends, and then closes the connections to addr.
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

// RequestsTo returns the number of requests that the server at addr has received.
func (n *Network) RequestsTo(addr string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.requests[addr]
}

// Requests returns the number of requests that each server has received, by address.
func (n *Network) Requests() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.requests)
}

// Dial returns a function that dials addresses from the host from. If the two are partitioned at the time
// of the call, it blocks until its context ends. For an address without a server it returns an error.
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

// Close closes the connection and removes it from its network.
func (c *connection) Close() error {
	c.network.mu.Lock()
	delete(c.network.connections, c.Conn)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// Statuses with which a handler of a fake suppresses the response.
const (
	statusDropConnection = -1 // the connection is closed at once
	statusNoResponse     = -2 // the connection is closed after noResponseDelay
)

// noResponseDelay is the delay before a connection without a response is closed. It is longer than any
// client waits for a response.
const noResponseDelay = 10 * time.Second

// serveConnection answers the requests on a connection sequentially.
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

// handle passes a request to handler, with the delays that are active when the request arrives.
func (n *Network) handle(ctx context.Context, ends endpoints, req *wire.Request, handler wire.Handler) wire.Response {
	n.countAndDuplicate(ends, *req)
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

// countAndDuplicate counts a request and schedules its duplicates. A duplicate goes to the handler that
// serves the address at the time of its delivery, and is dropped if there is none.
func (n *Network) countAndDuplicate(ends endpoints, req wire.Request) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.requests[ends.to]++
	if n.faults.DuplicateAfter == nil {
		return
	}
	for _, delay := range n.faults.DuplicateAfter(ends.from, ends.to) {
		duplicate := req
		duplicate.Body = append([]byte(nil), req.Body...)
		time.AfterFunc(delay, func() {
			n.mu.Lock()
			handler := n.servers[ends.to]
			n.mu.Unlock()
			if handler != nil && n.ctx.Err() == nil {
				handler(n.ctx, &duplicate)
			}
		})
	}
}
