// The handler of requests from other members, and notifications of changed jobs.

package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"tulipshelf/internal/wire"
)

// Paths served to other controllers. Controllers of older versions use them too.
const (
	heartbeatPath = "/beat"
	changedPath   = "/changed"
)

// NotifyLeader notifies the leader, if one is known, that a job has changed. If this controller leads,
// it calls Node.JobsChanged directly. Errors are only logged: a lost notification delays the job but
// has no other effect, as the leader also watches the jobs' keys.
func (g *Group) NotifyLeader(ctx context.Context, job string) {
	leader, _ := g.node.Leadership()
	if leader == g.config.Node {
		g.node.JobsChanged([]string{job})
		return
	}
	for _, m := range g.members {
		if m.Node != leader {
			continue
		}
		if _, err := m.post(ctx, changedPath, marshal(&Changed{Jobs: []string{job}})); err != nil {
			logRequestError(m, err)
		}
	}
}

// Serve handles a request from another controller. It is a wire.Handler.
func (g *Group) Serve(_ context.Context, req *wire.Request) wire.Response {
	if req.Method != wire.MethodPost {
		return wire.Response{Status: wire.StatusMethodNotAllowed}
	}
	switch req.Path {
	case heartbeatPath:
		return g.serveHeartbeat(req.Body)
	case changedPath:
		return g.serveChanged(req.Body)
	}
	return wire.Response{Status: wire.StatusNotFound}
}

func (g *Group) serveHeartbeat(body []byte) wire.Response {
	if _, err := g.receiveHeartbeat(body); err != nil {
		return wire.Response{Status: wire.StatusBadRequest}
	}
	return wire.Response{Status: wire.StatusOK, Body: g.newHeartbeat().message}
}

func (g *Group) serveChanged(body []byte) wire.Response {
	var changed Changed
	if err := proto.Unmarshal(body, &changed); err != nil {
		return wire.Response{Status: wire.StatusBadRequest}
	}
	g.node.JobsChanged(changed.Jobs)
	return wire.Response{Status: wire.StatusOK}
}
