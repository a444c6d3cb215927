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

// Times of readiness: for how long the key-value store may not have served this controller, and how
// recently another must have said that it is not served either.
const (
	readyServedWithin   = 4 * time.Second
	readyAnsweredWithin = 3 * time.Second
)

func (n *Node) handleReady() wire.Response {
	if n.ready() {
		return wire.Response{Status: wire.StatusOK}
	}
	return wire.Response{Status: wire.StatusServiceUnavailable, RetryAfter: 1}
}

// ready reports whether users had better come to this controller. In an outage of the key-value
// store they had: it says at once when to come back, and knows what is done or cancelled. A
// controller that alone is refused sends them to the others.
//
// It guards against users who find no controller for up to a minute after an outage: with each
// removal within two minutes the load balancer waits twice as long before it tries one again.
func (n *Node) ready() bool {
	if n.types.Load() == nil {
		return false
	}
	return n.storeReachable() || n.peers.StoreServesNobody(readyAnsweredWithin)
}

// storeReachable reports whether the key-value store has lately served this controller.
func (n *Node) storeReachable() bool { return n.store.ServedWithin(readyServedWithin) }
