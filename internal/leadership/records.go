// The keys and values of the election in the key-value store.

package leadership

import (
	"fmt"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Keys of the election in the key-value store, with the form of their values. They share a
// prefix so that one request reads both, as of one revision.
const (
	keyPrefix = "lead/"
	holderKey = "lead/holder" // a holderRecord, on the leader's lease: absent while nobody leads
	termKey   = "lead/term"   // a termRecord, kept for ever: the highest term issued
)

// maxElectionKeys bounds what is read under keyPrefix. There are two keys; the rest is room
// for those of later versions.
const maxElectionKeys = 10

// holderRecord is the value of holderKey: who leads.
type holderRecord struct {
	Node  string `cbor:"node"`
	Term  uint64 `cbor:"term"`
	Lease uint64 `cbor:"lease"`
}

// termRecord is the value of termKey.
type termRecord struct {
	Term uint64 `cbor:"term"`
}

// decodeElectionState returns what the keys under keyPrefix say. Keys that it does not
// know are passed over.
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
			return electionState{}, fmt.Errorf("leadership: %s: %w", item.Key, err)
		}
	}
	return state, nil
}
