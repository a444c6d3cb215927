// The encoding of messages, and the limit on the size of a heartbeat.

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
	// maxHeartbeatBytes is the maximum size of a heartbeat: that of a request body, less 1 KiB for
	// the tags and lengths of its fields. The register of cancelled jobs is bounded so that the
	// other fields fit as well.
	maxHeartbeatBytes = wire.MaxBody - 1<<10

	// goneFieldNumber is the protobuf field number of Heartbeat.gone.
	goneFieldNumber = 9

	// stalenessOffsetMs is added to the staleness of the register in Heartbeat.known_ms. One
	// millisecond makes up for the fraction that is truncated. The other keeps the value 0 free for
	// a register that was never complete. Overstating the staleness is safe.
	stalenessOffsetMs = 2
)

// ownHeartbeat is a heartbeat created by this controller.
type ownHeartbeat struct {
	message          []byte // encoded heartbeat
	registerSequence uint64 // sequence number of the last cancellation in the register at creation
}

// newHeartbeat returns a heartbeat with the current state of this controller.
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
		MemoryMs:   uint64(register.RetainedFor.Milliseconds()),

		CancelledAgeS: encodeAges(register.Ages),
	}
	if register.StalenessKnown {
		heartbeat.KnownMs = uint64(register.Staleness.Milliseconds()) + stalenessOffsetMs
	}
	gone := encodeAttempts(g.node.ConfirmedGone())
	heartbeat.Gone = attemptsThatFit(gone, maxHeartbeatBytes-proto.Size(heartbeat))
	return ownHeartbeat{message: marshal(heartbeat), registerSequence: register.Sequence}
}

// attemptsThatFit returns a prefix of the attempts that takes at most the given number of bytes of a
// heartbeat. The others can be left for a later heartbeat: the report of a gone attempt only saves the
// receiver work, such as returning a machine whose tasks are already gone.
//
// Guards against all controllers counting each other as dead: a heartbeat larger than a request body is
// refused by every member. docs/size.md gives the bound of each part.
func attemptsThatFit(attempts []*Attempt, bytes int) []*Attempt {
	overhead := protowire.SizeTag(goneFieldNumber) + protowire.SizeVarint(maxHeartbeatBytes) // per attempt
	for i, attempt := range attempts {
		bytes -= proto.Size(attempt) + overhead
		if bytes < 0 {
			return attempts[:i]
		}
	}
	return attempts
}

// encodeAges returns ages in seconds, rounded up. Rounded down, a job could be received again after it was
// dropped, and circulate without end.
func encodeAges(ages []time.Duration) []uint32 {
	seconds := make([]uint32, 0, len(ages))
	for _, age := range ages {
		seconds = append(seconds, uint32((age+time.Second-1)/time.Second))
	}
	return seconds
}

func decodeAges(seconds []uint32) []time.Duration {
	ages := make([]time.Duration, 0, len(seconds))
	for _, age := range seconds {
		ages = append(ages, time.Duration(age)*time.Second)
	}
	return ages
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

// cancellationState returns the state of the sender's register of cancelled jobs, as a heartbeat
// reports it. Its Sequence is not set.
func cancellationState(heartbeat *Heartbeat) cancellation.State {
	return cancellation.State{
		Jobs:           heartbeat.Cancelled,
		Ages:           decodeAges(heartbeat.CancelledAgeS),
		RetainedFor:    time.Duration(heartbeat.MemoryMs) * time.Millisecond,
		Staleness:      time.Duration(heartbeat.KnownMs) * time.Millisecond,
		StalenessKnown: heartbeat.KnownMs != 0,
	}
}

// unmarshalHeartbeat decodes a heartbeat. The error wraps errMalformedHeartbeat if the encoding is
// invalid or the sender's name is empty.
func unmarshalHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := proto.Unmarshal(body, &heartbeat); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedHeartbeat, err)
	}
	if heartbeat.Node == "" {
		return nil, fmt.Errorf("%w: empty node name", errMalformedHeartbeat)
	}
	return &heartbeat, nil
}

// marshal encodes a message created by this controller. It panics if that fails, which does not happen
// with a valid message.
func marshal(message proto.Message) []byte {
	body, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	return body
}
