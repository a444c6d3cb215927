// Errors of requests.

package kvstore

import (
	"errors"
	"fmt"

	"tulipshelf/internal/wire"
)

// Errors that callers distinguish, by errors.Is. After ErrUnknown, as after any error that is
// not one of these, a transaction may have been applied, or may yet be: read the keys to
// find out.
var (
	// ErrRefused says that the request was not executed and never will be: nothing was
	// sent, or the store does not serve at present (503) or is asked too much (429).
	ErrRefused = errors.New("kvstore: not executed")

	// ErrRateLimited is an ErrRefused by this client: the request is over the node's own
	// rate. Nothing was sent.
	ErrRateLimited = fmt.Errorf("%w: over this node's own rate", ErrRefused)

	// ErrUnknown says that no answer came, or none that can be understood.
	ErrUnknown = errors.New("kvstore: outcome unknown")

	// ErrRejected says that the store does not take the request: it is malformed, or larger
	// than the store's limits allow.
	ErrRejected = errors.New("kvstore: request rejected")

	// ErrNotFound says that the key or the lease does not exist (any more).
	ErrNotFound = errors.New("kvstore: not found")

	// ErrNoSuchLease says that a transaction was not applied, as a lease that it names has
	// expired or was revoked.
	ErrNoSuchLease = errors.New("kvstore: no such lease")

	// ErrCompacted says that changes since the revision can no longer be had one by one:
	// the keys have to be read again, by pages.
	ErrCompacted = errors.New("kvstore: revision too old")
)

var (
	errConflict  = errors.New("kvstore: conflict") // callers get a ConflictError
	errThrottled = fmt.Errorf("%w: status %d", ErrRefused, wire.StatusTooManyRequests)
)

// ConflictError says that a transaction was not applied, as compares of it failed.
type ConflictError struct {
	Keys []string // of the compares that failed
}

// Error implements error.
func (e *ConflictError) Error() string { return fmt.Sprintf("kvstore: conflict on %v", e.Keys) }
