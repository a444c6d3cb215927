package wire

// Messages and the errors of parsing them.

import (
	"errors"
	"fmt"
)

// Limits in bytes on messages. They hold for every peer, since any peer may be hostile.
const (
	MaxBody = 64 << 10 // maximum length of a request body, set by the protocol
	maxHead = 16 << 10 // maximum length of the start line and the headers
)

// ErrIncomplete reports that the message does not end within the bytes received so far.
var ErrIncomplete = errors.New("wire: message incomplete")

// ErrMalformed is wrapped by the errors for received bytes that are not the beginning of a valid
// message. Further bytes cannot make the message valid, unlike after ErrIncomplete.
var ErrMalformed = errors.New("wire: malformed message")

// ErrTooLarge is wrapped by the errors that report a body over the limit. It wraps ErrMalformed, since
// the rest of the connection cannot be parsed.
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
	Close  bool   // whether the connection ends after the response
	Body   []byte
}

// Response is one HTTP/1.1 response.
type Response struct {
	Status     int
	RetryAfter int // delay in seconds of the Retry-After header; 0: no such header
	Body       []byte
	Close      bool // whether the connection ends after the response
}
