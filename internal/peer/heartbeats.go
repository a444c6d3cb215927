// Sending heartbeats to the other members, and receiving theirs.

package peer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"tulipshelf/internal/wire"
)

const (
	heartbeatEvery = time.Second
	timeout        = 800 * time.Millisecond
)

// Run sends heartbeats until ctx ends.
func (g *Group) Run(ctx context.Context) {
	g.mu.Lock()
	g.began = time.Now()
	g.rounds, g.wake = map[string]*round{}, map[string]chan struct{}{}
	for _, o := range g.config.Members {
		g.wake[o.Node] = make(chan struct{}, 1)
	}
	g.mu.Unlock()
	var wg sync.WaitGroup
	for _, o := range g.config.Members {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				g.mu.Lock()
				r := g.rounds[o.Node]
				delete(g.rounds, o.Node)
				g.mu.Unlock()
				g.sendHeartbeat(ctx, o)
				if r != nil {
					close(r.done)
				}
				select {
				case <-ctx.Done():
				case <-g.wake[o.Node]:
				case <-time.After(heartbeatEvery*3/4 + rand.N(heartbeatEvery/2)):
				}
			}
		}()
	}
	wg.Wait()
}

func (g *Group) sendHeartbeat(ctx context.Context, o Member) {
	sent := time.Now()
	own, seq := g.own()
	body, ok := g.post(ctx, o, heartbeatPath, own)
	if !ok {
		return
	}
	b, ok := g.take(body)
	if !ok {
		return
	}
	g.config.Register.MergeAnswer(o.Node, seq, sent, statement(b))
	// Only the answer to one's own heartbeat is a sign of life. One that comes in may be a
	// late copy: taken for a sign, it kept workers waiting for a leader that could not
	// be reached until their leases ran out (TestRepeats).
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.heard == nil {
		g.heard, g.leading, g.redirected, g.served = map[string]time.Time{}, map[string]time.Time{}, map[string]int{}, map[string]bool{}
		g.gangs = map[string]bool{}
	}
	g.heard[b.Node] = time.Now()
	g.redirected[b.Node], g.served[b.Node], g.gangs[b.Node] = int(b.Redirected), b.Served, b.Gangs
	if b.Leader == b.Node {
		g.leading[b.Node] = time.Now()
	}
}

// take learns who leads and what is cancelled; a late copy names a lower term, and what
// is cancelled stays so.
func (g *Group) take(body []byte) (*Heartbeat, bool) {
	var b Heartbeat
	if err := proto.Unmarshal(body, &b); err != nil || b.Node == "" {
		return nil, false
	}
	g.node.ObserveLeadership(b.Leader, b.Term)
	if news := g.config.Register.Add(b.Cancelled...); len(news) > 0 {
		g.node.JobsCancelled(news)
	}
	g.node.ObserveConfirmedGone(decodeAttempts(b.Gone))
	return &b, true
}

func (g *Group) client(o Member) *wire.Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clients == nil {
		g.clients = map[string]*wire.Client{}
	}
	c := g.clients[o.Node]
	if c == nil {
		c = &wire.Client{Dial: g.config.Dial, Addr: o.Addr}
		g.clients[o.Node] = c
	}
	return c
}

func (g *Group) post(ctx context.Context, o Member, path string, body []byte) ([]byte, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := g.client(o)
	resp, err := c.Do(ctx, "POST", path, body)
	if err != nil || resp.Status != 200 {
		c.CloseIdle()
		slog.Debug("peer not reached", "peer", o.Node, "status", resp.Status, "err", err)
		return nil, false
	}
	return resp.Body, true
}
