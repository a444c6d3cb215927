package wire

// Header fields.

import (
	"bytes"
	"strconv"
	"strings"
)

// noLength is the length of a message that has no Content-Length.
const noLength = -1

// headers holds the few header fields that decide how a message is framed or when it is repeated.
type headers struct {
	length     int // bytes of the body, or noLength
	chunked    bool
	close      bool
	retryAfter int // seconds; 0: none, or not a positive number
}

// parseHeaders reads header lines. The error wraps ErrMalformed.
func parseHeaders(lines []byte) (headers, error) {
	parsed := headers{length: noLength}
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, lineEnd)
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !validName(name) || bytes.ContainsAny(value, "\r\n\x00") {
			return headers{}, malformed("header line")
		}
		if err := parsed.set(string(name), string(bytes.TrimSpace(value))); err != nil {
			return headers{}, err
		}
	}
	// Where two peers choose differently between two framings, a request can be smuggled in the body
	// of another.
	if parsed.chunked && parsed.length != noLength {
		return headers{}, malformed("both content-length and transfer-encoding")
	}
	return parsed, nil
}

func validName(name []byte) bool { return len(name) > 0 && !bytes.ContainsAny(name, " \t\r\n") }

// set takes over one header field; unknown ones are ignored.
func (h *headers) set(name, value string) error {
	switch strings.ToLower(name) {
	case "content-length":
		return h.setLength(value)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || h.chunked {
			return malformed("transfer-encoding")
		}
		h.chunked = true
	case "connection":
		for option := range strings.SplitSeq(value, ",") {
			h.close = h.close || strings.EqualFold(strings.TrimSpace(option), "close")
		}
	case "retry-after":
		h.setRetryAfter(value)
	}
	return nil
}

// setLength takes over a length; if it is given repeatedly, it has to be the same.
func (h *headers) setLength(value string) error {
	length, err := strconv.ParseUint(value, 10, 31)
	if err != nil || h.length != noLength && h.length != int(length) {
		return malformed("content-length")
	}
	h.length = int(length)
	return nil
}

// setRetryAfter takes over a number of seconds. The other form of the header, a date, is ignored; the
// last field counts.
func (h *headers) setRetryAfter(value string) {
	seconds, err := strconv.Atoi(value)
	if err != nil || seconds < 0 {
		seconds = 0
	}
	h.retryAfter = seconds
}
