package wire

// Messages and the errors of reading them.

import (
	"errors"
	"fmt"
)

// Bounds in bytes on what is read from any peer, however hostile.
const (
	MaxBody = 64 << 10 // the protocol's limit for request bodies
	maxHead = 16 << 10 // start line and headers
)

// ErrIncomplete says that the bytes so far are a proper prefix of a message.
var ErrIncomplete = errors.New("wire: message incomplete")

// ErrMalformed is wrapped by every error that says that the bytes can never become a message.
var ErrMalformed = errors.New("wire: malformed message")

// ErrTooLarge is wrapped by errors about a body over the limit. It wraps ErrMalformed: what follows
// on the connection cannot be read.
var ErrTooLarge = fmt.Errorf("%w: too large", ErrMalformed)

func tooLarge(limit int) error { return fmt.Errorf("%w: body over %d bytes", ErrTooLarge, limit) }

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Request is one parsed HTTP/1.1 request.
type Request struct {
	Method string
	Path   string // starts with a slash
	Query  string // without the question mark; "" if there is none
	Close  bool   // the connection ends after the response
	Body   []byte
}

// Response is the response to a request.
type Response struct {
	Status     int
	RetryAfter int // seconds; 0 leaves the header out
	Body       []byte
	Close      bool // the connection ends after it
}
