// The encoding of the messages, and the size of a heartbeat.

package peer

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"tulipshelf/internal/cancellation"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

const (
	// maxHeartbeatBytes is the size in bytes that a heartbeat may have: that of a request body, less
	// what the tags and lengths of its fields take. The register of cancelled jobs is bounded
	// to what leaves room for the rest.
	maxHeartbeatBytes = wire.MaxBody - 1<<10

	// goneFieldNumber is the number of the field of the heartbeat that holds the attempts that are gone.
	goneFieldNumber = 9

	// stalenessOffsetMs, in milliseconds, is added to how long ago a register was complete: one since
	// the fraction was cut off, and one so that 0 is free to mean that it never was. What is
	// overstated by it errs on the safe side.
	stalenessOffsetMs = 2
)

// ownHeartbeat is a heartbeat of this controller.
type ownHeartbeat struct {
	message          []byte // encoded
	registerSequence uint64 // number in the register of the last cancellation that it carries
}

// newHeartbeat returns a heartbeat that says what this controller knows now.
func (g *Group) newHeartbeat() ownHeartbeat {
	leader, term := g.node.Leadership()
	register := g.config.Register.State()
	heartbeat := &Heartbeat{
		Node:       g.config.Node,
		Term:       term,
		Leader:     leader,
		Redirected: uint32(g.node.Redirected()),
		Served:     g.node.StoreReachable(),
		Cancelled:  register.Jobs,
		Gangs:      true,
		MemoryMs:   uint64(register.Memory.Milliseconds()),
	}
	if register.StalenessKnown {
		heartbeat.KnownMs = uint64(register.Staleness.Milliseconds()) + stalenessOffsetMs
	}
	gone := encodeAttempts(g.node.ConfirmedGone())
	heartbeat.Gone = attemptsThatFit(gone, maxHeartbeatBytes-proto.Size(heartbeat))
	return ownHeartbeat{message: marshal(heartbeat), registerSequence: register.Sequence}
}

// attemptsThatFit returns as many of the attempts as take at most so many bytes of a heartbeat. The
// others can wait for a later one: they only save work.
//
// Without it a heartbeat could grow larger than a request body, be refused by all, and every
// controller would take every other for dead. docs/size.md has what bounds each.
func attemptsThatFit(attempts []*Attempt, bytes int) []*Attempt {
	overhead := protowire.SizeTag(goneFieldNumber) + protowire.SizeVarint(maxHeartbeatBytes) // of each
	for i, attempt := range attempts {
		bytes -= proto.Size(attempt) + overhead
		if bytes < 0 {
			return attempts[:i]
		}
	}
	return attempts
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

// cancellationState returns what a heartbeat says of its sender's register of cancelled jobs.
func cancellationState(heartbeat *Heartbeat) cancellation.State {
	return cancellation.State{
		Jobs:           heartbeat.Cancelled,
		Memory:         time.Duration(heartbeat.MemoryMs) * time.Millisecond,
		Staleness:      time.Duration(heartbeat.KnownMs) * time.Millisecond,
		StalenessKnown: heartbeat.KnownMs != 0,
	}
}

// unmarshalHeartbeat decodes a heartbeat; its error is errMalformedHeartbeat.
func unmarshalHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := proto.Unmarshal(body, &heartbeat); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedHeartbeat, err)
	}
	if heartbeat.Node == "" {
		return nil, fmt.Errorf("%w: no sender", errMalformedHeartbeat)
	}
	return &heartbeat, nil
}

// marshal encodes a message made here, which cannot fail.
func marshal(message proto.Message) []byte {
	body, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return body
}
