// Package peer is what the controllers of one service tell each other, in
// protobuf over HTTP: who leads, and which jobs have changed or are cancelled. It makes
// learning faster, it tells a leader that is cut off from the state service alone that
// another one has been elected or that jobs are cancelled, and it keeps what is known of
// cancellations beyond the end of any one of them (package cancellation).
package peer

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative peer.proto"

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"tulipshelf/internal/cancellation"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// Paths served to other controllers.
const (
	heartbeatPath = "/beat"
	changedPath   = "/changed"
)

// Member is another controller.
type Member struct {
	Node string
	Addr string
}

// Group speaks with the other controllers.
type Group struct {
	Dial         wire.DialFunc // nil: TCP
	Node         string
	Members      []Member
	Leadership   func() (leader string, term uint64) // what this node knows
	OnLeadership func(leader string, term uint64)    // what another node knows
	OnChanged    func(jobs []string)                 // jobs changed elsewhere
	Redirected   func() int                          // machines that came to this node, which does not lead

	StoreReachable  func() bool            // whether the state service serves this node
	Register        *cancellation.Register // of cancelled jobs
	OnCancelled     func(jobs []string)    // jobs are news there
	ConfirmedGone   func() []job.AttemptID // of cancelled jobs, though recorded as live
	OnConfirmedGone func([]job.AttemptID)  // the same of another node

	mu         sync.Mutex
	rounds     map[string]*round        // heartbeats to come for which somebody waits
	wake       map[string]chan struct{} // sends one at once
	began      time.Time
	clients    map[string]*wire.Client
	heard      map[string]time.Time
	leading    map[string]time.Time // when a node last said that it leads itself
	redirected map[string]int       // machines that came to a node which does not lead
	served     map[string]bool      // whether the state service served a node when last heard
	gangs      map[string]bool      // whether a node's version ran gangs when last heard
}

// round is one heartbeat to come.
type round struct {
	done chan struct{} // closed once it was answered or has failed
}

const (
	heartbeatEvery = time.Second
	timeout        = 800 * time.Millisecond
)

// Run sends heartbeats until ctx ends.
func (n *Group) Run(ctx context.Context) {
	n.mu.Lock()
	n.began = time.Now()
	n.rounds, n.wake = map[string]*round{}, map[string]chan struct{}{}
	for _, o := range n.Members {
		n.wake[o.Node] = make(chan struct{}, 1)
	}
	n.mu.Unlock()
	var wg sync.WaitGroup
	for _, o := range n.Members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				n.mu.Lock()
				r := n.rounds[o.Node]
				delete(n.rounds, o.Node)
				n.mu.Unlock()
				n.sendHeartbeat(ctx, o)
				if r != nil {
					close(r.done)
				}
				select {
				case <-ctx.Done():
				case <-n.wake[o.Node]:
				case <-time.After(heartbeatEvery*3/4 + rand.N(heartbeatEvery/2)):
				}
			}
		}()
	}
	wg.Wait()
}

// ReplicateCancellation sees to it that a majority of the controllers holds a job's cancellation, and
// tells whether it does. Those that wait at once share a heartbeat.
func (n *Group) ReplicateCancellation(ctx context.Context, id string) bool {
	if n.Register.HeldByMajority(id) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	over := make(chan struct{}, len(n.Members))
	for _, o := range n.Members {
		done := n.join(o)
		go func() {
			select {
			case <-done:
			case <-ctx.Done():
			}
			over <- struct{}{}
		}()
	}
	for range n.Members {
		<-over
		if n.Register.HeldByMajority(id) {
			return true
		}
	}
	return false
}

// join returns what is closed after the next heartbeat to another controller that begins
// from now on.
func (n *Group) join(o Member) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.wake[o.Node] == nil {
		return nil // not running
	}
	r := n.rounds[o.Node]
	if r == nil {
		r = &round{make(chan struct{})}
		n.rounds[o.Node] = r
		select {
		case n.wake[o.Node] <- struct{}{}:
		default:
		}
	}
	return r.done
}

// ReachableWithin tells whether a node has been heard within d, or might have been had
// this node run for so long.
func (n *Group) ReachableWithin(node string, d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.heard[node]
	if !ok {
		t = n.began
	}
	return time.Since(t) < d
}

// LeadingWithin tells whether a node has said within d that it leads.
func (n *Group) LeadingWithin(node string, d time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Since(n.leading[node]) < d
}

// MostRedirected returns how many machines another node, heard within d, has seen
// come by though it does not lead: the most of any.
func (n *Group) MostRedirected(d time.Duration) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	most := 0
	for node, count := range n.redirected {
		if time.Since(n.heard[node]) < d {
			most = max(most, count)
		}
	}
	return most
}

// AllRunGangs tells whether every other node has said that its version runs gangs.
func (n *Group) AllRunGangs() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, o := range n.Members {
		if !n.gangs[o.Node] {
			return false
		}
	}
	return true
}

