package wire

// Header fields.

import (
	"bytes"
	"strconv"
	"strings"
)

// noLength is the length of a message that has no Content-Length.
const noLength = -1

// headers holds the header fields that are evaluated: those on the framing of the message, on the end
// of the connection and on the time of a retry.
type headers struct {
	length     int // length of the body in bytes, or noLength
	chunked    bool
	close      bool // whether the connection ends after the response
	retryAfter int  // delay in seconds; 0: none, or not a positive number
}

// parseHeaders parses header lines with line ends between them. The error wraps ErrMalformed.
func parseHeaders(lines []byte) (headers, error) {
	parsed := headers{length: noLength}
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, lineEnd)
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || !validName(name) || bytes.ContainsAny(value, "\r\n\x00") {
			return headers{}, malformed("header line %.40q is not a name, a colon and a value", line)
		}
		if err := parsed.set(string(name), string(bytes.TrimSpace(value))); err != nil {
			return headers{}, err
		}
	}
	// A message with both Content-Length and Transfer-Encoding is refused. Guards against request
	// smuggling: if two peers choose different framings of such a message, a request can be hidden in
	// the body of another.
	if parsed.chunked && parsed.length != noLength {
		return headers{}, malformed("both content-length and transfer-encoding")
	}
	return parsed, nil
}

func validName(name []byte) bool { return len(name) > 0 && !bytes.ContainsAny(name, " \t\r\n") }

// set stores the value of one header field in h. Header fields that h does not hold are ignored. The
// error wraps ErrMalformed.
func (h *headers) set(name, value string) error {
	switch strings.ToLower(name) {
	case "content-length":
		return h.setLength(value)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || h.chunked {
			return malformed("transfer-encoding %.40q: only chunked, given once, is allowed", value)
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

// setLength sets the length. Repeated Content-Length fields must have the same value.
func (h *headers) setLength(value string) error {
	length, err := strconv.ParseUint(value, 10, 31)
	if err != nil || h.length != noLength && h.length != int(length) {
		return malformed("content-length %.40q is not a number below 2^31, or differs from an earlier one", value)
	}
	h.length = int(length)
	return nil
}

// setRetryAfter sets the delay from a number of seconds. A date, the other form of the header, counts as
// no delay. The last of repeated fields holds.
func (h *headers) setRetryAfter(value string) {
	seconds, err := strconv.Atoi(value)
	if err != nil || seconds < 0 {
		seconds = 0
	}
	h.retryAfter = seconds
}
