// Limits of the next write, which adapt to refusals.

package relay

import (
	"errors"

	"tulipshelf/internal/kvstore"
)

// minWriteBytes is the size below which a refusal lowers a WriteLimit no further, in bytes of JSON.
const minWriteBytes = 1 << 10

// WriteLimit is the maximum total size of the values in the next write of a relay. It is halved each time
// the store has refused a write as too large, and doubled by each write that the store has executed, up to
// MaxWriteBytes. The zero value stands for MaxWriteBytes.
//
// Guards against a zone that is lost although only some of its heartbeats or commands are refused: a write
// that is built again as it was would be refused again (docs/incidents/refused-relay-write-repeated.md).
type WriteLimit struct {
	reduction int // bytes of JSON by which the limit is below MaxWriteBytes
}

// Bytes returns the limit, in bytes of JSON.
func (l *WriteLimit) Bytes() int { return MaxWriteBytes - l.reduction }

// Observe adapts the limit to the outcome of a write. It ignores outcomes that say nothing about the size.
func (l *WriteLimit) Observe(err error) {
	limit := l.Bytes()
	switch {
	case err == nil:
		limit = min(2*limit, MaxWriteBytes)
	case errors.Is(err, kvstore.ErrRejected):
		limit = max(limit/2, minWriteBytes)
	}
	l.reduction = MaxWriteBytes - limit
}
