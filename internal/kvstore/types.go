package kvstore

import (
	"tulipshelf/internal/wire"
)

// Item is one key with its value and revision.
type Item struct {
	Key      string   `cbor:"path"`
	Value    wire.Raw `cbor:"value"`
	Revision uint64   `cbor:"stamp"`
}

// Compare requires that a key has a revision; 0: that it does not exist.
type Compare struct {
	Key      string `cbor:"path"`
	Revision uint64 `cbor:"stamp"`
}

// Mutation is a put, with an optional lease, or a delete.
type Mutation struct {
	Put    string   `cbor:"put,omitempty"`
	Value  wire.Raw `cbor:"value,omitempty"`
	Lease  uint64   `cbor:"hold,omitempty"`
	Delete string   `cbor:"drop,omitempty"`
}

// Event is one change seen by a watch.
type Event struct {
	Put      string   `cbor:"put"`
	Value    wire.Raw `cbor:"value"`
	Revision uint64   `cbor:"stamp"`
	Delete   string   `cbor:"drop"`
}

// Page is one answer of a range read.
type Page struct {
	Items    []Item `cbor:"items"`
	More     bool   `cbor:"has_next"`
	Revision uint64 `cbor:"epoch"`
}
