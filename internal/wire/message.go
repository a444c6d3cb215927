package wire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds on what is read from any peer, however hostile.
const (
	MaxBody = 64 << 10 // the protocol's limit for request bodies
	maxHead = 16 << 10
)

// ErrIncomplete says that the bytes so far are a proper prefix of a message.
var ErrIncomplete = errors.New("wire: message incomplete")

// ErrMalformed is wrapped by every error that says the bytes can never become
// a message.
var ErrMalformed = errors.New("wire: malformed message")

// ErrTooLarge is wrapped by errors about a body over the limit. It wraps ErrMalformed: what
// follows on the connection cannot be read.
var ErrTooLarge = fmt.Errorf("%w: too large", ErrMalformed)

func tooLarge(limit int) error { return fmt.Errorf("%w: body over %d bytes", ErrTooLarge, limit) }

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Request is one parsed HTTP/1.1 request.
type Request struct {
	Method string
	Path   string
	Query  string
	Close  bool
	Body   []byte
}

// Response is an answer to a request.
type Response struct {
	Status     int
	RetryAfter int // seconds; 0 leaves the header out
	Body       []byte
	Close      bool
}

// ParseRequest reads one request from the start of buf and returns how many
// bytes it took. The body is not copied.
func ParseRequest(buf []byte) (Request, int, error) {
	start, head, n, err := splitHead(buf)
	if err != nil {
		return Request{}, 0, err
	}
	parts := strings.Split(start, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return Request{}, 0, malformed("request line")
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return Request{}, 0, malformed("version")
	}
	for _, r := range parts[0] {
		if r < 'A' || r > 'Z' {
			return Request{}, 0, malformed("method")
		}
	}
	f, err := parseFields(head)
	if err != nil {
		return Request{}, 0, err
	}
	req := Request{Method: parts[0], Close: f.close || parts[2] == "HTTP/1.0"}
	req.Path, req.Query, _ = strings.Cut(parts[1], "?")
	body, m, err := readBody(buf[n:], f, MaxBody)
	if err != nil {
		return Request{}, 0, err
	}
	req.Body = body
	return req, n + m, nil
}

// ParseResponse reads one response from the start of buf, with a body of at
// most limit bytes.
func ParseResponse(buf []byte, limit int) (Response, int, error) {
	start, head, n, err := splitHead(buf)
	if err != nil {
		return Response{}, 0, err
	}
	version, rest, _ := strings.Cut(start, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if !strings.HasPrefix(version, "HTTP/1.") || err != nil || len(code) != 3 || status < 100 {
		return Response{}, 0, malformed("status line")
	}
	f, err := parseFields(head)
	if err != nil {
		return Response{}, 0, err
	}
	resp := Response{Status: status, Close: f.close || version == "HTTP/1.0"}
	if f.retryAfter != "" {
		if s, err := strconv.Atoi(f.retryAfter); err == nil && s > 0 {
			resp.RetryAfter = s
		}
	}
	if status == StatusNoContent || status == StatusNotModified {
		return resp, n, nil
	}
	body, m, err := readBody(buf[n:], f, limit)
	if err != nil {
		return Response{}, 0, err
	}
	resp.Body = body
	return resp, n + m, nil
}

// splitHead finds the blank line and returns the start line, the header lines
// and the length of both with the blank line.
func splitHead(buf []byte) (start string, head []byte, n int, err error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > maxHead {
			return "", nil, 0, malformed("head over %d bytes", maxHead)
		}
		return "", nil, 0, ErrIncomplete
	}
	if end > maxHead {
		return "", nil, 0, malformed("head over %d bytes", maxHead)
	}
	line, rest, _ := bytes.Cut(buf[:end], []byte("\r\n"))
	for _, c := range line {
		if c < ' ' || c == 0x7f {
			return "", nil, 0, malformed("control byte in the first line")
		}
	}
	return string(line), rest, end + 4, nil
}

