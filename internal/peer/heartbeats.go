// Sending of heartbeats to the other members, and processing of received ones.

package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"tulipshelf/internal/wire"
)

const (
	// heartbeatInterval is the mean delay between the end of one heartbeat request to a member and
	// the start of the next. Several heartbeats must fit into the time after which a leader counts
	// as lost.
	heartbeatInterval = time.Second

	// requestTimeout is the timeout of one request to a member, and of a caller's wait for a
	// majority. The next heartbeat to a member waits for the previous request to end, so a member
	// that hangs is still sent a heartbeat about every two seconds.
	requestTimeout = 800 * time.Millisecond
)

// Errors of requests to members, and of received heartbeats.
var (
	errUnexpectedStatus   = errors.New("peer: unexpected status")
	errMalformedHeartbeat = errors.New("peer: malformed heartbeat")
)

// Run sends heartbeats to all other members until ctx ends. It must be called at most once.
func (g *Group) Run(ctx context.Context) {
	g.observations.start()
	for _, m := range g.members {
		m.schedule.start()
	}
	var loops sync.WaitGroup
	for _, m := range g.members {
		loops.Go(func() { g.sendHeartbeats(ctx, m) })
	}
	loops.Wait()
}

// sendHeartbeats sends heartbeats to one member until ctx ends: the first immediately, each later one
// after a random delay or when its schedule is woken.
func (g *Group) sendHeartbeats(ctx context.Context, other *member) {
	for ctx.Err() == nil {
		pending := other.schedule.takePending()
		if err := g.exchangeHeartbeat(ctx, other); err != nil {
			logRequestError(other, err)
		}
		pending.finish()
		select {
		case <-ctx.Done():
		case <-other.schedule.wake:
		case <-time.After(untilNextHeartbeat()):
		}
	}
}

// untilNextHeartbeat returns the delay before the next heartbeat. It is random, so that controllers
// started at the same time do not all send heartbeats at the same time.
func untilNextHeartbeat() time.Duration {
	return heartbeatInterval*3/4 + rand.N(heartbeatInterval/2)
}

// exchangeHeartbeat sends a heartbeat to a member, and merges the answer into the register of cancelled
// jobs and the observations.
func (g *Group) exchangeHeartbeat(ctx context.Context, other *member) error {
	sent := time.Now()
	own := g.newHeartbeat()
	body, err := other.post(ctx, heartbeatPath, own.message)
	if err != nil {
		return err
	}
	answer, err := g.receiveHeartbeat(body)
	if err != nil {
		return err
	}
	g.config.Register.MergeAnswer(other.Node, own.registerSequence, sent, cancellationState(answer))
	g.observations.record(answer, sent)
	return nil
}

// receiveHeartbeat decodes a heartbeat, either a request or an answer, and applies the leadership, the
// cancelled jobs and the gone attempts that it reports. A late copy is harmless: its term is not above
// the highest known one, and cancelled jobs stay cancelled and gone attempts gone.
func (g *Group) receiveHeartbeat(body []byte) (*Heartbeat, error) {
	heartbeat, err := unmarshalHeartbeat(body)
	if err != nil {
		return nil, err
	}
	g.node.ObserveLeadership(heartbeat.Leader, heartbeat.Term)
	if added := g.config.Register.Merge(cancellationState(heartbeat)); len(added) > 0 {
		g.node.JobsCancelled(added)
	}
	g.node.ObserveConfirmedGone(decodeAttempts(heartbeat.Gone))
	return heartbeat, nil
}

// member is another controller, with the client for requests to it and the schedule of its heartbeats.
type member struct {
	Member
	client   *wire.Client
	schedule *schedule
}

func newMember(dial wire.DialFunc, m Member) *member {
	return &member{Member: m, client: &wire.Client{Dial: dial, Addr: m.Addr}, schedule: newSchedule()}
}

// post sends a POST request and returns the body of the response. The error is that of the client, or
// wraps errUnexpectedStatus if the status is not 200. After an error the idle connections are closed,
// as they may be as dead as the one that failed.
func (m *member) post(ctx context.Context, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := m.client.Do(ctx, wire.MethodPost, path, body)
	if err == nil && response.Status != wire.StatusOK {
		err = fmt.Errorf("%w %d of %s, want %d", errUnexpectedStatus, response.Status, path, wire.StatusOK)
	}
	if err != nil {
		m.client.CloseIdle()
		return nil, err
	}
	return response.Body, nil
}

// logRequestError logs a failed request to a member. The level is debug, as members may be stopped or
// unreachable in normal operation.
func logRequestError(m *member, err error) {
	slog.Debug("request to peer failed", "peer", m.Node, "err", err)
}
