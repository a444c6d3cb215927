// The encoding of the messages.

package peer

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"tulipshelf/internal/cancellation"
	"tulipshelf/internal/job"
	"tulipshelf/internal/wire"
)

// own returns this node's heartbeat, and the number of the last cancellation in it.
func (g *Group) own() ([]byte, uint64) {
	leader, term := g.node.Leadership()
	s := g.config.Register.State()
	b := &Heartbeat{Node: g.config.Node, Term: term, Leader: leader, Redirected: uint32(g.node.Redirected()), Served: g.node.StoreReachable(),
		Cancelled: s.Jobs, Gangs: true, MemoryMs: uint64(s.Memory.Milliseconds())}
	if s.Knows {
		b.KnownMs = uint64(s.Age.Milliseconds()) + 2 // rounded up, and one more
	}
	b.Gone = within(encodeAttempts(g.node.ConfirmedGone()), maxHeartbeat-proto.Size(b))
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
