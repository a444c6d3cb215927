// The keys and values of the election in the key-value store.

package leadership

import (
	"fmt"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Keys of the election in the key-value store. Their common prefix allows both to be read by
// one request, at one revision.
const (
	keyPrefix = "lead/"
	holderKey = "lead/holder" // holderRecord, attached to the leader's lease; absent without a leader
	termKey   = "lead/term"   // termRecord with the highest term issued; never deleted
)

// maxElectionKeys is the maximum number of keys read under keyPrefix. There are two keys; the
// higher limit allows for keys of later versions.
const maxElectionKeys = 10

// holderRecord is the value of holderKey: the leader, its term and its lease.
type holderRecord struct {
	Node  string `cbor:"node"`
	Term  uint64 `cbor:"term"`
	Lease uint64 `cbor:"lease"`
}

// termRecord is the value of termKey: the highest term issued.
type termRecord struct {
	Term uint64 `cbor:"term"`
}

// decodeElectionState decodes the keys under keyPrefix. It ignores unknown keys, and returns an
// error if the value of a known key cannot be decoded.
func decodeElectionState(page kvstore.Page) (electionState, error) {
	state := electionState{storeRevision: page.Revision}
	for _, item := range page.Items {
		var err error
		switch item.Key {
		case holderKey:
			state.holderRevision = item.Revision
			err = wire.Unmarshal(item.Value, &state.holder)
		case termKey:
			var record termRecord
			err = wire.Unmarshal(item.Value, &record)
			state.latest = issuedTerm{number: record.Term, revision: item.Revision}
		}
		if err != nil {
			return electionState{}, fmt.Errorf("leadership: decode value of %s: %w", item.Key, err)
		}
	}
	return state, nil
}