// StoreServesNobody tells whether others were heard within d and none of them is served by
// the state service.
func (n *Group) StoreServesNobody(d time.Duration) bool {
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

// own returns this node's heartbeat, and the number of the last cancellation in it.
func (n *Group) own() ([]byte, uint64) {
	leader, term := n.Leadership()
	s := n.Register.State()
	b := &Heartbeat{Node: n.Node, Term: term, Leader: leader, Redirected: uint32(n.Redirected()), Served: n.StoreReachable(),
		Cancelled: s.Jobs, Gangs: true, MemoryMs: uint64(s.Memory.Milliseconds())}
	if s.Knows {
		b.KnownMs = uint64(s.Age.Milliseconds()) + 2 // rounded up, and one more
	}
	b.Gone = within(encodeAttempts(n.ConfirmedGone()), maxHeartbeat-proto.Size(b))
	return marshal(b), s.Sequence
}

// maxHeartbeat is the size that a heartbeat may have: that of a request body, less its fields' tags. The
// register of cancelled jobs is bounded to what leaves room for the rest.
const maxHeartbeat = wire.MaxBody - 1<<10

// within returns as many of the attempts as fit into so many bytes of a heartbeat. The others can
// wait: they spare work, and no rule rests on them.
//
// It guards against heartbeats that are refused as too large, after which every node takes every
// other for dead: 4,096 cancelled jobs and 1,000 attempts come to 74 KiB (TestLargestBeat).
func within(gone []*Attempt, bytes int) []*Attempt {
	for i, a := range gone {
		bytes -= proto.Size(a) + protowire.SizeTag(1) + protowire.SizeVarint(maxHeartbeat)
		if bytes < 0 {
			return gone[:i]
		}
	}
	return gone
}

func encodeAttempts(ids []job.AttemptID) []*Attempt {
	messages := make([]*Attempt, 0, len(ids))
	for _, id := range ids {
		messages = append(messages, &Attempt{Task: id.Task, Try: id.Number})
	}
	return messages
}

func decodeAttempts(messages []*Attempt) []job.AttemptID {
	ids := make([]job.AttemptID, 0, len(messages))
	for _, m := range messages {
		ids = append(ids, job.AttemptID{Task: m.Task, Number: m.Try})
	}
	return ids
}

// statement returns what a heartbeat says of cancellations.
func statement(b *Heartbeat) cancellation.Statement {
	return cancellation.Statement{Jobs: b.Cancelled, Memory: time.Duration(b.MemoryMs) * time.Millisecond,
		Age: time.Duration(b.KnownMs) * time.Millisecond, Knows: b.KnownMs != 0}
}

func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // our own messages always encode
	}
	return b
}

func (n *Group) client(o Member) *wire.Client {
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

func (n *Group) post(ctx context.Context, o Member, path string, body []byte) ([]byte, bool) {
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

func (n *Group) sendHeartbeat(ctx context.Context, o Member) {
	sent := time.Now()
	own, seq := n.own()
	body, ok := n.post(ctx, o, heartbeatPath, own)
	if !ok {
		return
	}
	b, ok := n.take(body)
	if !ok {
		return
	}
	n.Register.MergeAnswer(o.Node, seq, sent, statement(b))
	// Only the answer to one's own heartbeat is a sign of life. One that comes in may be a
	// late copy: taken for a sign, it kept workers waiting for a leader that could not
	// be reached until their leases ran out (TestDuplicatedRequests).
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.heard == nil {
		n.heard, n.leading, n.redirected, n.served = map[string]time.Time{}, map[string]time.Time{}, map[string]int{}, map[string]bool{}
		n.gangs = map[string]bool{}
	}
	n.heard[b.Node] = time.Now()
	n.redirected[b.Node], n.served[b.Node], n.gangs[b.Node] = int(b.Redirected), b.Served, b.Gangs
	if b.Leader == b.Node {
		n.leading[b.Node] = time.Now()
	}
}

// take learns who leads and what is cancelled; a late copy names a lower term, and what
// is cancelled stays so.
func (n *Group) take(body []byte) (*Heartbeat, bool) {
	var b Heartbeat
	if err := proto.Unmarshal(body, &b); err != nil || b.Node == "" {
		return nil, false
	}
	n.OnLeadership(b.Leader, b.Term)
	if news := n.Register.Add(b.Cancelled...); len(news) > 0 {
		n.OnCancelled(news)
	}
	n.OnConfirmedGone(decodeAttempts(b.Gone))
	return &b, true
}

// NotifyLeader passes on that a job has changed: to the leader, if one is known.
func (n *Group) NotifyLeader(ctx context.Context, job string) {
	leader, _ := n.Leadership()
	if leader == n.Node {
		n.OnChanged([]string{job})
		return
	}
	for _, o := range n.Members {
		if o.Node == leader {
			n.post(ctx, o, changedPath, marshal(&Changed{Jobs: []string{job}}))
		}
	}
}

// Serve answers another controller.
func (n *Group) Serve(_ context.Context, req *wire.Request) wire.Response {
	if req.Method != "POST" {
		return wire.Response{Status: 405}
	}
	switch req.Path {
	case heartbeatPath:
		if _, ok := n.take(req.Body); !ok {
			return wire.Response{Status: 400}
		}
		own, _ := n.own()
		return wire.Response{Status: 200, Body: own}
	case changedPath:
		var c Changed
		if err := proto.Unmarshal(req.Body, &c); err != nil {
			return wire.Response{Status: 400}
		}
		n.OnChanged(c.Jobs)
		return wire.Response{Status: 200}
	}
	return wire.Response{Status: 404}
}
