// Sending heartbeats to the other members, and receiving theirs.

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
	// heartbeatInterval is the mean time between two heartbeats to a member: a few of them must
	// fit into the time after which a leader counts as lost.
	heartbeatInterval = time.Second

	// requestTimeout bounds one request to a member, and so for how long a caller waits for a
	// majority. Heartbeats to a member follow one another, so one that hangs is still sent a
	// heartbeat every two seconds or so.
	requestTimeout = 800 * time.Millisecond
)

// Errors of a request to a member.
var (
	errUnexpectedStatus   = errors.New("peer: unexpected status")
	errMalformedHeartbeat = errors.New("peer: malformed heartbeat")
)

// Run sends heartbeats to all other members until ctx ends. It is called once.
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

// sendHeartbeats sends heartbeats to one member until ctx ends, the first at once.
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

// untilNextHeartbeat returns the time to the next heartbeat: random, so that controllers that
// started at the same time do not all send at the same time.
func untilNextHeartbeat() time.Duration {
	return heartbeatInterval*3/4 + rand.N(heartbeatInterval/2)
}

// exchangeHeartbeat sends a heartbeat to a member and takes the answer.
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
	g.observations.record(answer)
	return nil
}

// receiveHeartbeat learns from a heartbeat, a request or an answer, who leads, what is cancelled and
// which attempts are gone. A late copy does no harm: the term that it names is not above the
// one known, and what is cancelled or gone stays so.
func (g *Group) receiveHeartbeat(body []byte) (*Heartbeat, error) {
	heartbeat, err := unmarshalHeartbeat(body)
	if err != nil {
		return nil, err
	}
	g.node.ObserveLeadership(heartbeat.Leader, heartbeat.Term)
	if added := g.config.Register.Add(heartbeat.Cancelled...); len(added) > 0 {
		g.node.JobsCancelled(added)
	}
	g.node.ObserveConfirmedGone(decodeAttempts(heartbeat.Gone))
	return heartbeat, nil
}

// member is another controller, with the connections to it.
type member struct {
	Member
	client   *wire.Client
	schedule *schedule
}

func newMember(dial wire.DialFunc, m Member) *member {
	return &member{Member: m, client: &wire.Client{Dial: dial, Addr: m.Addr}, schedule: newSchedule()}
}

// post sends a request and returns the body of the response. After an error the connections are
// closed, since those that are left may be as dead as the one that failed.
func (m *member) post(ctx context.Context, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := m.client.Do(ctx, wire.MethodPost, path, body)
	if err == nil && response.Status != wire.StatusOK {
		err = fmt.Errorf("%w %d", errUnexpectedStatus, response.Status)
	}
	if err != nil {
		m.client.CloseIdle()
		return nil, err
	}
	return response.Body, nil
}

// logRequestError says that a member did not do what it was asked, at debug: members come and go.
func logRequestError(m *member, err error) {
	slog.Debug("request to peer failed", "peer", m.Node, "err", err)
}
