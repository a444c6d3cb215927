package leadership

import (
	"context"
	"fmt"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Keys of this slice. They share a prefix so that one read gives both.
const (
	keyPrefix = "lead/"
	holderKey = "lead/holder" // leased: who leads
	termKey   = "lead/term"   // persistent: the highest term given out
)

type holderRecord struct {
	Node  string `cbor:"node"`
	Term  uint64 `cbor:"term"`
	Lease uint64 `cbor:"lease"`
}

type termRecord struct {
	Term uint64 `cbor:"term"`
}

type electionState struct {
	holder         holderRecord
	holderRevision uint64
	term           uint64
	termRevision   uint64
	storeRevision  uint64
}

func (c *Candidate) readState(ctx context.Context) (electionState, error) {
	var s electionState
	page, err := c.Store.List(ctx, keyPrefix, "", 10, kvstore.PriorityLease)
	if err != nil {
		return s, err
	}
	s.storeRevision = page.Revision
	for _, it := range page.Items {
		switch it.Key {
		case holderKey:
			s.holderRevision = it.Revision
			err = wire.Unmarshal(it.Value, &s.holder)
		case termKey:
			var t termRecord
			err = wire.Unmarshal(it.Value, &t)
			s.term, s.termRevision = t.Term, it.Revision
		}
		if err != nil {
			return s, fmt.Errorf("leadership: %s: %w", it.Key, err)
		}
	}
	return s, nil
}
