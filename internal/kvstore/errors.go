package kvstore

import (
	"errors"
	"fmt"
)

// Errors that callers tell apart. Any other error, and ErrUnknown above all,
// leaves open whether a transaction was or yet will be applied.
var (
	ErrRefused     = errors.New("kvstore: not executed") // 429, 503, or nothing sent
	ErrUnknown     = errors.New("kvstore: outcome unknown")
	ErrNotFound    = errors.New("kvstore: not found")
	ErrNoSuchLease = errors.New("kvstore: no such lease")
	ErrCompacted   = errors.New("kvstore: revision too old") // the keys have to be read again, by pages
	ErrRateLimited = fmt.Errorf("%w: over this node's own rate", ErrRefused)
)

// ConflictError tells which conditions of a transaction did not hold.
type ConflictError struct{ Keys []string }

func (e *ConflictError) Error() string { return fmt.Sprintf("kvstore: conflict on %v", e.Keys) }

var errConflict = errors.New("kvstore: conflict")
