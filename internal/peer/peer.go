// Package peer is what the controllers of one service tell each other, in
// protobuf over HTTP: who leads, and which jobs have changed or are cancelled. It makes
// learning faster, it tells a leader that is cut off from the state service alone that
// another one has been elected or that jobs are cancelled, and it keeps what is known of
// cancellations beyond the end of any one of them (package cancellation).
package peer

//go:generate sh -c "protoc --plugin=protoc-gen-go=$(go tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative peer.proto"

import (
	"context"
	"sync"
	"time"

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

// NotifyLeader passes on that a job has changed: to the leader, if one is known.
func (g *Group) NotifyLeader(ctx context.Context, job string) {
	leader, _ := g.Leadership()
	if leader == g.Node {
		g.OnChanged([]string{job})
		return
	}
	for _, o := range g.Members {
		if o.Node == leader {
			g.post(ctx, o, changedPath, marshal(&Changed{Jobs: []string{job}}))
		}
	}
}

// Serve answers another controller.
func (g *Group) Serve(_ context.Context, req *wire.Request) wire.Response {
	if req.Method != "POST" {
		return wire.Response{Status: 405}
	}
	switch req.Path {
	case heartbeatPath:
		if _, ok := g.take(req.Body); !ok {
			return wire.Response{Status: 400}
		}
		own, _ := g.own()
		return wire.Response{Status: 200, Body: own}
	case changedPath:
		var c Changed
		if err := proto.Unmarshal(req.Body, &c); err != nil {
			return wire.Response{Status: 400}
		}
		g.OnChanged(c.Jobs)
		return wire.Response{Status: 200}
	}
	return wire.Response{Status: 404}
}
