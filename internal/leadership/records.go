package leadership

import (
	"context"
	"fmt"

	"tulipshelf/internal/kvstore"
	"tulipshelf/internal/wire"
)

// Keys of this slice. They share a prefix so that one read gives both.
const (
	prefix    = "lead/"
	holderKey = "lead/holder" // leased: who leads
	TermKey   = "lead/term"   // persistent: the highest term given out
)

type holder struct {
	Node  string `cbor:"node"`
	Term  uint64 `cbor:"term"`
	Lease uint64 `cbor:"lease"`
}

type termValue struct {
	Term uint64 `cbor:"term"`
}

type standing struct {
	holder holder
	hrev   uint64
	term   uint64
	trev   uint64
	rev    uint64
}

func (c *Candidate) read(ctx context.Context) (standing, error) {
	var s standing
	page, err := c.Store.List(ctx, prefix, "", 10, kvstore.PriorityLease)
	if err != nil {
		return s, err
	}
	s.rev = page.Revision
	for _, it := range page.Items {
		switch it.Key {
		case holderKey:
			s.hrev = it.Revision
			err = wire.Unmarshal(it.Value, &s.holder)
		case TermKey:
			var t termValue
			err = wire.Unmarshal(it.Value, &t)
			s.term, s.trev = t.Term, it.Revision
		}
		if err != nil {
			return s, fmt.Errorf("leadership: %s: %w", it.Key, err)
		}
	}
	return s, nil
}