// fields holds the few headers that decide how a message is framed.
type fields struct {
	length     int // -1: none given
	chunked    bool
	close      bool
	retryAfter string
}

func parseFields(head []byte) (fields, error) {
	f := fields{length: -1}
	for len(head) > 0 {
		var line []byte
		line, head, _ = bytes.Cut(head, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t\r\n") || bytes.ContainsAny(value, "\r\n\x00") {
			return f, malformed("header line")
		}
		v := string(bytes.TrimSpace(value))
		switch strings.ToLower(string(name)) {
		case "content-length":
			n, err := strconv.ParseUint(v, 10, 31)
			if err != nil || (f.length >= 0 && f.length != int(n)) {
				return f, malformed("content-length")
			}
			f.length = int(n)
		case "transfer-encoding":
			if !strings.EqualFold(v, "chunked") || f.chunked {
				return f, malformed("transfer-encoding")
			}
			f.chunked = true
		case "connection":
			for _, t := range strings.Split(v, ",") {
				if strings.EqualFold(strings.TrimSpace(t), "close") {
					f.close = true
				}
			}
		case "retry-after":
			f.retryAfter = v
		}
	}
	// Two framings in one message are how requests are smuggled.
	if f.chunked && f.length >= 0 {
		return f, malformed("both content-length and transfer-encoding")
	}
	return f, nil
}

func readBody(buf []byte, f fields, limit int) ([]byte, int, error) {
	if f.chunked {
		return readChunks(buf, limit)
	}
	if f.length <= 0 {
		return nil, 0, nil
	}
	if f.length > limit {
		return nil, 0, tooLarge(limit)
	}
	if len(buf) < f.length {
		return nil, 0, ErrIncomplete
	}
	return buf[:f.length], f.length, nil
}

func readChunks(buf []byte, limit int) ([]byte, int, error) {
	var body []byte
	pos := 0
	for {
		line, _, ok := bytes.Cut(buf[pos:], []byte("\r\n"))
		if !ok {
			if len(buf)-pos > 64 {
				return nil, 0, malformed("chunk size line")
			}
			return nil, 0, ErrIncomplete
		}
		size, _, _ := strings.Cut(string(line), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil {
			return nil, 0, malformed("chunk size")
		}
		pos += len(line) + 2
		if len(body)+int(n) > limit {
			return nil, 0, tooLarge(limit)
		}
		if len(buf) < pos+int(n)+2 {
			return nil, 0, ErrIncomplete
		}
		body = append(body, buf[pos:pos+int(n)]...)
		pos += int(n)
		// Trailers are not used by any peer; the last chunk ends the message.
		if string(buf[pos:pos+2]) != "\r\n" {
			return nil, 0, malformed("chunk end")
		}
		pos += 2
		if n == 0 {
			return body, pos, nil
		}
	}
}

// AppendResponse writes resp to dst.
func AppendResponse(dst []byte, resp Response) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(resp.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrase(resp.Status)...)
	dst = append(dst, "\r\n"...)
	if len(resp.Body) > 0 {
		dst = append(dst, "Content-Type: application/cbor\r\n"...)
	}
	if resp.RetryAfter > 0 {
		dst = append(dst, "Retry-After: "...)
		dst = strconv.AppendInt(dst, int64(resp.RetryAfter), 10)
		dst = append(dst, "\r\n"...)
	}
	if resp.Close {
		dst = append(dst, "Connection: close\r\n"...)
	}
	return appendLengthAndBody(dst, resp.Body)
}

// AppendRequest writes a request with the given target, path and query, to dst.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	dst = append(dst, "\r\n"...)
	if len(body) > 0 {
		dst = append(dst, "Content-Type: application/cbor\r\n"...)
	}
	return appendLengthAndBody(dst, body)
}

func appendLengthAndBody(dst, body []byte) []byte {
	dst = append(dst, "Content-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
