// Package peer is what the controllers of one service tell each other, in
// protobuf over HTTP: who leads, and which jobs have changed or are cancelled. It makes
// learning faster, and it tells a leader that is cut off from the state service alone
// that another one has been elected, or that jobs are cancelled.
package peer

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative peer.proto"

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"tulipshelf/internal/wire"
)

// Paths served to other controllers.
const (
	beatPath    = "/beat"
	changedPath = "/changed"
)

// Other is another controller.
type Other struct {
	Node string
	Addr string
}

// Net speaks with the other controllers.
type Net struct {
	Dial    wire.DialFunc // nil: TCP
	Node    string
	Others  []Other
	Known   func() (leader string, term uint64) // what this node knows
	Learned func(leader string, term uint64)    // what another node knows
	Changed func(jobs []string)                 // jobs changed elsewhere
	Strays  func() int                          // machines that came to this node, which does not lead

	Served       func() bool         // whether the state service serves this node
	OwnCancelled func() []string     // jobs lately cancelled here
	Cancelled    func(jobs []string) // and elsewhere

	mu      sync.Mutex
	began   time.Time
	clients map[string]*wire.Client
	heard   map[string]time.Time
	leading map[string]time.Time // when a node last said that it leads itself
	strays  map[string]int       // machines that came to a node which does not lead
	served  map[string]bool      // whether the state service served a node when last heard
}

const (
	beatEvery = time.Second
	timeout   = 800 * time.Millisecond
)

// Run sends beats until ctx ends.
func (n *Net) Run(ctx context.Context) {
	n.mu.Lock()
	n.began = time.Now()
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, o := range n.Others {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				n.beat(ctx, o)
				select {
				case <-ctx.Done():
				case <-time.After(beatEvery*3/4 + rand.N(beatEvery/2)):
				}
			}
		}()
	}
	wg.Wait()
}

// Heard tells whether a node has been heard within d, or might have been had
// this node run for so long.
func (n *Net) Heard(node string, d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.heard[node]
	if !ok {
		t = n.began
	}
	return time.Since(t) < d
}

// Leads tells whether a node has said within d that it leads.
func (n *Net) Leads(node string, d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.leading[node]) < d
}

// StraysElsewhere returns how many machines another node, heard within d, has seen
// come by though it does not lead: the most of any.
func (n *Net) StraysElsewhere(d time.Duration) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	most := 0
	for node, count := range n.strays {
		if time.Since(n.heard[node]) < d {
			most = max(most, count)
		}
	}
	return most
}

// NobodyServed tells whether others were heard within d and none of them is served by
// the state service.
func (n *Net) NobodyServed(d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	nobody := false
	for node, at := range n.heard {
		if time.Since(at) < d {
			if n.served[node] {
				return false
			}
			nobody = true
		}
	}
	return nobody
}

func (n *Net) own() []byte {
	leader, term := n.Known()
	return marshal(&Beat{Node: n.Node, Term: term, Leader: leader, Strays: uint32(n.Strays()), Cancelled: n.OwnCancelled(), Served: n.Served()})
}

func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // our own messages always encode
	}
	return b
}

func (n *Net) client(o Other) *wire.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.clients == nil {
		n.clients = map[string]*wire.Client{}
	}
	c := n.clients[o.Node]
	if c == nil {
		c = &wire.Client{Dial: n.Dial, Addr: o.Addr}
		n.clients[o.Node] = c
	}
	return c
}

func (n *Net) post(ctx context.Context, o Other, path string, body []byte) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := n.client(o)
	resp, err := c.Do(ctx, "POST", path, body)
	if err != nil || resp.Status != 200 {
		c.CloseIdle()
		slog.Debug("peer not reached", "peer", o.Node, "status", resp.Status, "err", err)
		return nil, false
	}
	return resp.Body, true
}

func (n *Net) beat(ctx context.Context, o Other) {
	body, ok := n.post(ctx, o, beatPath, n.own())
	if !ok {
		return
	}
	b, ok := n.take(body)
	if !ok {
		return
	}
	// Only the answer to one's own beat is a sign of life. One that comes in may be a
	// late copy: taken for a sign, it kept workers waiting for a leader that could not
	// be reached until their leases ran out (TestRepeats).
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.heard == nil {
		n.heard, n.leading, n.strays, n.served = map[string]time.Time{}, map[string]time.Time{}, map[string]int{}, map[string]bool{}
	}
	n.heard[b.Node] = time.Now()
	n.strays[b.Node], n.served[b.Node] = int(b.Strays), b.Served
	if b.Leader == b.Node {
		n.leading[b.Node] = time.Now()
	}
}

// take learns who leads and what is cancelled; a late copy names a lower term, and what
// is cancelled stays so.
func (n *Net) take(body []byte) (*Beat, bool) {
	var b Beat
	if err := proto.Unmarshal(body, &b); err != nil || b.Node == "" {
		return nil, false
	}
	n.Learned(b.Leader, b.Term)
	n.Cancelled(b.Cancelled)
	return &b, true
}

// Tell passes on that a job has changed: to the leader, if one is known.
func (n *Net) Tell(ctx context.Context, job string) {
	leader, _ := n.Known()
	if leader == n.Node {
		n.Changed([]string{job})
		return
	}
	for _, o := range n.Others {
		if o.Node == leader {
			n.post(ctx, o, changedPath, marshal(&Changed{Jobs: []string{job}}))
		}
	}
}

// Serve answers another controller.
func (n *Net) Serve(_ context.Context, req *wire.Request) wire.Response {
	if req.Method != "POST" {
		return wire.Response{Status: 405}
	}
	switch req.Path {
	case beatPath:
		if _, ok := n.take(req.Body); !ok {
			return wire.Response{Status: 400}
		}
		return wire.Response{Status: 200, Body: n.own()}
	case changedPath:
		var c Changed
		if err := proto.Unmarshal(req.Body, &c); err != nil {
			return wire.Response{Status: 400}
		}
		n.Changed(c.Jobs)
		return wire.Response{Status: 200}
	}
	return wire.Response{Status: 404}
}
