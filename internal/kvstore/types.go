// The messages of the store, and their parts.

package kvstore

import "tulipshelf/internal/wire"

// Item is one key with its value and revision.
type Item struct {
	Key      string   `cbor:"path"`
	Value    wire.Raw `cbor:"value"`
	Revision uint64   `cbor:"stamp"` // revision of the last transaction that wrote the key
}

// Page is one page of a list of keys, in key order, as of one revision of the store.
type Page struct {
	Items    []Item `cbor:"items"`
	More     bool   `cbor:"has_next"` // true if keys follow the last item
	Revision uint64 `cbor:"epoch"`    // store revision at the read; Watch and Changes continue from it
}

// Compare is a condition of a transaction: the key has the given revision, or, if that is 0, does
// not exist.
type Compare struct {
	Key      string `cbor:"path"`
	Revision uint64 `cbor:"stamp"`
}

// Mutation is one change that a transaction makes: it puts a key, optionally attached to a lease,
// or deletes a key.
type Mutation struct {
	Put    string   `cbor:"put,omitempty"`   // key to write; "": this is a delete
	Value  wire.Raw `cbor:"value,omitempty"` // value of a put
	Lease  uint64   `cbor:"hold,omitempty"`  // lease that the put key is attached to; 0: none
	Delete string   `cbor:"drop,omitempty"`  // key to delete; "": this is a put
}

// Event is one change of a key, as Watch and Changes return it.
type Event struct {
	Put      string   `cbor:"put"`   // key that was written; "": this is a delete
	Value    wire.Raw `cbor:"value"` // value of a put
	Revision uint64   `cbor:"stamp"` // revision of the change
	Delete   string   `cbor:"drop"`  // deleted key, also at the end of its lease; "": this is a put
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
