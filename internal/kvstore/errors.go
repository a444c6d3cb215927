// Errors of requests.

package kvstore

import (
	"errors"
	"fmt"

	"tulipshelf/internal/wire"
)

// Errors that callers distinguish with errors.Is. After ErrUnknown, and after any error that is
// neither listed here nor a *ConflictError, a transaction may have been applied or may still be
// applied later. Reading the keys shows whether it has been applied so far.
var (
	// ErrRefused is returned for a request that was not executed and never will be: nothing
	// was sent, or the store responded that it is unavailable (status 503) or that the request
	// exceeds its rate limits (status 429).
	ErrRefused = errors.New("kvstore: not executed")

	// ErrRateLimited is returned for a request that exceeds the client's own rate budget.
	// Nothing was sent. It wraps ErrRefused.
	ErrRateLimited = fmt.Errorf("%w: over this node's own rate", ErrRefused)

	// ErrUnknown is returned for a request that may have been executed or may still be: no
	// response was received, or its status or body could not be interpreted.
	ErrUnknown = errors.New("kvstore: outcome unknown")

	// ErrRejected is returned for a request that the store rejected with status 400: it is
	// malformed or exceeds the store's size limits.
	ErrRejected = errors.New("kvstore: request rejected")

	// ErrNotFound is returned by Get for a key that does not exist, and by Extend and Revoke for
	// a lease that has expired or was revoked.
	ErrNotFound = errors.New("kvstore: not found")

	// ErrNoSuchLease is returned for a transaction that was not applied because a lease in one
	// of its mutations has expired or was revoked.
	ErrNoSuchLease = errors.New("kvstore: no such lease")

	// ErrCompacted is returned by Watch and Changes if the store cannot return the changes
	// since a revision: it no longer keeps them, or they exceed one response. The caller has
	// to list the keys again, page by page.
	ErrCompacted = errors.New("kvstore: revision too old")
)

var (
	errConflict  = errors.New("kvstore: conflict") // Txn returns a ConflictError instead
	errThrottled = fmt.Errorf("%w: status %d", ErrRefused, wire.StatusTooManyRequests)
)

// ConflictError is returned for a transaction that was not applied because some of its compares
// failed.
type ConflictError struct {
	Keys []string // keys of the compares that failed
}

// Error returns the keys of the compares that failed.
func (e *ConflictError) Error() string { return fmt.Sprintf("kvstore: conflict on %v", e.Keys) }
