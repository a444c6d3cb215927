// The store's values, as requests and responses carry them.

package kvstore

import "tulipshelf/internal/wire"

// Item is one key with its value and revision.
type Item struct {
	Key      string   `cbor:"path"`
	Value    wire.Raw `cbor:"value"`
	Revision uint64   `cbor:"stamp"` // of the transaction that wrote the key last
}

// Page is a part of the keys of a range, in their order, as of one revision.
type Page struct {
	Items    []Item `cbor:"items"`
	More     bool   `cbor:"has_next"` // there are keys behind the last item
	Revision uint64 `cbor:"epoch"`    // of the store when it was read: Watch and Changes go on from here
}

// Compare is a condition of a transaction: that a key has the revision, or, where that is 0,
// that it does not exist.
type Compare struct {
	Key      string `cbor:"path"`
	Revision uint64 `cbor:"stamp"`
}

// Mutation is a change that a transaction makes: it puts a key, with a value and perhaps a
// lease, or deletes one.
type Mutation struct {
	Put    string   `cbor:"put,omitempty"`   // the key to write; "": this is a delete
	Value  wire.Raw `cbor:"value,omitempty"` // for a put
	Lease  uint64   `cbor:"hold,omitempty"`  // with which a key that is put ends; 0: none
	Delete string   `cbor:"drop,omitempty"`  // the key to delete; "": this is a put
}

// Event is one change of a key, as a watch reports it.
type Event struct {
	Put      string   `cbor:"put"`   // the key that was written; "": this is a delete
	Value    wire.Raw `cbor:"value"` // of a put
	Revision uint64   `cbor:"stamp"`
	Delete   string   `cbor:"drop"` // the key that was deleted, or ended with its lease; "": this is a put
}

// Bodies of requests and responses.
type (
	transactionRequest struct {
		Compares  []Compare  `cbor:"when"`
		Mutations []Mutation `cbor:"then"`
	}
	transactionResponse struct {
		Revision uint64   `cbor:"epoch"`
		Failed   []string `cbor:"failed"` // keys of the compares that failed
	}
	grantRequest struct {
		TTLMS int64 `cbor:"ttl_ms"`
	}
	grantResponse struct {
		Lease uint64 `cbor:"hold"`
	}
	changesResponse struct {
		Revision uint64  `cbor:"epoch"`
		Events   []Event `cbor:"events"`
	}
)
