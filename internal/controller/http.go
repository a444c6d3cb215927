package controller

import (
	"context"
	"strings"
	"time"

	"tulipshelf/internal/wire"
)

// Paths served to users, worker agents and load balancers.
const (
	readyPath     = "/ready"
	heartbeatPath = "/v1/report"
	jobsPath      = "/v1/jobs"
	jobPathPrefix = "/v1/jobs/"
)

// serveHTTP answers users, worker agents and load balancers.
func (n *Node) serveHTTP(ctx context.Context, req *wire.Request) wire.Response {
	switch {
	case req.Path == readyPath:
		if req.Method != wire.MethodGet {
			return wire.Response{Status: wire.StatusMethodNotAllowed}
		}
		return n.handleReady()
	case req.Path == heartbeatPath:
		if req.Method != wire.MethodPost {
			return wire.Response{Status: wire.StatusMethodNotAllowed}
		}
		return n.handleHeartbeat(ctx, req.Body)
	case req.Path == jobsPath || strings.HasPrefix(req.Path, jobPathPrefix):
		return n.api.Serve(ctx, req)
	}
	return wire.Response{Status: wire.StatusNotFound}
}

const (
	// readyServedWithin is the maximum time since the key-value store last served this controller. After
	// a longer time the store counts as unreachable.
	readyServedWithin = 4 * time.Second

	// readyAnsweredWithin is the maximum age of other controllers' answers that count when ready checks
	// whether the key-value store serves any of them.
	readyAnsweredWithin = 3 * time.Second
)

func (n *Node) handleReady() wire.Response {
	if n.ready() {
		return wire.Response{Status: wire.StatusOK}
	}
	return wire.Response{Status: wire.StatusServiceUnavailable, RetryAfter: 1}
}

// ready reports whether load balancers should send users to this controller. It must know the machine
// types, and either reach the key-value store or know from recent answers of other controllers that the
// store serves none of them. In such an outage it is ready, as it tells users at once when to retry, and
// which jobs it knows to be done or cancelled. A controller that alone cannot reach the store is not
// ready, so that users are sent to the others.
//
// Guards against users who find no controller for up to a minute after an outage: after each further
// removal of a controller within two minutes, a load balancer doubles its wait before it tries the
// controller again.
func (n *Node) ready() bool {
	if n.types.Load() == nil {
		return false
	}
	return n.storeReachable() || n.peers.StoreReachableByNone(readyAnsweredWithin)
}

// storeReachable reports whether the key-value store has served this controller within readyServedWithin.
func (n *Node) storeReachable() bool { return n.store.ServedWithin(readyServedWithin) }
